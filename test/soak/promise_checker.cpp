/** \file
 * What counts as a broken promise: each check of the soak is shown to fail.
 */
#include "promise_checker.h"

#include <doctest/doctest.h>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

const instant start { 100s };

struct checker_fixture {
    promise_checker checker { [](const std::string& id) { return "body of " + id; } };

    void send(const std::string& id, bool mustRunOnce = true)
    {
        checker.recordSent({ id, "bids", mustRunOnce, 0, start });
    }
    void run(const std::string& id, const std::string& service = "bids", instant at = start)
    {
        checker.recordRun({ id, service, "i-1", 1 }, at);
    }
    void respond(const std::string& id, int status, const std::string& body)
    {
        checker.recordResponse(id, { status, body }, start + 1s);
    }
    std::vector<std::string> broken(const std::vector<promise_checker::disturbance>& disturbances = {})
    {
        std::vector<std::string> promises;
        for (const auto& each : checker.finish(disturbances))
            promises.push_back(each.promise);
        return promises;
    }
};

using promises = std::vector<std::string>;

} // namespace

TEST_CASE("A request that ran once and was served whole breaks nothing")
{
    checker_fixture fixture;
    fixture.send("a");
    fixture.run("a");
    fixture.respond("a", 200, "body of a");
    CHECK(fixture.broken().empty());
    CHECK(fixture.checker.successCount() == 1);
}

TEST_CASE("What servers ran is compared with what was sent")
{
    checker_fixture fixture;
    SUBCASE("once")
    {
        fixture.send("a");
        fixture.run("a");
        fixture.run("a");
        CHECK(fixture.broken() == promises { "no request that must run once runs twice" });
    }
    SUBCASE("any number of times if it may be repeated")
    {
        fixture.send("a", false);
        fixture.run("a");
        fixture.run("a");
        CHECK(fixture.broken().empty());
    }
    SUBCASE("by route")
    {
        fixture.send("a");
        fixture.run("a", "browse");
        CHECK(fixture.broken() == promises { "the route is followed" });
    }
    SUBCASE("and asked for")
    {
        fixture.run("a");
        CHECK(fixture.broken() == promises { "only requests of callers run" });
    }
}

TEST_CASE("A refusal that says that a request has not run is true, also later")
{
    checker_fixture fixture;
    fixture.send("a");
    SUBCASE("before")
    {
        fixture.run("a");
        fixture.respond("a", 503, "");
        CHECK(fixture.broken() == promises { "a request that was refused as not run has not run" });
    }
    SUBCASE("after")
    {
        fixture.respond("a", 429, "");
        fixture.run("a");
        CHECK(fixture.broken() == promises { "a request that was refused as not run does not run later" });
    }
    SUBCASE("and one that says that it may have run promises nothing")
    {
        fixture.run("a");
        fixture.respond("a", 502, "");
        CHECK(fixture.broken().empty());
    }
}

TEST_CASE("A success is that of its request, and whole")
{
    checker_fixture fixture;
    fixture.send("a");
    SUBCASE("so that a part breaks the promise")
    {
        fixture.run("a");
        fixture.respond("a", 200, "body");
        CHECK(fixture.broken() == promises { "a success is whole and that of its request" });
    }
    SUBCASE("so that one which has not run breaks it")
    {
        fixture.respond("a", 200, "body of a");
        CHECK(fixture.broken() == promises { "a success has run" });
    }
}

TEST_CASE("A missing response is excused by a disturbance of the caller's node only")
{
    checker_fixture fixture;
    fixture.send("a");
    auto how = missing_response::closed;
    promises expected { "each caller gets a complete response" };
    SUBCASE("closed") { }
    SUBCASE("late")
    {
        how = missing_response::late;
        expected = { "each caller gets a response in time" };
    }
    fixture.checker.recordMissing("a", how, start + 1s);
    SUBCASE("none") { CHECK(fixture.broken() == expected); }
    SUBCASE("of another node") { CHECK(fixture.broken({ { 1, true, start, start + 9s } }) == expected); }
    SUBCASE("at another time") { CHECK(fixture.broken({ { 0, true, start + 2s, start + 9s } }) == expected); }
    SUBCASE("that loses requests") { CHECK(fixture.broken({ { 0, true, start, start + 1s } }).empty()); }
    SUBCASE("that only delays them")
    {
        auto broken = fixture.broken({ { 0, false, start, start + 1s } });
        CHECK((how == missing_response::late ? broken.empty() : broken == expected));
    }
}

TEST_CASE("A server that has left gets no request after the bound, unless its node stood still")
{
    checker_fixture fixture;
    fixture.send("a");
    fixture.checker.recordLeavingAcknowledged("i-1", start);
    fixture.run("a", "bids", start + leavingBound);
    CHECK(fixture.broken().empty());
    fixture.send("b");
    fixture.run("b", "bids", start + leavingBound + 1ms);
    promises expected { "no request after a server has left" };
    SUBCASE("not excused") { CHECK(fixture.broken() == expected); }
    SUBCASE("that was suspended") { CHECK(fixture.broken({ { 1, false, start, start + 9s } }).empty()); }
    SUBCASE("also if only its callers were disturbed")
    {
        CHECK(fixture.broken({ { 1, true, start, start + 9s, true } }) == expected);
    }
}
