/** \file
 * Defines slot_table, the state machine of authority slots. A slot is one of a fixed number of shards of
 * every fact that needs a single authority: rights to rate, memory of idempotent actions, ejection budgets.
 * The order of the log decides who holds a slot; there is no vote among nodes.
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
    claim, ///< A node asks to hold the slot next.
    release, ///< A holder's right has ended: it gave it up, or its time without news has passed.
    join, ///< A node has bound its port, so the processes of its earlier lives have ended.
    restate, ///< Repeats states before the log expires the records that made them.
};

/** The whole state of one slot, told to those who may lack the records that made it. */
struct slot_restatement {
    slot_index slot = 0;
    slot_term term = 0;
    std::optional<node_life> holder;
    std::optional<node_life> claimant;
};

/** One change of some slots, as a record of the fleet stream. */
struct slot_record {
    slot_change change = slot_change::claim;
    node_life by; ///< The claimant, or the life whose right has ended.
    std::vector<slot_index> slots;
    std::vector<slot_term> terms; ///< For each slot the term that the writer saw.
    std::vector<slot_restatement> restated {}; ///< In place of slots and terms for slot_change::restate.
};

/** Who holds a slot and who waits for it. */
struct slot_state {
    slot_term term = 0; ///< Raised by each claim that took effect.
    std::optional<node_life> holder; ///< May use the slot until released or expired.
    std::optional<node_life> claimant; ///< Follows the holder.
    instant claimedAt {}; ///< When this node learned of the claim.
};

/** Folds the fleet stream. Every node that read the same records has the same holders and terms. Thread
 * safety: one thread at a time. */
class slot_table {
public:
    slot_table();

    /** Applies one record. Records that name another term than the present one are void. */
    void apply(const slot_record& record, instant now);

    /** Takes over the state of one slot where it is newer. */
    void adopt(const slot_restatement& restated, instant now);

    /** The state of each slot that any record has changed, also of those that nobody holds: a node that
     * lacked their term would take them for new and its own claims for valid. */
    std::vector<slot_restatement> restate() const;

    const slot_state& at(slot_index slot) const { return m_slots.at(slot); }

private:
    void applyToSlot(const slot_record& record, slot_state& slot, slot_term term, instant now);
    void endEarlierLives(const node_life& life, instant now);
    void claim(slot_state& slot, const node_life& by, instant now);
    void release(slot_state& slot, const node_life& by, instant now);

    std::vector<slot_state> m_slots;
};

/** The slot of an item with hash \p hash. */
constexpr slot_index slotOf(std::uint64_t hash) { return static_cast<slot_index>(hash % slotCount); }

} // namespace pomelohub
