/** \file
 * Defines slot_table, the replicated state machine of authority slots. All state that needs a single
 * authority (rate limits, the idempotency store, ejection budgets) is sharded into a fixed number of slots,
 * each held by at most one node. The order of records in the log decides who holds a slot; nodes hold no
 * election.
 */
#pragma once

#include "core_types.h"

#include <optional>
#include <vector>

namespace pomelohub {

using slot_index = std::uint32_t;
using slot_term = std::uint64_t;

constexpr slot_index slotCount = 256;

enum class slot_change {
    claim, ///< A node asks to become the next holder.
    /** The authority of a holder has ended, because it gave the slot up or because its claimant has waited
     * out the time limit (see slot_policy::maxStaleness). Also withdraws the claim of a claimant that leaves.
     */
    release,
    join, ///< A node has bound its port, which proves that its earlier processes have ended.
    restate, ///< Repeats the state of slots before the log expires the records that it results from.
};

/** The whole state of one slot, for nodes that may not have read the records that it results from. */
struct slot_snapshot {
    slot_index slot = 0;
    slot_term term = 0;
    std::optional<node_incarnation> holder;
    std::optional<node_incarnation> claimant;
};

/** A record of the fleet stream: one change to one or more slots. */
struct slot_record {
    slot_change change = slot_change::claim;
    /** The claimant, or the holder whose authority has ended; for join and restate, the writer. */
    node_incarnation member;
    std::vector<slot_index> slots;
    std::vector<slot_term> terms; ///< For each slot, the term that the writer knew.
    std::vector<slot_snapshot> snapshots {}; ///< Replaces slots and terms if change is slot_change::restate.
};

/** The holder of a slot and the node that waits to become the next one. */
struct slot_state {
    slot_term term = 0; ///< Incremented by each claim and each release of a holder that takes effect.
    std::optional<node_incarnation> holder; ///< Has the authority until released or expired.
    std::optional<node_incarnation> claimant; ///< Becomes the holder when the current one is released.
    instant claimedAt {}; ///< When this node learned of the claim.
};

/** Applies the records of the fleet stream. All nodes that have read the same records have the same holders
 * and terms. Thread safety: one thread at a time. */
class slot_table {
public:
    slot_table();

    /** Applies one record. A claim or release has no effect on a slot whose current term differs from the one
     * in the record. */
    void apply(const slot_record& record, instant now);

    /** Replaces the state of one slot if \p snapshot has a higher term. */
    void applySnapshot(const slot_snapshot& snapshot, instant now);

    /** The state of every slot that any record has changed, including slots without a holder: a node that
     * does not know the term of such a slot would consider it unused and its own claims valid. */
    std::vector<slot_snapshot> snapshots() const;

    const slot_state& at(slot_index slot) const { return m_slots.at(slot); }

private:
    void applyToSlot(const slot_record& record, slot_state& slot, slot_term term, instant now);
    void releaseEarlierIncarnations(const node_incarnation& life, instant now);
    void claim(slot_state& slot, const node_incarnation& by, instant now);
    void release(slot_state& slot, const node_incarnation& by, instant now);

    std::vector<slot_state> m_slots;
};

/** The slot that holds an item with hash \p hash. */
constexpr slot_index slotOf(std::uint64_t hash) { return static_cast<slot_index>(hash % slotCount); }

} // namespace pomelohub
