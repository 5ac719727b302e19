/** \file
 * When a node counts as lost, and who stands in for it.
 */
#include "reachability.h"
#include "peer_state.h"

#include <doctest/doctest.h>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

const instant start { 100s };
const std::string node = "10.0.0.1:1";

} // namespace

TEST_CASE("A node is lost after failures for some time, and tried again when they are old")
{
    reachability reached;
    reached.recordFailure(node, start);
    CHECK_FALSE(reached.isUnreachable(node, start + 3s));
    reached.recordFailure(node, start + 2s);
    CHECK(reached.isUnreachable(node, start + 2s));
    CHECK(reached.unreachableCount(start + 2s) == 1);
    CHECK_FALSE(reached.isUnreachable(node, start + 6s));
}

TEST_CASE("An answer ends the loss, and failures far apart are none")
{
    reachability reached;
    reached.recordFailure(node, start);
    reached.recordFailure(node, start + 3s);
    REQUIRE(reached.isUnreachable(node, start + 3s));
    reached.recordResponse(node);
    CHECK_FALSE(reached.isUnreachable(node, start + 3s));
    reached.recordFailure(node, start + 4s);
    reached.recordFailure(node, start + 60s);
    CHECK_FALSE(reached.isUnreachable(node, start + 60s));
}

TEST_CASE("All nodes that know the same fleet name the same owners in the same order")
{
    fleet_snapshot forward;
    fleet_snapshot backward;
    for (int i = 0; i < 9; ++i)
        forward.nodes.push_back({ node_id(std::to_string(i)), "e" + std::to_string(i) });
    backward.nodes.assign(forward.nodes.rbegin(), forward.nodes.rend());
    auto first = ownersOf(forward, "guild", 3);
    auto second = ownersOf(backward, "guild", 3);
    REQUIRE(first.size() == 3);
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(first[i].id == second[i].id);
    CHECK(ownersOf(fleet_snapshot(), "guild", 3).empty());
    // The loss of the first makes the second the owner, and moves nothing else.
    std::erase_if(forward.nodes, [&](const fleet_node& each) { return each.id == first[0].id; });
    CHECK(ownersOf(forward, "guild", 1)[0].id == first[1].id);
}
