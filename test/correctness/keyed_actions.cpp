/** \file
 * The memory of idempotency keys: repeats, reuse, age, and what a new authority may run.
 */
#include "fake_fleet.h"
#include "idempotency_store.h"

#include <doctest/doctest.h>

using namespace pomelohub;
using testing::makeIdempotencyKey;

static const wall_time now { std::chrono::hours(500'000) };

static action_key keyIssuedAt(wall_time issued, const std::string& organisation = "org")
{
    return { organisation_id(organisation), service_id("service"), makeIdempotencyKey(issued, 7) };
}

TEST_CASE("the time of a version 7 UUID is read, and other texts are not keys")
{
    CHECK(issueTimeOf(makeIdempotencyKey(now, 1)) == now);
    CHECK_FALSE(issueTimeOf("0190b8e4-5c3a-4def-8000-0123456789ab"));
    CHECK_FALSE(issueTimeOf("mine"));
    CHECK_FALSE(issueTimeOf("0190b8e4x5c3a-7def-8000-0123456789ab"));
}

TEST_CASE("a repeat gets the first answer, and only the organisation that asked gets it")
{
    idempotency_store ledger({});
    auto key = keyIssuedAt(now);
    REQUIRE(std::holds_alternative<run_action>(*ledger.begin(key, {}, now)));
    CHECK(std::holds_alternative<await_action>(*ledger.begin(key, {}, now)));
    ledger.finish(key, { 201, {}, "body" });
    auto repeated = ledger.begin(key, {}, now);
    REQUIRE(std::holds_alternative<replay_response>(*repeated));
    CHECK(std::get<replay_response>(*repeated).response.body == "body");
    CHECK(std::holds_alternative<run_action>(*ledger.begin(keyIssuedAt(now, "other"), {}, now)));
}

TEST_CASE("a key used for another request is refused as not run")
{
    idempotency_store ledger({});
    auto key = keyIssuedAt(now);
    ledger.begin(key, digest { 1 }, now);
    auto other = ledger.begin(key, digest { 2 }, now);
    REQUIRE_FALSE(other);
    CHECK(other.error().reason == refusal_reason::idempotencyKeyReused);
    CHECK(other.error().outcome == execution::notRun);
}

TEST_CASE("a new authority runs only keys that are younger than its memory")
{
    idempotency_store ledger({});
    auto old = keyIssuedAt(now - std::chrono::seconds(1));
    ledger.startSlot(slotOf(hashOf(old)), now);
    auto decided = ledger.begin(old, {}, now + std::chrono::seconds(1));
    REQUIRE_FALSE(decided);
    CHECK(decided.error().outcome == execution::mayHaveRun);
    auto young = keyIssuedAt(now + std::chrono::seconds(6));
    ledger.startSlot(slotOf(hashOf(young)), now);
    CHECK(ledger.begin(young, {}, now + std::chrono::seconds(6)));
}

TEST_CASE("a key from the future is refused, since a later authority could not tell its age")
{
    idempotency_store ledger({});
    auto decided = ledger.begin(keyIssuedAt(now + std::chrono::minutes(1)), {}, now);
    REQUIRE_FALSE(decided);
    CHECK(decided.error().reason == refusal_reason::idempotencyKeyInvalid);
    CHECK(decided.error().outcome == execution::notRun);
}

TEST_CASE("a wall clock that is set back does not bring back a forgotten key")
{
    idempotency_store ledger({});
    auto key = keyIssuedAt(now);
    ledger.begin(key, {}, now);
    ledger.finish(key, { 200, {}, "" });
    ledger.trim(now + std::chrono::minutes(11));
    CHECK(ledger.size() == 0U);
    auto decided = ledger.begin(key, {}, now);
    REQUIRE_FALSE(decided);
    CHECK(decided.error().outcome == execution::mayHaveRun);
}

TEST_CASE("an action that was not run may run again; one that may have run may not")
{
    idempotency_store ledger({});
    auto key = keyIssuedAt(now);
    ledger.begin(key, {}, now);
    ledger.forget(key);
    REQUIRE(std::holds_alternative<run_action>(*ledger.begin(key, {}, now)));
    ledger.markUnknown(key);
    CHECK_FALSE(ledger.begin(key, {}, now));
}
