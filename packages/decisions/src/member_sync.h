/** \file
 * Defines member_sync, which decides when a node takes all member records from one peer: when it joins, and
 * when it has missed news, which are not sent again.
 */
#pragma once

#include "membership.h"

namespace pomelohub {

/** Where and who a node is. */
struct peer_address {
    node_id node;
    std::string endpoint; ///< "address:port".
};

struct member_sync_policy {
    /** How long views may differ before a node takes another's records. */
    duration differingTime = std::chrono::seconds(3);
    duration shortestPause = std::chrono::seconds(1);
    /** Each exchange is paid for by this time for each member, which bounds the bytes a second. */
    duration priceForMember = std::chrono::milliseconds(150);
    int exchangesAtOnce = 3;
};

/** Thread safety: one thread at a time. */
class member_sync {
public:
    explicit member_sync(member_sync_policy policy);

    /** Notes that \p answer, to an own probe, came from a node with the same view or with another one. */
    void noteAnswer(const gossip_message& answer, std::uint64_t ownDigest, instant now);

    /** All records were taken in once. */
    void noteComplete() { m_isComplete = true; }

    /** Whether an exchange is due at \p now in a fleet of \p members; it counts as done then. */
    bool isDue(std::size_t members, instant now);

    /** The peer to ask, when it matters which one. Ask after isDue(). */
    std::optional<peer_address> takeDifferingPeer() { return std::exchange(m_differing, std::nullopt); }

private:
    member_sync_policy m_policy;
    std::optional<peer_address> m_differing;
    instant m_differingSince {};
    instant m_next {};
    instant m_paidUntil {};
    bool m_isComplete = false;
};

} // namespace pomelohub
