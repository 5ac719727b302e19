/** \file
 * News that were on the way while a node was paused must not count as fresh.
 */
#include "control_state.h"

#include <doctest/doctest.h>

using namespace pomelohub;
using std::chrono::hours;
using std::chrono::milliseconds;

namespace {

/** The controllers of one node, with hooks that do nothing. */
struct control_fixture {
    control_fixture()
    {
        settings.node = node_id("a");
        settings.dataCentre = data_centre_id("dc");
        settings.peersEndpoint = "127.0.0.1:1";
        state = std::make_unique<control_state>(settings, node_incarnation { settings.node, 1 },
            control_hooks {
                [](std::uint64_t) { return 0; }, [](const decision&) {}, [](const std::string&) {} });
        state->applyPage(log_stream::fleet, {}, now.monotonic, now);
    }
    void pass(duration time)
    {
        now.monotonic += time;
        now.wall += std::chrono::duration_cast<milliseconds>(time);
    }
    gossip_message makeMessage(gossip_kind kind, std::uint64_t sequence) const
    {
        gossip_message message;
        message.kind = kind;
        message.sequence = sequence;
        message.from = { node_id("b"), 1 };
        message.fromEndpoint = "127.0.0.1:2";
        return message;
    }

    node_settings settings;
    present now { instant(hours(100)), wall_time(hours(500'000)) };
    std::unique_ptr<control_state> state;
};

} // namespace

TEST_CASE("a datagram that waited while this node was paused does not prove that the log was seen just now")
{
    control_fixture node;
    node.pass(hours(7));
    node.state->handleGossip(node.makeMessage(gossip_kind::probe, 1), node.now);
    CHECK(node.state->logStaleness(node.now.monotonic) >= hours(7));
    node.state->handleGossip(node.makeMessage(gossip_kind::acknowledgement, 99), node.now);
    CHECK(node.state->logStaleness(node.now.monotonic) >= hours(7));
}

TEST_CASE("a node says that it joined until it reads that back from the log")
{
    control_fixture node;
    auto joins = [&] {
        node.pass(std::chrono::seconds(3));
        std::vector<std::string> found;
        for (const auto& request : node.state->tick(node.now).appends) {
            if (request.data.find("\"join\"") != std::string::npos)
                found.push_back(request.data);
        }
        return found;
    };
    CHECK(joins().size() == 1U);
    auto lost = joins();
    REQUIRE(lost.size() == 1U);
    node.state->applyPage(log_stream::fleet, { 0, 1, { { 0, lost[0] } } }, node.now.monotonic, node.now);
    CHECK(joins().empty());
}

TEST_CASE("the answer to a probe proves what its sender knew when the probe was sent")
{
    control_fixture node;
    node.pass(hours(1));
    node.state->join({ { node_id("b"), "127.0.0.1:2" } }, node.now);
    auto out = node.state->tick(node.now);
    REQUIRE(out.datagrams.size() == 1U);
    auto answer = node.makeMessage(gossip_kind::acknowledgement, out.datagrams[0].message.sequence);
    answer.cursors.staleness = milliseconds(300);
    node.pass(milliseconds(100));
    node.state->handleGossip(answer, node.now);
    CHECK(node.state->logStaleness(node.now.monotonic) == milliseconds(400));
}
