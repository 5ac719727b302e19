/** \file
 * Which start of a backend server its node believes in, whatever order its calls arrive in.
 */
#include "backend_identity.h"

#include <doctest/doctest.h>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

const instant start { 100s };

backend_heartbeat heartbeatOf(const char* id, std::chrono::milliseconds startedAt, std::uint64_t sequence)
{
    backend_heartbeat heartbeat;
    heartbeat.id = backend_server_id(id);
    heartbeat.slots = 5;
    heartbeat.startedAt = wall_time(startedAt);
    heartbeat.sequence = sequence;
    return heartbeat;
}

} // namespace

TEST_CASE("A backend server that leaves without saying when it started takes no new work")
{
    backend_identity identity;
    identity.applyHeartbeat(heartbeatOf("a", 5000ms, 1), start);
    REQUIRE(identity.isAccepting());
    CHECK(identity.deregister(backend_server_id("a"), {}, wall_time(8000ms)));
    CHECK_FALSE(identity.isAccepting());
    CHECK(identity.isLeaving());
    SUBCASE("also when a heartbeat of the same start comes after it")
    {
        identity.applyHeartbeat(heartbeatOf("a", 5000ms, 2), start + 1s);
        CHECK_FALSE(identity.isAccepting());
    }
    SUBCASE("until its next start")
    {
        identity.applyHeartbeat(heartbeatOf("a", 9000ms, 1), start + 1s);
        CHECK(identity.isAccepting());
    }
}

TEST_CASE("A node that started after the last heartbeat of a leaving server does not take its late heartbeat "
          "for a start")
{
    backend_identity identity;
    CHECK(identity.deregister(backend_server_id("a"), {}, wall_time(8000ms)));
    CHECK(identity.applyHeartbeat(heartbeatOf("a", 5000ms, 7), start + 2s) == heartbeat_effect::accepted);
    CHECK(identity.isLeaving());
    SUBCASE("and takes its next start")
    {
        CHECK(identity.applyHeartbeat(heartbeatOf("a", 9000ms, 1), start + 3s) == heartbeat_effect::newStart);
        CHECK(identity.isAccepting());
    }
    SUBCASE("and takes its next start when the wall clock was ahead at the farewell")
    {
        CHECK(identity.applyHeartbeat(heartbeatOf("a", 7000ms, 1), start + 3s) == heartbeat_effect::newStart);
        CHECK(identity.isAccepting());
    }
}

TEST_CASE("A farewell of a former start does not touch the present one")
{
    backend_identity identity;
    identity.applyHeartbeat(heartbeatOf("a", 5000ms, 1), start);
    identity.applyHeartbeat(heartbeatOf("b", 9000ms, 1), start + 1s);
    CHECK_FALSE(identity.deregister(backend_server_id("a"), wall_time(5000ms), wall_time(10'000ms)));
    CHECK_FALSE(identity.deregister(backend_server_id("a"), {}, wall_time(8000ms)));
    CHECK(identity.isAccepting());
}

TEST_CASE("A late heartbeat of a former start is stale")
{
    backend_identity identity;
    identity.applyHeartbeat(heartbeatOf("b", 9000ms, 1), start);
    CHECK(identity.applyHeartbeat(heartbeatOf("a", 5000ms, 7), start + 1s) == heartbeat_effect::stale);
    CHECK(identity.current().id == backend_server_id("b"));
    SUBCASE("also under the same id")
    {
        CHECK(identity.applyHeartbeat(heartbeatOf("b", 5000ms, 7), start + 1s) == heartbeat_effect::stale);
        CHECK(identity.current().sequence == 1);
    }
}

TEST_CASE("Draining is not taken back by a heartbeat that was delayed")
{
    backend_identity identity;
    auto draining = heartbeatOf("a", 5000ms, 3);
    draining.isDraining = true;
    identity.applyHeartbeat(draining, start);
    CHECK(identity.applyHeartbeat(heartbeatOf("a", 5000ms, 2), start + 1s) == heartbeat_effect::stale);
    CHECK(identity.isLeaving());
    identity.applyHeartbeat(heartbeatOf("a", 5000ms, 4), start + 2s);
    CHECK(identity.isLeaving());
}

TEST_CASE("A server whose address another one has taken is not used until it announces itself")
{
    backend_identity identity;
    identity.applyHeartbeat(heartbeatOf("a", 5000ms, 1), start);
    identity.forget();
    CHECK_FALSE(identity.isAccepting());
    CHECK(identity.applyHeartbeat(heartbeatOf("old", 4000ms, 1), start) == heartbeat_effect::stale);
    identity.applyHeartbeat(heartbeatOf("c", 9000ms, 1), start);
    CHECK(identity.isAccepting());
}

// Guards against a restarted node that takes a late heartbeat of a server whose farewell it has forgotten.
TEST_CASE("A start that a node first knows by a later heartbeat takes no work before it is confirmed")
{
    backend_identity identity;
    CHECK(identity.applyHeartbeat(heartbeatOf("a", 5000ms, 7), start) == heartbeat_effect::newStart);
    REQUIRE(identity.needsConfirmation());
    CHECK_FALSE(identity.isAccepting());
    CHECK_FALSE(identity.isLeaving());
    SUBCASE("by the server")
    {
        identity.confirm();
        CHECK(identity.isAccepting());
    }
    SUBCASE("by a heartbeat that must have been sent since")
    {
        identity.applyHeartbeat(heartbeatOf("a", 5000ms, 8), start + maxHeartbeatDelay);
        CHECK_FALSE(identity.isAccepting());
        identity.applyHeartbeat(heartbeatOf("a", 5000ms, 9), start + maxHeartbeatDelay + 1ms);
        CHECK(identity.isAccepting());
    }
    SUBCASE("and needs no confirmation if it says that it leaves")
    {
        identity.recordLeaving(backend_server_id("a"), wall_time(5000ms));
        CHECK_FALSE(identity.needsConfirmation());
        CHECK(identity.isLeaving());
    }
    SUBCASE("and its successor takes work at once")
    {
        identity.applyHeartbeat(heartbeatOf("b", 9000ms, 1), start + 1s);
        CHECK(identity.isAccepting());
    }
}

TEST_CASE("A start that follows another one takes work at once")
{
    backend_identity identity;
    identity.applyHeartbeat(heartbeatOf("a", 5000ms, 1), start);
    CHECK(identity.isAccepting());
    identity.applyHeartbeat(heartbeatOf("b", 9000ms, 4), start + 1s);
    CHECK(identity.isAccepting());
}

// Guards against a restarted server that never gets a request again because its wall clock was set back.
TEST_CASE("A server that starts again with an earlier wall clock is used again once its former start cannot "
          "be late")
{
    backend_identity identity;
    identity.applyHeartbeat(heartbeatOf("a", 9000ms, 1), start);
    SUBCASE("under its id or another one")
    {
        for (const char* id : { "a", "b" }) {
            backend_identity other = identity;
            CHECK(
                other.applyHeartbeat(heartbeatOf(id, 5000ms, 1), start + 20s) == heartbeat_effect::newStart);
            CHECK(other.isAccepting());
            CHECK(other.applyHeartbeat(heartbeatOf("a", 9000ms, 9), start + 21s) == heartbeat_effect::stale);
            CHECK(
                other.applyHeartbeat(heartbeatOf(id, 5000ms, 2), start + 22s) == heartbeat_effect::accepted);
        }
    }
    SUBCASE("also if it had started shortly before")
    {
        CHECK(identity.applyHeartbeat(heartbeatOf("a", 5000ms, 1), start + 4s) == heartbeat_effect::stale);
        CHECK(identity.applyHeartbeat(heartbeatOf("a", 5000ms, 2), start + 6s) == heartbeat_effect::newStart);
        CHECK(identity.isAccepting());
    }
    SUBCASE("but not while the known one is heard")
    {
        for (std::uint64_t sequence = 2; sequence < 8; ++sequence) {
            auto now = start + 2s * sequence;
            CHECK(identity.applyHeartbeat(heartbeatOf("a", 9000ms, sequence), now)
                == heartbeat_effect::accepted);
            CHECK(identity.applyHeartbeat(heartbeatOf("b", 5000ms, 1), now + 1s) == heartbeat_effect::stale);
        }
    }
    SUBCASE("and gives way when it falls silent and the other one is heard after all")
    {
        CHECK(identity.applyHeartbeat(heartbeatOf("b", 5000ms, 1), start + 8s) == heartbeat_effect::newStart);
        CHECK(identity.applyHeartbeat(heartbeatOf("a", 9000ms, 2), start + 9s) == heartbeat_effect::stale);
        CHECK(
            identity.applyHeartbeat(heartbeatOf("a", 9000ms, 6), start + 14s) == heartbeat_effect::newStart);
        CHECK(identity.isAccepting());
    }
    SUBCASE("and a late deregistration of the replaced start does not concern it")
    {
        CHECK(identity.applyHeartbeat(heartbeatOf("b", 5000ms, 1), start + 8s) == heartbeat_effect::newStart);
        CHECK_FALSE(identity.deregister(backend_server_id("a"), wall_time(9000ms), wall_time(10'000ms)));
        CHECK(identity.isAccepting());
        CHECK(identity.applyHeartbeat(heartbeatOf("b", 5000ms, 2), start + 9s) == heartbeat_effect::accepted);
    }
    SUBCASE("and not while a deregistration is the newest that is known")
    {
        CHECK(identity.deregister(backend_server_id("b"), wall_time(12'000ms), wall_time(13'000ms)));
        CHECK(identity.applyHeartbeat(heartbeatOf("a", 9000ms, 2), start + 20s) == heartbeat_effect::stale);
        CHECK(identity.isLeaving());
    }
}
