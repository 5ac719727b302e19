/** \file
 * How a slot passes from one node to another.
 */
#include "slot_controller.h"

#include <doctest/doctest.h>

using namespace pomelohub;
using std::chrono::seconds;

namespace {

/** Two controllers and the log between them. */
struct two_nodes {
    two_nodes()
    {
        for (auto* controller : { &a, &b })
            controller->allowClaims();
        setAlive(true, true);
    }

    void setAlive(bool isAAlive, bool isBAlive)
    {
        std::vector<slot_candidate> members { { lifeA, isAAlive }, { lifeB, isBAlive } };
        a.setMembers(members);
        b.setMembers(members);
    }
    void pass(const std::vector<slot_record>& records)
    {
        for (const auto& record : records) {
            a.apply(record, now);
            b.apply(record, now);
        }
        a.recordCaughtUp(now);
        b.recordCaughtUp(now);
    }
    std::size_t held(const slot_controller& controller) const
    {
        std::size_t count = 0;
        for (slot_index slot = 0; slot < slotCount; ++slot)
            count += controller.mayUse(slot, now) ? 1 : 0;
        return count;
    }

    instant now { std::chrono::hours(10) };
    node_incarnation lifeA { node_id("a"), 1 };
    node_incarnation lifeB { node_id("b"), 1 };
    slot_controller a { lifeA, {} };
    slot_controller b { lifeB, {} };
};

} // namespace

TEST_CASE("nodes share all slots, each slot to one of them")
{
    two_nodes fleet;
    fleet.pass(fleet.a.tick(fleet.now));
    fleet.pass(fleet.b.tick(fleet.now));
    CHECK(fleet.held(fleet.a) + fleet.held(fleet.b) == slotCount);
    CHECK(fleet.held(fleet.a) > slotCount / 4);
    CHECK(fleet.held(fleet.b) > slotCount / 4);
}

TEST_CASE("the successor of a silent holder waits until the holder's right has expired by itself")
{
    two_nodes fleet;
    fleet.pass(fleet.a.tick(fleet.now));
    fleet.pass(fleet.b.tick(fleet.now));
    fleet.setAlive(false, true);
    auto heldByB = fleet.held(fleet.b);
    auto claims = fleet.b.tick(fleet.now);
    for (const auto& record : claims)
        fleet.b.apply(record, fleet.now);
    fleet.b.recordCaughtUp(fleet.now);
    CHECK(fleet.held(fleet.b) == heldByB);
    CHECK(fleet.held(fleet.a) > 0U);
    fleet.now += slot_policy {}.maxStaleness + seconds(1);
    CHECK(fleet.held(fleet.a) == 0U);
    fleet.b.recordCaughtUp(fleet.now);
    fleet.now += std::chrono::minutes(1);
    for (const auto& record : fleet.b.tick(fleet.now))
        fleet.b.apply(record, fleet.now);
    fleet.now += seconds(2);
    CHECK(fleet.held(fleet.b) == slotCount);
}

TEST_CASE("a restart in the same place proves the end of the former life, so its slots pass at once")
{
    two_nodes fleet;
    fleet.pass(fleet.a.tick(fleet.now));
    fleet.pass(fleet.b.tick(fleet.now));
    fleet.setAlive(false, true);
    fleet.pass({ { slot_change::join, { node_id("a"), 2 }, {}, {} } });
    fleet.pass(fleet.b.tick(fleet.now));
    fleet.now += seconds(2);
    CHECK(fleet.held(fleet.b) == slotCount);
    CHECK(fleet.held(fleet.a) == 0U);
}

TEST_CASE("a new holder waits until grants of the former one have expired")
{
    two_nodes fleet;
    fleet.setAlive(true, false);
    fleet.pass(fleet.a.tick(fleet.now));
    CHECK(fleet.held(fleet.a) == slotCount);
    fleet.pass(fleet.a.leave());
    fleet.setAlive(false, true);
    fleet.pass(fleet.b.tick(fleet.now));
    CHECK(fleet.held(fleet.b) == 0U);
    fleet.now += std::chrono::milliseconds(1010);
    CHECK(fleet.held(fleet.b) == slotCount);
}

TEST_CASE("a node that learns slots from a restatement knows who waits, and agrees on the next holder")
{
    const instant now { std::chrono::hours(10) };
    slot_table known;
    known.apply({ slot_change::claim, { node_id("a"), 1 }, { 5 }, { 0 } }, now);
    known.apply({ slot_change::claim, { node_id("b"), 1 }, { 5 }, { 1 } }, now);
    REQUIRE(known.at(5).claimant == node_incarnation { node_id("b"), 1 });
    slot_table late;
    for (const auto& state : known.snapshots())
        late.applySnapshot(state, now);
    CHECK(late.at(5).claimant == known.at(5).claimant);
    slot_record release { slot_change::release, { node_id("a"), 1 }, { 5 }, { 2 } };
    known.apply(release, now);
    late.apply(release, now);
    // Without the claimant the late node would see a free slot, claim it for itself and use it besides b.
    CHECK(known.at(5).holder == node_incarnation { node_id("b"), 1 });
    CHECK(late.at(5).holder == known.at(5).holder);
    CHECK(late.at(5).term == known.at(5).term);
}

TEST_CASE("a node that learns slots from a peer knows the term of one that nobody holds")
{
    const instant now { std::chrono::hours(10) };
    slot_table known;
    known.apply({ slot_change::claim, { node_id("a"), 1 }, { 5 }, { 0 } }, now);
    known.apply({ slot_change::release, { node_id("a"), 1 }, { 5 }, { 1 } }, now);
    slot_table late;
    for (const auto& state : known.snapshots())
        late.applySnapshot(state, now);
    slot_record stale { slot_change::claim, { node_id("late"), 1 }, { 5 }, { 0 } };
    late.apply(stale, now);
    CHECK_FALSE(late.at(5).holder);
    CHECK(late.at(5).term == known.at(5).term);
}

TEST_CASE("a claim that names an old term is void")
{
    slot_table table;
    instant now {};
    table.apply({ slot_change::claim, { node_id("a"), 1 }, { 5 }, { 0 } }, now);
    table.apply({ slot_change::claim, { node_id("b"), 1 }, { 5 }, { 0 } }, now);
    CHECK(table.at(5).holder == node_incarnation { node_id("a"), 1 });
    CHECK_FALSE(table.at(5).claimant);
}
