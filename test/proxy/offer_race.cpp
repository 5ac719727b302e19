/** \file
 * Placement by offers that wait in several queues: which servers get offers, and which grant is taken.
 */
#include "offer_race.h"
#include "admission_queue.h"

#include <doctest/doctest.h>

#include <random>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

const instant start { 100s };
const data_centre_id near("near");
const data_centre_id far("far");

handle<peer_state> makePeer(const std::string& name, const data_centre_id& dataCentre = near)
{
    instance_announcement announced;
    announced.node = node_id(name);
    announced.dataCentre = dataCentre;
    return handle<peer_state>(new peer_state(announced));
}

struct race_fixture {
    std::vector<handle<peer_state>> peers { makePeer("a"), makePeer("b"), makePeer("c"), makePeer("d"),
        makePeer("e"), makePeer("f"), makePeer("g") };
    std::set<data_centre_id> evacuated;
    offer_race race { {}, near };
    std::mt19937_64 generator { 7 };
    choice_random_hook random = [this](std::uint64_t below) { return generator() % below; };
    duration waited {};
    std::size_t bodyBytes = 0;

    std::optional<backend_selection> next(instant now = start)
    {
        return race.next({ { peers, evacuated, retry_rule::once, 4s, 20s }, waited, bodyBytes }, random, now);
    }
    node_id offer(instant now = start)
    {
        auto selection = next(now);
        REQUIRE(selection);
        return selection->peer->announcement.node;
    }
};

} // namespace

// Guards against a request that runs at two servers because both granted a slot.
TEST_CASE("Of several grants exactly one is taken")
{
    race_fixture fixture;
    auto first = fixture.offer();
    auto second = fixture.offer();
    CHECK(first != second);
    CHECK(!fixture.next());
    CHECK(fixture.race.tryCommit(second));
    CHECK(!fixture.race.tryCommit(first));
    CHECK(!fixture.race.tryCommit(second));
    CHECK(!fixture.next(start + 10s));
}

// Guards against a request that waits behind two long queues while other servers are idle.
TEST_CASE("A request that is not granted a slot soon is offered to further servers, up to a maximum")
{
    race_fixture fixture;
    std::set<node_id> offered { fixture.offer(), fixture.offer() };
    CHECK(!fixture.next(start + 149ms));
    offered.insert(fixture.offer(start + 150ms));
    offered.insert(fixture.offer(start + 300ms));
    CHECK(offered.size() == 4);
    CHECK(!fixture.next(start + 10s));
}

// Guards against requests that go on asking when a service has no room.
TEST_CASE("A refused offer is replaced at once, until refusals say that the service has no room")
{
    race_fixture fixture;
    fixture.offer();
    for (int i = 0; i < 4; ++i)
        fixture.race.recordRefusal(fixture.offer());
    CHECK(fixture.race.wasRefused());
    CHECK(!fixture.next(start + 10s));
}

// Guards against answers that are late because their requests waited too long to start.
TEST_CASE("The time in all queues together is bounded by the target latency")
{
    race_fixture fixture;
    auto first = fixture.next();
    REQUIRE(first);
    CHECK(first->maxQueueTime == 2800ms);
    fixture.waited = 2s;
    auto second = fixture.next();
    REQUIRE(second);
    CHECK(second->maxQueueTime == 800ms);
    fixture.waited = 2800ms;
    fixture.race.recordRefusal(second->peer->announcement.node);
    CHECK(!fixture.next());
}

// Guards against a retry at the server that has failed the request, and against one that finds no server
// because its offers there were cancelled.
TEST_CASE("After the attempt that was taken has failed, all servers but that one may be asked again")
{
    race_fixture fixture;
    fixture.peers.resize(2);
    auto first = fixture.offer();
    auto second = fixture.offer();
    REQUIRE(fixture.race.tryCommit(first));
    fixture.race.reopen();
    CHECK(fixture.offer() == second);
    CHECK(!fixture.next(start + 10s));
}

// Guards against large bodies that fill the links between data centres while the own one has room soon.
TEST_CASE("A large body leaves its data centre only for a wait that is longer than its transfer is worth")
{
    race_fixture fixture;
    fixture.peers = { makePeer("near", near), makePeer("far", far) };
    fixture.peers[0]->applyReport({ 10, 10, 10, 400ms }, start); // A wait of about 0.4 s.
    fixture.peers[1]->applyReport({ 0, 0, 10, 400ms }, start);
    CHECK(fixture.offer() == node_id("far"));
    race_fixture upload;
    upload.peers = fixture.peers;
    upload.bodyBytes = 100 << 10;
    CHECK(upload.offer() == node_id("near"));
}

// Guards against refusals that count requests which will start in another queue.
TEST_CASE("A request that waits in two queues counts half in the estimated wait of each")
{
    admission_queue queue(
        {}, [](const auto&, auto) {}, [](const auto&, const auto&) {});
    queue.setSlots(1, start);
    auto admit = [&](std::uint32_t parallelOffers) {
        handle<queued_request> request(new queued_request);
        request->parallelOffers = parallelOffers;
        REQUIRE(queue.admit({ request, start + 60s, 1, 30s, false }, start));
    };
    admit(1);
    admit(2);
    admit(2);
    CHECK(queue.expectedStarts() == doctest::Approx(1));
    CHECK(queue.estimatedWait(2, start) == 2 * queue.meanLatency());
    admit(1);
    CHECK(queue.estimatedWait(2, start) == 3 * queue.meanLatency());
}
