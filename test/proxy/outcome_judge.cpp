/** \file
 * When a backend server becomes suspect, which requests it still gets, and when it is cleared.
 */
#include "passive_health_check.h"
#include "stuck_threshold.h"

#include <doctest/doctest.h>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

const instant start { 100s };

void serve(passive_health_check& judge, int count, instant now)
{
    for (int i = 0; i < count; ++i)
        judge.record(backend_outcome::served, now, now);
}

} // namespace

TEST_CASE("One broken answer makes a server suspect, one answered failure does not")
{
    passive_health_check judge;
    serve(judge, 20, start);
    SUBCASE("broken")
    {
        CHECK(judge.record(backend_outcome::broken, start, start));
        CHECK(judge.isSuspect());
    }
    SUBCASE("failed once")
    {
        CHECK_FALSE(judge.record(backend_outcome::failed, start, start));
        CHECK_FALSE(judge.isSuspect());
        SUBCASE("failed twice in a row") { CHECK(judge.record(backend_outcome::failed, start, start)); }
        SUBCASE("failed again much later")
        {
            serve(judge, 10, start);
            CHECK_FALSE(judge.record(backend_outcome::failed, start, start));
        }
    }
}

TEST_CASE("A suspect server gets one trial an interval")
{
    passive_health_check judge;
    judge.record(backend_outcome::broken, start, start);
    CHECK_FALSE(judge.tryStartTrial(start + 100ms));
    CHECK(judge.tryStartTrial(start + 700ms));
    CHECK_FALSE(judge.tryStartTrial(start + 800ms));
    CHECK(judge.tryStartTrial(start + 1400ms));
}

TEST_CASE("After a trial that was served the next one need not wait")
{
    passive_health_check judge;
    judge.record(backend_outcome::broken, start, start);
    REQUIRE(judge.tryStartTrial(start + 700ms));
    judge.record(backend_outcome::served, start + 700ms, start + 750ms);
    CHECK(judge.isSuspect());
    CHECK(judge.tryStartTrial(start + 760ms));
    judge.record(backend_outcome::broken, start + 760ms, start + 770ms);
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

TEST_CASE("Requests served in a row clear a server; those from before the suspicion do not")
{
    passive_health_check judge;
    judge.record(backend_outcome::broken, start, start);
    for (int i = 0; i < 10; ++i)
        judge.record(backend_outcome::served, start - 1ms, start + 10ms);
    CHECK(judge.isSuspect());
    CHECK_FALSE(judge.record(backend_outcome::served, start + 1s, start + 1s));
    judge.record(backend_outcome::broken, start + 2s, start + 2s);
    CHECK_FALSE(judge.record(backend_outcome::served, start + 3s, start + 3s));
    CHECK(judge.record(backend_outcome::served, start + 4s, start + 4s));
    CHECK_FALSE(judge.isSuspect());
}

TEST_CASE("A server that relapses must serve more")
{
    passive_health_check judge;
    judge.record(backend_outcome::broken, start, start);
    judge.record(backend_outcome::served, start + 1s, start + 1s);
    judge.record(backend_outcome::served, start + 1s, start + 1s);
    REQUIRE_FALSE(judge.isSuspect());
    judge.record(backend_outcome::broken, start + 2s, start + 2s);
    judge.record(backend_outcome::served, start + 3s, start + 3s);
    judge.record(backend_outcome::served, start + 3s, start + 3s);
    CHECK(judge.isSuspect());
    judge.record(backend_outcome::served, start + 3s, start + 3s);
    CHECK_FALSE(judge.isSuspect());
}

TEST_CASE("Without failures for long any request may be the trial")
{
    passive_health_check judge;
    judge.record(backend_outcome::broken, start, start);
    CHECK_FALSE(judge.hasNoRecentFailure(start + 2s));
    CHECK(judge.hasNoRecentFailure(start + 3s));
    judge.record(backend_outcome::stuck, start + 6s, start + 6s);
    CHECK_FALSE(judge.hasNoRecentFailure(start + 7s));
}

TEST_CASE("Another start of the server is judged anew")
{
    passive_health_check judge;
    judge.record(backend_outcome::broken, start, start);
    judge.reset();
    CHECK_FALSE(judge.isSuspect());
}

TEST_CASE("What a suspect server accepts follows from what it fails and from whether others work")
{
    passive_health_check judge;
    CHECK(judge.accepts(suspect_rule::trialsOnly));
    judge.record(backend_outcome::broken, start, start);
    CHECK_FALSE(judge.accepts(suspect_rule::trialsOnly));
    CHECK(judge.accepts(suspect_rule::failingInPart));
    for (int i = 0; i < 8; ++i)
        judge.record(backend_outcome::broken, start, start);
    CHECK_FALSE(judge.accepts(suspect_rule::failingInPart));
    CHECK(judge.accepts(suspect_rule::any));
}
