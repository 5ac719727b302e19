/** \file
 * Defines slot_controller, which decides which slots this node claims and releases, and for which it is
 * currently the authority.
 */
#pragma once

#include "slot_table.h"

#include <set>
#include <span>

namespace pomelohub {

/** Timing of the slot protocol. All nodes must use the same values. */
struct slot_policy {
    /** How long a holder keeps its authority without new evidence, from the log or from a peer, that it has
     * read the fleet stream to its end. A successor waits this long unless it has proof that the holder has
     * stopped. The value therefore bounds both the log outage that holders survive and the time without
     * authority after a crash. */
    duration maxStaleness = std::chrono::hours(6);
    /** Maximum time for which grants of a holder remain valid after it has lost the slot. */
    duration grantLifetime = std::chrono::seconds(1);
    /** Maximum difference between the rates of two monotonic clocks, in thousandths. */
    int maxClockDriftPermille = 1;
    /** How long this node must have been the preferred holder of a slot before it claims it from a live
     * holder. */
    duration rebalanceDelay = std::chrono::seconds(5);
    /** How often a holder restates its slots, so that the log never expires the only records of them. */
    duration restateInterval = std::chrono::hours(4);
};

/** A member that can hold slots. */
struct slot_candidate {
    node_incarnation life;
    bool isAlive = true;
};

/** Owns the slot table of this node. Thread safety: one thread at a time. */
class slot_controller {
public:
    slot_controller(node_incarnation self, slot_policy policy);

    /** Applies a record of the fleet stream. */
    void apply(const slot_record& record, instant now);

    /** Applies the state of one slot that a peer sent. It cannot make this node a holder: the peer may know
     * earlier incarnations of this node, but each start begins a new one. */
    void applySnapshot(const slot_snapshot& snapshot, instant now);

    /** Records that this node had read the fleet stream to its end as of \p when, which must be the time at
     * which the request was sent, not the time of its response. For the acknowledgement of a peer that has
     * read no further than this node, it is the time at which the probe was sent minus the staleness that the
     * peer reports. */
    void recordCaughtUp(instant when);

    /** Allows this node to claim slots. Precondition: it knows the state of every slot, from a snapshot of a
     * peer or because the log still has its first record. */
    void allowClaims() { m_mayClaim = true; }

    /** Sets the members that can hold slots. Call it when they change and not more often, since it ranks all
     * members for every slot. */
    void setMembers(std::span<const slot_candidate> members);

    /** Returns the records that this node should append to the fleet stream at \p now. */
    std::vector<slot_record> tick(instant now);

    /** Stops using and claiming slots. \return the records that release the slots and claims of this node. */
    std::vector<slot_record> leave();

    /** Whether this node is the authority for \p slot at \p now. Must be checked at each use. */
    bool mayUse(slot_index slot, instant now) const;

    /** Time from which this node may use \p slot as its authority. Precondition: it holds the slot. */
    instant heldSince(slot_index slot) const;

    const slot_table& table() const { return m_table; }
    instant lastCaughtUp() const { return m_lastCaughtUp; }

private:
    bool isAlive(const node_incarnation& life) const;
    bool updateClaimDue(slot_index slot, instant now);
    bool isReleaseDue(slot_index slot) const;
    bool hasHolderExpired(slot_index slot, instant now) const;
    void appendRestatement(std::vector<slot_record>& records, instant now);
    duration holderExpiryTimeout() const;

    node_incarnation m_self;
    slot_policy m_policy;
    slot_table m_table;
    bool m_mayClaim = false;
    bool m_isLeaving = false;
    instant m_lastCaughtUp {};
    instant m_lastRestated {};
    std::set<node_incarnation> m_alive;
    std::vector<std::optional<node_incarnation>> m_preferredHolder;
    std::vector<instant> m_usableFrom;
    std::vector<instant> m_preferredSince;
};

} // namespace pomelohub
