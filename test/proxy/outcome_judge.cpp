/** \file
 * What a node believes of a backend server from the outcomes of its requests, and when the server gets
 * trials.
 */
#include "backend_selector.h"
#include "passive_health_check.h"
#include "stuck_threshold.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

const instant start { 100s };
const backend_selector_policy selection;

void serve(passive_health_check& judge, int count, instant now)
{
    for (int i = 0; i < count; ++i)
        judge.record(backend_outcome::served, now);
}

constexpr duration gap = 250ms; ///< Between requests.

/** A server that has served requests until \p now. */
passive_health_check makeSoundServer(instant now)
{
    constexpr int served = 20;
    passive_health_check judge;
    for (int i = served; i >= 0; --i)
        judge.record(backend_outcome::served, now - i * gap);
    return judge;
}

/** Number of requests until the server is suspect, of \p limit at most, if it fails a share of them at
 * random. */
int requestsUntilSuspect(double failing, int limit, std::mt19937_64& generator)
{
    auto judge = makeSoundServer(start);
    auto now = start;
    for (int i = 1; i <= limit; ++i) {
        now += gap;
        bool fails = std::bernoulli_distribution(failing)(generator);
        if (judge.record(fails ? backend_outcome::broken : backend_outcome::served, now))
            return i;
    }
    return limit;
}

int medianUntilSuspect(double failing)
{
    constexpr int plays = 1001;
    std::mt19937_64 generator(20261207);
    std::vector<int> counts;
    for (int i = 0; i < plays; ++i)
        counts.push_back(requestsUntilSuspect(failing, 1000, generator));
    std::sort(counts.begin(), counts.end());
    return counts[plays / 2];
}

} // namespace

TEST_CASE("One failure keeps requests away that must run once while others are idle, three in a row all")
{
    for (auto outcome : { backend_outcome::broken, backend_outcome::failed, backend_outcome::stuck }) {
        CAPTURE(toText(outcome));
        auto judge = makeSoundServer(start);
        CHECK(judge.failureRisk(start) < selection.idleStageRisk.once);
        judge.record(outcome, start + gap);
        CHECK(judge.failureRisk(start + gap) > selection.idleStageRisk.once);
        judge.record(outcome, start + 2 * gap);
        judge.record(outcome, start + 3 * gap);
        CHECK(judge.isSuspect());
        CHECK(judge.failureRisk(start + 3 * gap) > selection.preferredRisk.idempotent);
    }
}

TEST_CASE("A server that fails all is left after 3 requests at the median, one that fails half after 8")
{
    CHECK(medianUntilSuspect(1) <= 3);
    CHECK(medianUntilSuspect(0.5) <= 8);
}

TEST_CASE("Where sound servers fail 6% at random, false alarms are a tenth of one for each failure")
{
    constexpr double base = 0.06;
    constexpr int requests = 100'000;
    std::mt19937_64 generator(20261207);
    passive_health_check judge;
    judge.setBaseFailureRatio(base);
    int failures = 0;
    int alarms = 0;
    for (int i = 0; i < requests; ++i) {
        bool fails = std::bernoulli_distribution(base)(generator);
        failures += fails ? 1 : 0;
        bool hasChanged
            = judge.record(fails ? backend_outcome::broken : backend_outcome::served, start + i * gap);
        alarms += hasChanged && judge.isSuspect() ? 1 : 0;
    }
    CHECK(alarms * 10 <= failures);
}

TEST_CASE("Failures that the servers of a service share make none of them suspect")
{
    passive_health_check judge;
    judge.setBaseFailureRatio(0.5);
    bool wasSuspect = false;
    for (int i = 0; i < 100; ++i) {
        judge.record(i % 2 == 0 ? backend_outcome::failed : backend_outcome::served, start + i * 100ms);
        wasSuspect = wasSuspect || judge.isSuspect();
    }
    CHECK_FALSE(wasSuspect);
    CHECK(judge.observedFailureRatio() > 0.3);
}

TEST_CASE("Each request that is served lowers the risk, and more are needed after more failures")
{
    auto servedUntilPreferred = [](int failures) {
        passive_health_check judge;
        for (int i = 0; i < failures; ++i)
            judge.record(backend_outcome::broken, start);
        int served = 0;
        for (; judge.failureRisk(start) > selection.idleStageRisk.once; ++served) {
            auto before = judge.failureRisk(start);
            serve(judge, 1, start);
            REQUIRE(judge.failureRisk(start) < before);
        }
        CHECK_FALSE(judge.isSuspect());
        return served;
    };
    auto afterOne = servedUntilPreferred(1);
    CHECK(afterOne >= 2);
    CHECK(servedUntilPreferred(3) > afterOne);
}

TEST_CASE("Without requests a failure is forgotten within seconds, not at once")
{
    passive_health_check judge;
    judge.record(backend_outcome::broken, start);
    judge.record(backend_outcome::broken, start);
    CHECK(judge.failureRisk(start + 1s) > selection.preferredRisk.idempotent);
    CHECK(judge.failureRisk(start + 15s) < selection.idleStageRisk.once);
}

TEST_CASE("A server that fails gets one trial an interval")
{
    passive_health_check judge;
    judge.record(backend_outcome::broken, start);
    CHECK_FALSE(judge.tryStartTrial(start + 100ms));
    CHECK(judge.tryStartTrial(start + 700ms));
    CHECK_FALSE(judge.tryStartTrial(start + 800ms));
    CHECK(judge.tryStartTrial(start + 1400ms));
}

TEST_CASE("After a trial that was served the next one need not wait")
{
    passive_health_check judge;
    judge.record(backend_outcome::broken, start);
    judge.record(backend_outcome::broken, start);
    REQUIRE(judge.tryStartTrial(start + 700ms));
    judge.record(backend_outcome::served, start + 750ms);
    CHECK(judge.isSuspect());
    CHECK(judge.tryStartTrial(start + 760ms));
    judge.record(backend_outcome::broken, start + 770ms);
    CHECK_FALSE(judge.tryStartTrial(start + 780ms));
}

TEST_CASE("A request is stuck by the time that requests of its kind take")
{
    stuck_threshold threshold;
    stuck_threshold_policy policy;
    CHECK(threshold.age(false) == policy.initialAge);
    for (int i = 0; i < 100; ++i) {
        threshold.record(true, 150ms);
        threshold.record(false, 800ms);
    }
    // Requests of callers that take twice the usual time are not stuck, however many short calls run beside
    // them.
    CHECK(threshold.age(false) > 1600ms);
    CHECK(threshold.age(false) < 4s);
    CHECK(threshold.age(true) == policy.minAge);
}

TEST_CASE("Without failures for long any request may be the trial")
{
    passive_health_check judge;
    judge.record(backend_outcome::broken, start);
    CHECK_FALSE(judge.hasNoRecentFailure(start + 1s));
    CHECK(judge.hasNoRecentFailure(start + 2s));
    judge.record(backend_outcome::stuck, start + 6s);
    CHECK_FALSE(judge.hasNoRecentFailure(start + 7s));
}

TEST_CASE("Another start of the server is judged anew")
{
    passive_health_check judge;
    judge.record(backend_outcome::broken, start);
    judge.record(backend_outcome::broken, start);
    REQUIRE(judge.isSuspect());
    judge.reset();
    CHECK_FALSE(judge.isSuspect());
    CHECK(judge.failureRisk(start) < selection.idleStageRisk.once);
}
