/** \file
 * When a node takes all member records from a peer, and how often at most.
 */
#include "member_sync.h"

#include <doctest/doctest.h>

using namespace pomelohub;
using std::chrono::milliseconds;
using std::chrono::seconds;

static const instant start { std::chrono::hours(1) };

static gossip_message answerWithDigest(std::uint64_t digest)
{
    gossip_message message;
    message.kind = gossip_kind::acknowledgement;
    message.from = { node_id("peer"), 1 };
    message.viewDigest = digest;
    return message;
}

TEST_CASE("a node that joins takes all records, and then none while its view equals its peers'")
{
    member_sync sync({});
    CHECK(sync.tryStart(100, start));
    sync.recordFullSync();
    sync.recordPeerView(answerWithDigest(7), 7, start);
    CHECK_FALSE(sync.tryStart(100, start + std::chrono::hours(1)));
}

TEST_CASE(
    "a view that differs for long enough is repaired from a peer that differs, a short time is not enough")
{
    member_sync sync({});
    sync.tryStart(100, start);
    sync.recordFullSync();
    sync.recordPeerView(answerWithDigest(8), 7, start + seconds(1));
    CHECK_FALSE(sync.tryStart(100, start + seconds(3)));
    CHECK(sync.tryStart(100, start + seconds(4)));
    CHECK(sync.takeDifferingPeer()->node == node_id("peer"));
    CHECK_FALSE(sync.takeDifferingPeer());
}

TEST_CASE("three exchanges may come at once; after them the price for each bounds how many there are")
{
    constexpr std::size_t members = 2100;
    member_sync sync({});
    int exchanges = 0;
    auto now = start;
    for (; now < start + std::chrono::hours(1); now += milliseconds(500))
        exchanges += sync.tryStart(members, now) ? 1 : 0;
    // 150 ms for each of 2,100 members is 315 s, 11.4 times in an hour.
    CHECK(exchanges >= 3);
    CHECK(exchanges <= 3 + 12);
}
