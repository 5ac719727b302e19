/** \file
 * How gray backend servers are told from healthy ones, and how ejection keeps its floor.
 */
#include "ejection_budget.h"
#include "gray_failure_detector.h"

#include <doctest/doctest.h>

using namespace pomelohub;
using std::chrono::milliseconds;
using std::chrono::seconds;

static service_view makeView(int count)
{
    service_view view;
    for (int i = 0; i < count; ++i) {
        backend_entry entry;
        entry.id = backend_server_id("b" + std::to_string(i));
        entry.stats = new backend_stats;
        view.backends.push_back(entry);
    }
    return view;
}

static void answerAll(const service_view& view, int each, milliseconds usual, milliseconds ofFirst)
{
    for (std::size_t i = 0; i < view.backends.size(); ++i) {
        for (int n = 0; n < each; ++n)
            view.backends[i].stats->recordResult(false, i == 0 ? ofFirst : usual);
    }
}

TEST_CASE(
    "a backend server that is slow against its peers loses weight, and gets it back later than it lost it")
{
    gray_failure_detector detector({});
    auto view = makeView(6);
    for (int tick = 0; tick < 4; ++tick) {
        answerAll(view, 5, milliseconds(25), milliseconds(25));
        CHECK(detector.tick(view).empty());
    }
    int ticksToSuspect = 0;
    for (std::vector<backend_server_id> suspects; suspects.empty(); ++ticksToSuspect) {
        answerAll(view, 5, milliseconds(25), milliseconds(500));
        suspects = detector.tick(view);
        REQUIRE(ticksToSuspect < 8);
    }
    CHECK(view.backends[0].stats->weight < backend_stats::fullWeight);
    int ticksToClear = 0;
    for (std::vector<backend_server_id> suspects { view.backends[0].id }; !suspects.empty(); ++ticksToClear) {
        answerAll(view, 5, milliseconds(25), milliseconds(25));
        suspects = detector.tick(view);
    }
    CHECK(ticksToClear > ticksToSuspect);
}

TEST_CASE("when all are slow alike, nobody is suspect")
{
    gray_failure_detector detector({});
    auto view = makeView(6);
    for (int tick = 0; tick < 20; ++tick) {
        answerAll(view, 5, milliseconds(500), milliseconds(500));
        CHECK(detector.tick(view).empty());
    }
}

TEST_CASE("a backend server that answers nothing while the others do is suspect")
{
    gray_failure_detector detector({});
    auto view = makeView(3);
    view.backends[0].stats->inFlight = 2;
    std::vector<backend_server_id> suspects;
    for (int tick = 0; tick < 6; ++tick) {
        for (std::size_t i = 1; i < view.backends.size(); ++i) {
            for (int n = 0; n < 5; ++n)
                view.backends[i].stats->recordResult(false, milliseconds(25));
        }
        suspects = detector.tick(view);
    }
    REQUIRE(suspects.size() == 1U);
    CHECK(suspects.front() == view.backends[0].id);
}

TEST_CASE("one entry node alone may have a bad path: ejection needs a second witness")
{
    ejection_budget budget({});
    instant now {};
    now += std::chrono::hours(1);
    service_capacity capacity { 6, 4, 10 };
    ejection_request request { service_id("s"), node_id("a"), { backend_server_id("b0") } };
    CHECK(budget.request(request, capacity, now).ejected.empty());
    request.reporter = node_id("b");
    CHECK(budget.request(request, capacity, now).ejected.size() == 1U);
}

TEST_CASE("ejection stops at the floor, and a raised floor lets permits lapse")
{
    ejection_budget budget({});
    instant now {};
    now += std::chrono::hours(1);
    service_capacity capacity { 6, 4, 10 };
    std::vector<backend_server_id> all;
    for (int i = 0; i < 6; ++i)
        all.emplace_back("b" + std::to_string(i));
    auto complain = [&] {
        budget.request({ service_id("s"), node_id("a"), all }, capacity, now);
        return budget.request({ service_id("s"), node_id("b"), all }, capacity, now).ejected.size();
    };
    CHECK(complain() == 2U);
    capacity.minInUse = 6;
    now += seconds(5);
    CHECK(complain() == 2U);
    now += seconds(6);
    CHECK(complain() == 0U);
}
