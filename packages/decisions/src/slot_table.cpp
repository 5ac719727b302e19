#include "slot_table.h"

namespace pomelohub {

slot_table::slot_table()
    : m_slots(slotCount)
{
}

void slot_table::apply(const slot_record& record, instant now)
{
    if (record.change == slot_change::join) {
        releaseEarlierIncarnations(record.member, now);
        return;
    }
    for (const auto& snapshot : record.snapshots)
        applySnapshot(snapshot, now);
    for (std::size_t i = 0; i < record.slots.size() && i < record.terms.size(); ++i) {
        if (record.slots[i] < slotCount)
            applyToSlot(record, m_slots[record.slots[i]], record.terms[i], now);
    }
}

void slot_table::applyToSlot(const slot_record& record, slot_state& slot, slot_term term, instant now)
{
    if (slot.term != term)
        return;
    if (record.change == slot_change::claim)
        claim(slot, record.member, now);
    else
        release(slot, record.member, now);
}

void slot_table::applySnapshot(const slot_snapshot& snapshot, instant now)
{
    if (snapshot.slot >= slotCount || snapshot.term <= m_slots[snapshot.slot].term)
        return;
    m_slots[snapshot.slot] = { snapshot.term, snapshot.holder, snapshot.claimant, now };
}

std::vector<slot_snapshot> slot_table::snapshots() const
{
    std::vector<slot_snapshot> states;
    for (slot_index slot = 0; slot < slotCount; ++slot) {
        const auto& state = m_slots[slot];
        if (state.term > 0)
            states.push_back({ slot, state.term, state.holder, state.claimant });
    }
    return states;
}

void slot_table::claim(slot_state& slot, const node_incarnation& by, instant now)
{
    if (slot.holder == by || slot.claimant == by)
        return;
    ++slot.term;
    slot.claimedAt = now;
    // Without a holder there is nobody to wait for; otherwise the node waits as the claimant.
    if (slot.holder)
        slot.claimant = by;
    else
        slot.holder = by;
}

void slot_table::release(slot_state& slot, const node_incarnation& by, instant now)
{
    if (slot.claimant == by)
        slot.claimant.reset();
    if (slot.holder != by)
        return;
    ++slot.term;
    slot.holder = slot.claimant;
    slot.claimant.reset();
    slot.claimedAt = now;
}

void slot_table::releaseEarlierIncarnations(const node_incarnation& life, instant now)
{
    auto isEarlier = [&](const std::optional<node_incarnation>& other) {
        return other && other->node == life.node && other->incarnation < life.incarnation;
    };
    for (auto& slot : m_slots) {
        if (isEarlier(slot.claimant))
            slot.claimant.reset();
        if (isEarlier(slot.holder))
            release(slot, node_incarnation(*slot.holder), now);
    }
}

} // namespace pomelohub
