/** \file
 * Defines slot_controller, which decides which slots this node claims, releases and may use at present.
 */
#pragma once

#include "slot_table.h"

#include <set>
#include <span>

namespace pomelohub {

/** Limits of the slot protocol. All nodes must use the same ones. */
struct slot_policy {
    /** How long a holder goes on without any news of the log. A successor that has no proof of the holder's
     * end waits this long, so it bounds both the outage that rights survive and the loss after a crash. */
    duration staleLimit = std::chrono::hours(6);
    /** Longest time for which a holder's grants outlive its right. */
    duration grantLifetime = std::chrono::seconds(1);
    /** Largest difference of the rates of two clocks, in thousandths. */
    int clockRateError = 1;
    /** How long a better placed member must have been alive before a slot moves to it. */
    duration settleTime = std::chrono::seconds(5);
    /** How often a holder repeats its slots for the log's retention. */
    duration restateInterval = std::chrono::hours(4);
};

/** A member as slot placement sees it. */
struct slot_candidate {
    node_life life;
    bool alive = true;
};

/** Owns the slot table. Thread safety: one thread at a time. */
class slot_controller {
public:
    slot_controller(node_life self, slot_policy policy);

    /** Applies a record read from the fleet stream. */
    void apply(const slot_record& record, instant now);

    /** Takes over the state of one slot from a peer. Never makes this node a holder that it was not: a life
     * is made anew at each start. */
    void adopt(const slot_restatement& restated, instant now);

    /** Notes that the stream was known up to its end at \p when: the time at which the question was sent. */
    void noteEvidence(instant when);

    /** Allows claims. Precondition: this node knows every slot's history, from a peer's snapshot or because
     * the log still has the first record. */
    void allowClaims() { m_mayClaim = true; }

    /** Takes in who could hold slots. Call it when that changed, for it ranks the members of every slot. */
    void setMembers(std::span<const slot_candidate> members);

    /** The records that this node should append now. */
    std::vector<slot_record> tick(instant now);

    /** The records by which a leaving node gives up its slots. */
    std::vector<slot_record> leave();

    /** Whether this node is the authority for \p slot at \p now. Must be asked at the moment of use. */
    bool mayUse(slot_index slot, instant now) const;

    /** Time since when this node has been the authority for \p slot. Precondition: it holds the slot. */
    instant heldSince(slot_index slot) const;

    const slot_table& table() const { return m_table; }
    instant lastEvidence() const { return m_lastEvidence; }

private:
    bool isAlive(const node_life& life) const;
    bool wantsClaim(slot_index slot, instant now);
    bool mustRelease(slot_index slot) const;
    bool hasHolderExpired(slot_index slot, instant now) const;
    void restate(std::vector<slot_record>& records, instant now);
    duration waitForStaleHolder() const;

    node_life m_self;
    slot_policy m_policy;
    slot_table m_table;
    bool m_mayClaim = false;
    bool m_leaving = false;
    instant m_lastEvidence {};
    instant m_lastRestated {};
    std::set<node_life> m_alive;
    std::vector<std::optional<node_life>> m_preferred;
    std::vector<instant> m_usableFrom;
    std::vector<instant> m_preferredSince;
};

} // namespace pomelohub
