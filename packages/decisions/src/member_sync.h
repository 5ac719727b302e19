/** \file
 * Defines member_sync, which schedules full syncs of the member list with a peer. A full sync is needed when
 * a node joins, and when it has missed gossip updates, since those are not retransmitted indefinitely.
 */
#pragma once

#include "membership.h"

namespace pomelohub {

/** Identity and endpoint of a node. */
struct peer_address {
    node_id node;
    std::string endpoint; ///< "address:port".
};

struct member_sync_policy {
    /** How long the views of two nodes may differ before a full sync is due. */
    duration maxDifferingTime = std::chrono::seconds(3);
    duration minInterval = std::chrono::seconds(1); ///< Minimum interval between full syncs.
    /** Each full sync uses up this much time per member from the rate limit. A sync transfers all member
     * records, so this bounds the bytes per second. */
    duration costPerMember = std::chrono::milliseconds(150);
    /** Burst size: a full sync may start while the rate limit has not yet covered the cost of at most this
     * many earlier ones. */
    int maxBurst = 3;
};

/** Schedules and rate-limits full syncs. Thread safety: one thread at a time. */
class member_sync {
public:
    explicit member_sync(member_sync_policy policy);

    /** Compares the view digest in \p answer, the acknowledgement of a probe of this node, with \p ownDigest.
     */
    void recordPeerView(const gossip_message& answer, std::uint64_t ownDigest, instant now);

    /** Records that all member records have been received once. */
    void recordFullSync() { m_hasSynced = true; }

    /** Whether a full sync is due at \p now in a fleet of \p members. If it is, it is counted against the
     * rate limit, so the caller must start it. */
    bool tryStart(std::size_t members, instant now);

    /** Returns and clears the peer whose view differs, with which to sync; std::nullopt if any peer will do.
     * Call after tryStart() has returned true. */
    std::optional<peer_address> takeDifferingPeer() { return std::exchange(m_differingPeer, std::nullopt); }

private:
    member_sync_policy m_policy;
    std::optional<peer_address> m_differingPeer;
    instant m_differingSince {};
    instant m_nextAllowed {};
    instant m_rateLimitUsedUntil {};
    bool m_hasSynced = false;
};

} // namespace pomelohub
