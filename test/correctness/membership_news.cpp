/** \file
 * Failure detection and the spread of news among members, with messages passed by hand.
 */
#include "confirmation_controller.h"

#include <doctest/doctest.h>

#include <memory>
#include <random>
#include <set>

using namespace pomelohub;
using std::chrono::milliseconds;

namespace {

/** Members that exchange datagrams in one process; those to or from a cut one are lost. */
struct member_ring {
    explicit member_ring(int count)
    {
        for (int i = 0; i < count; ++i) {
            member_record self;
            self.life = { node_id("n" + std::to_string(i)), 1 };
            self.endpoint = "e" + std::to_string(i);
            members.push_back(std::make_unique<membership>(
                self, membership_policy {}, [this](std::uint64_t bound) { return random() % bound; },
                [](const member_record&) {}));
            // Each knows the first one, as a seed.
            if (i > 0)
                members.back()->merge({ members.front()->self() }, now);
        }
    }

    void pass(duration time)
    {
        for (auto end = now + time; now < end; now += milliseconds(50)) {
            for (std::size_t i = 0; i < members.size(); ++i)
                send(i, members[i]->tick({}, now));
        }
    }
    void send(std::size_t from, std::vector<outgoing_gossip> messages)
    {
        for (auto& outgoing : messages) {
            auto to = static_cast<std::size_t>(std::stoul(outgoing.endpoint.substr(1)));
            if (!cut.contains(from) && !cut.contains(to))
                send(to, members[to]->receive(outgoing.message, {}, now));
        }
    }
    bool everyoneSees(std::size_t count) const
    {
        for (std::size_t i = 0; i < members.size(); ++i) {
            if (!cut.contains(i) && members[i]->liveCount() != count)
                return false;
        }
        return true;
    }

    instant now { std::chrono::hours(1) };
    std::mt19937_64 random { 7 };
    std::vector<std::unique_ptr<membership>> members;
    std::set<std::size_t> cut;
};

} // namespace

TEST_CASE("members that know one seed come to know each other")
{
    member_ring ring(12);
    ring.pass(std::chrono::seconds(10));
    CHECK(ring.everyoneSees(12));
}

TEST_CASE("a member that falls silent is known everywhere, and so is its return after the cut heals")
{
    member_ring ring(12);
    ring.pass(std::chrono::seconds(10));
    ring.cut.insert(5);
    ring.pass(std::chrono::seconds(20));
    CHECK(ring.everyoneSees(11));
    ring.cut.clear();
    ring.pass(std::chrono::seconds(60));
    CHECK(ring.everyoneSees(12));
}

TEST_CASE("a member that leaves is not suspected but known as departed")
{
    member_ring ring(6);
    ring.pass(std::chrono::seconds(10));
    ring.send(2, ring.members[2]->leave({}));
    ring.cut.insert(2);
    ring.pass(std::chrono::seconds(5));
    CHECK(ring.members[0]->others().at(node_id("n2")).status == member_status::left);
}

TEST_CASE("the offset in force is the lowest that any live member of any data centre has confirmed")
{
    std::vector<member_record> records(3);
    for (std::size_t i = 0; i < records.size(); ++i) {
        records[i].life = { node_id("n" + std::to_string(i)), 1 };
        records[i].dataCentre = data_centre_id(i < 2 ? "east" : "west");
    }
    std::vector<const member_record*> members { &records[0], &records[1], &records[2] };
    confirmation_controller confirmations;
    confirmations.recordOffset(records[0].life, 9);
    CHECK(confirmations.confirmedOffsetIn(data_centre_id("east"), members) == 0U);
    confirmations.recordOffset(records[1].life, 7);
    CHECK(confirmations.confirmedOffsetIn(data_centre_id("east"), members) == 7U);
    records[1].status = member_status::dead;
    CHECK(confirmations.confirmedOffsetIn(data_centre_id("east"), members) == 9U);
    for (auto& record : records)
        record.confirmedOffset = 5;
    records[2].confirmedOffset = 3;
    CHECK(confirmation_controller::inForceOffset(members) == 3U);
}
