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

event_log& quietLog()
{
    static event_log log(node_id("test"), { 64, 0, 1'000'000 }, readSystemClock);
    return log;
}

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
    store_hook<operator_changes> held;

    fleet_store makeStore()
    {
        return { [](const store_hook<operator_state>& done) { done(operator_state {}); },
            [this](std::uint64_t, duration wait, store_hook<operator_changes> done) {
                waits.push_back(wait);
                held = std::move(done);
            },
            [](const store_hook<std::vector<instance_announcement>>& done) { done({}); },
            [](const instance_announcement&, const store_hook<std::monostate>& done) {
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

TEST_CASE("Of the nodes of a small fleet one reads the log again within three seconds of any change")
{
    constexpr std::size_t nodes = 21;
    constexpr std::size_t changes = 200;
    loop_fixture fixture;
    fixture.loop.start();
    while (fixture.waits.size() < nodes * changes) {
        REQUIRE(fixture.held);
        std::exchange(fixture.held, nullptr)(operator_changes {});
    }
    for (std::size_t i = 0; i < changes; ++i) {
        auto first = fixture.waits.begin() + static_cast<std::ptrdiff_t>(i * nodes);
        CHECK(*std::min_element(first, first + nodes) < 3s);
    }
}

TEST_CASE("Calls that follow the log wait long enough to be few")
{
    loop_fixture fixture;
    fixture.loop.start();
    while (fixture.waits.size() < 1000)
        std::exchange(fixture.held, nullptr)(operator_changes {});
    duration sum {};
    for (auto wait : fixture.waits) {
        CHECK(wait >= 1s);
        CHECK(wait <= 25s);
        sum += wait;
    }
    CHECK(sum / fixture.waits.size() > 8s);
}
