/** \file
 * How a node follows the operators' log where the store does not wake those that wait for a change.
 */
#include "control_loop.h"

#include "loopback.h"

#include <algorithm>
#include <random>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

tl::expected<handle<routing_table>, std::string> refuseAll(const std::string&)
{
    return tl::unexpected(std::string("no document is expected"));
}

/** A loop before a store that holds every call that follows the log. */
struct loop_fixture {
    asio::io_context context;
    crash_quarantine quarantine { {} };
    proxy_metrics metrics;
    fleet_controller controller { { refuseAll, [] {}, [](const std::string&) {} } };
    std::mt19937_64 generator { 20261204 };
    std::vector<duration> waits;
    store_callback<operator_changes> held;

    fleet_store makeStore()
    {
        return { [](const store_callback<operator_state>& done) { done(operator_state {}); },
            [this](std::uint64_t, duration wait, store_callback<operator_changes> done) {
                waits.push_back(wait);
                held = std::move(done);
            },
            [](const store_callback<std::vector<instance_announcement>>& done) { done({}); },
            [](const instance_announcement&, const store_callback<std::monostate>& done) {
                done(std::monostate {});
            } };
    }

    control_loop loop { context,
        instance_announcement { node_id("self"), 1, 0, "127.0.0.1:1", {}, {}, false }, {}, controller,
        quarantine, makeStore(), control_policy {}, quietLog(), metrics,
        { readSystemClock, [this](std::uint64_t below) { return generator() % below; },
            [](const std::string&, const peer_message&, duration,
                const std::function<void(std::optional<peer_message>)>& done) { done(std::nullopt); } } };
};

} // namespace

TEST_CASE("Of the nodes of any fleet some read the log again within three seconds of a change, most do not")
{
    constexpr std::size_t changes = 200;
    for (std::size_t nodes : { 9U, 27U, 300U }) {
        loop_fixture fixture;
        for (std::size_t i = 1; i < nodes; ++i)
            fixture.controller.mergeAnnouncements({ { node_id("n" + std::to_string(i)), 1, 0,
                "127.0.0.1:" + std::to_string(1 + i), {}, {}, false } });
        fixture.loop.start();
        while (fixture.waits.size() < nodes * changes) {
            REQUIRE(fixture.held);
            std::exchange(fixture.held, nullptr)(operator_changes {});
        }
        std::size_t missed = 0;
        std::size_t early = 0;
        for (std::size_t i = 0; i < changes; ++i) {
            auto first = fixture.waits.begin() + static_cast<std::ptrdiff_t>(i * nodes);
            auto readers = std::count_if(
                first, first + static_cast<std::ptrdiff_t>(nodes), [](duration wait) { return wait <= 3s; });
            early += static_cast<std::size_t>(readers);
            missed += readers == 0 ? 1 : 0;
        }
        CHECK(missed <= 1);
        CHECK(early / changes <= 9);
    }
}

TEST_CASE("Changes in quick succession come with one call")
{
    loop_fixture fixture;
    fixture.loop.start();
    REQUIRE(fixture.waits.size() == 1);
    std::exchange(fixture.held, nullptr)(operator_changes { { operator_change {} }, 1 });
    CHECK(fixture.waits.size() == 1);
    CHECK(runUntil(fixture.context, [&] { return fixture.waits.size() == 2; }));
}
