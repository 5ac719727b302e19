/** \file
 * Requests that crash the backend servers that run them, before real nodes.
 */
#include "serving_fleet.h"

using namespace pomelohub;
using namespace std::chrono_literals;

TEST_CASE("A request that has crashed two backend servers is refused by every node")
{
    constexpr auto newsBound = 3s;
    serving_fleet fleet;
    auto crashes = [&] {
        auto runs = fleet.runs().all();
        return std::count_if(
            runs.begin(), runs.end(), [](const standin_run& run) { return run.target == "/browse/crash"; });
    };
    // The request is retried, so that it crashes two of the three servers of its service.
    CHECK(fleet.statusOf(0, "/browse/crash", "k1") == 502);
    REQUIRE(crashes() == 2);
    std::this_thread::sleep_for(newsBound);
    CHECK(fleet.allAnswer("/browse/crash", "k1", 503));
    CHECK(crashes() == 2);
    CHECK(fleet.allAnswer("/browse/x", "k1", 200));
}
