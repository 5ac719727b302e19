/** \file
 * Properties of the rights that authorities give, under random faults: rate and burst over all nodes
 * together, one authority a slot, and at most one run of a keyed action.
 */
#include "fake_fleet.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pomelohub;
using namespace pomelohub::testing;

static constexpr int stepsPerCase = 3000;

static std::uint64_t anySeed() { return *rc::gen::arbitrary<std::uint64_t>(); }

TEST_CASE("P1: rate and burst over all nodes together hold under random faults")
{
    CHECK(rc::check("served requests never overdraw a reference bucket", [] {
        fake_fleet fleet({}, anySeed());
        for (int i = 0; i < stepsPerCase; ++i)
            fleet.step();
        RC_ASSERT(fleet.isWithinRate());
        RC_ASSERT(fleet.mostHoldersAtOnce() <= 1U);
    }));
}

TEST_CASE("the random cases serve requests and run actions, so that the properties are not empty")
{
    std::size_t served = 0;
    std::size_t runs = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fake_fleet fleet({}, seed);
        for (int i = 0; i < stepsPerCase; ++i)
            fleet.step();
        served += fleet.servedCount();
        runs += fleet.runCount();
    }
    CHECK(served > 20U * 300U);
    CHECK(runs > 20U * 30U);
}

/** Holders of one slot at once after one node is cut off from the log for longer than its rights last. */
static std::size_t holdersAfterIsolation(const fake_fleet_options& options)
{
    fake_fleet fleet(options, 1);
    fleet.settle(std::chrono::seconds(3));
    fleet.isolate(0);
    fleet.settle(3 * options.staleLimit);
    return fleet.mostHoldersAtOnce();
}

TEST_CASE("P1: a holder that is cut off stops before its successor starts; without that check it does not")
{
    fake_fleet_options options;
    CHECK(holdersAfterIsolation(options) == 1U);
    options.holdersIgnoreStaleLimit = true;
    CHECK(holdersAfterIsolation(options) == 2U);
}

TEST_CASE("P2: a keyed action runs at most once under random faults")
{
    CHECK(rc::check("no key runs twice", [] {
        fake_fleet fleet({}, anySeed());
        for (int i = 0; i < stepsPerCase; ++i)
            fleet.step();
        RC_ASSERT(fleet.mostRuns() <= 1U);
    }));
}

TEST_CASE("P2: the property sees an authority without the fence by age")
{
    fake_fleet_options broken;
    broken.ignoresFence = true;
    std::size_t mostRuns = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        fake_fleet fleet(broken, seed);
        for (int i = 0; i < stepsPerCase; ++i)
            fleet.step();
        mostRuns = std::max(mostRuns, fleet.mostRuns());
    }
    CHECK(mostRuns > 1U);
}
