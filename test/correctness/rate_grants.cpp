/** \file
 * Grants of tokens: what authorities give, take back and hold against the burst.
 */
#include "token_leases.h"

#include <doctest/doctest.h>

using namespace pomelohub;
using std::chrono::milliseconds;

static const instant start { std::chrono::hours(1) };
static const rate_partition part { organisation_id("org"), 0 };

static rate_request ask(const std::string& node, std::uint32_t wanted)
{
    return { part, { node_id(node), 1 }, 0, 0, wanted };
}

TEST_CASE("tokens that entry nodes hold count against the burst")
{
    token_bucket_store ledger(milliseconds(1000), 0, 1);
    partition_limit share { 10, 20 };
    CHECK(ledger.grant(ask("a", 15), share, start).tokens == 15U);
    CHECK(ledger.grant(ask("b", 15), share, start).tokens == 5U);
    // Half a second would bring five tokens, but all of the burst is still held by entry nodes.
    CHECK(ledger.grant(ask("c", 15), share, start + milliseconds(500)).tokens == 0U);
}

TEST_CASE("unspent tokens come back when an entry node asks again")
{
    token_bucket_store ledger(milliseconds(1000), 0, 1);
    partition_limit share { 1, 20 };
    auto first = ledger.grant(ask("a", 20), share, start);
    auto again = ask("a", 20);
    again.returnedGrant = first.id;
    again.unspent = 12;
    CHECK(ledger.grant(again, share, start).tokens == 12U);
}

TEST_CASE("a node whose answer was lost gets no second grant before the first has expired")
{
    token_bucket_store ledger(milliseconds(1000), 0, 1);
    partition_limit share { 10, 20 };
    CHECK(ledger.grant(ask("a", 5), share, start).tokens == 5U);
    CHECK(ledger.grant(ask("a", 5), share, start + milliseconds(10)).tokens == 0U);
    CHECK(ledger.grant(ask("a", 5), share, start + milliseconds(1001)).tokens == 5U);
}

TEST_CASE("a bucket of a later term starts empty and fills from the takeover on")
{
    token_bucket_store ledger(milliseconds(1000), 0, 1);
    ledger.startSlot(slotOf(hashOf(part)), start);
    partition_limit share { 10, 20 };
    CHECK(ledger.grant(ask("a", 20), share, start).tokens == 0U);
    CHECK(ledger.grant(ask("a", 20), share, start + milliseconds(500)).tokens == 5U);
}

TEST_CASE("tokens are not spent after they expired, counted from before they were asked for")
{
    organisation_leases leases;
    applyGrant(leases, 0, { 1, 3, milliseconds(1000) }, start);
    CHECK(trySpend(leases, start + milliseconds(900)));
    CHECK_FALSE(trySpend(leases, start + milliseconds(1000)));
}

TEST_CASE("a part whose authority had no token is left alone until one is due")
{
    organisation_leases leases;
    leases.organisation = organisation_id("org");
    node_incarnation self { node_id("a"), 1 };
    for (std::uint32_t i = 0; i < ratePartitions; ++i) {
        auto request = makeRefillRequest(leases, self, start);
        REQUIRE(request);
        applyGrant(leases, request->partition.index, { 0, 0, milliseconds(100) }, start);
    }
    CHECK_FALSE(makeRefillRequest(leases, self, start + milliseconds(50)));
    CHECK(makeRefillRequest(leases, self, start + milliseconds(101)));
}
