/** \file
 * Requests that wait in the queues of several backend servers at once, through real nodes.
 */
#include "serving_fleet.h"

using namespace pomelohub;
using namespace std::chrono_literals;
using nlohmann::json;

// Guards against offers that are never granted or cancelled, and against requests that run at two servers.
TEST_CASE("Requests that wait in two queues are each served once, and leave no slot taken")
{
    serving_fleet fleet(
        json { { "queueing", { { "min_target_latency_s", 0.1 }, { "parallel_offers", 2 } } } });
    std::vector<std::string> ids;
    for (int round = 0; round < 30; ++round) {
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            ids.push_back("w" + std::to_string(ids.size()));
            auto isBid = ids.size() % 2 == 0;
            auto answer
                = fleet.send(node, isBid ? "POST" : "GET", isBid ? "/bids/x" : "/browse/x", ids.back(), "k1");
            REQUIRE(answer);
            CHECK(answer->status == 200);
        }
    }
    for (const auto& id : ids)
        CHECK(fleet.runs().countOf(id) == 1);
}
