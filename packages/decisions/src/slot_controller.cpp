#include "slot_controller.h"

#include "hashing.h"

#include <algorithm>

namespace pomelohub {

namespace {

    /** Appends \p slot with the term that this node knows. */
    void addSlot(slot_record& record, slot_index slot, slot_term term)
    {
        record.slots.push_back(slot);
        record.terms.push_back(term);
    }

} // namespace

slot_controller::slot_controller(node_incarnation self, slot_policy policy)
    : m_self(std::move(self))
    , m_policy(policy)
    , m_preferredHolder(slotCount)
    , m_usableFrom(slotCount)
    , m_preferredSince(slotCount, instant::max())
{
}

void slot_controller::apply(const slot_record& record, instant now)
{
    std::vector<bool> heldBefore(slotCount);
    for (slot_index slot = 0; slot < slotCount; ++slot)
        heldBefore[slot] = m_table.at(slot).holder == m_self;
    m_table.apply(record, now);
    for (slot_index slot = 0; slot < slotCount; ++slot) {
        const auto& state = m_table.at(slot);
        if (heldBefore[slot] || state.holder != m_self)
            continue;
        // Grants of the previous holder may be in use until their lifetime ends. In the first term there are
        // none.
        auto lifetime = m_policy.grantLifetime * (1000 + m_policy.maxClockDriftPermille) / 1000;
        m_usableFrom[slot] = state.term > 1 ? now + lifetime : now;
    }
}

void slot_controller::applySnapshot(const slot_snapshot& snapshot, instant now)
{
    m_table.applySnapshot(snapshot, now);
}

void slot_controller::recordCaughtUp(instant when) { m_lastCaughtUp = std::max(m_lastCaughtUp, when); }

void slot_controller::setMembers(std::span<const slot_candidate> members)
{
    m_alive.clear();
    std::vector<std::uint64_t> bestWeights(slotCount);
    for (auto& preferred : m_preferredHolder)
        preferred.reset();
    for (const auto& member : members) {
        if (!member.isAlive)
            continue;
        m_alive.insert(member.life);
        for (slot_index slot = 0; slot < slotCount; ++slot) {
            auto weight = rendezvousWeight(member.life.node.text(), slot);
            if (m_preferredHolder[slot] && weight <= bestWeights[slot])
                continue;
            m_preferredHolder[slot] = member.life;
            bestWeights[slot] = weight;
        }
    }
}

bool slot_controller::isAlive(const node_incarnation& life) const { return m_alive.contains(life); }

bool slot_controller::updateClaimDue(slot_index slot, instant now)
{
    if (m_preferredHolder[slot] != m_self) {
        m_preferredSince[slot] = instant::max();
        return false;
    }
    m_preferredSince[slot] = std::min(m_preferredSince[slot], now);
    const auto& state = m_table.at(slot);
    if (state.holder == m_self || state.claimant == m_self)
        return false;
    bool isHolderGone = !state.holder || !isAlive(*state.holder);
    return isHolderGone || now - m_preferredSince[slot] >= m_policy.rebalanceDelay;
}

bool slot_controller::isReleaseDue(slot_index slot) const
{
    const auto& state = m_table.at(slot);
    return state.holder == m_self && state.claimant && isAlive(*state.claimant);
}

duration slot_controller::holderExpiryTimeout() const
{
    auto longest = m_policy.maxStaleness + m_policy.grantLifetime;
    return longest * (1000 + m_policy.maxClockDriftPermille) / 1000;
}

bool slot_controller::hasHolderExpired(slot_index slot, instant now) const
{
    const auto& state = m_table.at(slot);
    return state.claimant == m_self && state.holder && now - state.claimedAt > holderExpiryTimeout();
}

std::vector<slot_record> slot_controller::tick(instant now)
{
    if (m_isLeaving)
        return {};
    slot_record claims { slot_change::claim, m_self, {}, {} };
    slot_record releases { slot_change::release, m_self, {}, {} };
    std::vector<slot_record> records;
    for (slot_index slot = 0; slot < slotCount; ++slot) {
        const auto& state = m_table.at(slot);
        if (m_mayClaim && updateClaimDue(slot, now))
            addSlot(claims, slot, state.term);
        if (isReleaseDue(slot))
            addSlot(releases, slot, state.term);
        if (hasHolderExpired(slot, now))
            records.push_back({ slot_change::release, *state.holder, { slot }, { state.term } });
    }
    for (auto* record : { &claims, &releases }) {
        if (!record->slots.empty())
            records.push_back(std::move(*record));
    }
    appendRestatement(records, now);
    return records;
}

void slot_controller::appendRestatement(std::vector<slot_record>& records, instant now)
{
    if (now - m_lastRestated < m_policy.restateInterval)
        return;
    m_lastRestated = now;
    slot_record record { slot_change::restate, m_self, {}, {}, m_table.snapshots() };
    std::erase_if(record.snapshots, [&](const slot_snapshot& state) { return state.holder != m_self; });
    if (!record.snapshots.empty())
        records.push_back(std::move(record));
}

std::vector<slot_record> slot_controller::leave()
{
    m_isLeaving = true;
    slot_record releases { slot_change::release, m_self, {}, {} };
    for (slot_index slot = 0; slot < slotCount; ++slot) {
        const auto& state = m_table.at(slot);
        if (state.holder == m_self || state.claimant == m_self)
            addSlot(releases, slot, state.term);
    }
    return releases.slots.empty() ? std::vector<slot_record> {} : std::vector { std::move(releases) };
}

bool slot_controller::mayUse(slot_index slot, instant now) const
{
    const auto& state = m_table.at(slot);
    if (m_isLeaving || state.holder != m_self || state.claimant)
        return false;
    return now >= m_usableFrom[slot] && now - m_lastCaughtUp <= m_policy.maxStaleness;
}

instant slot_controller::heldSince(slot_index slot) const { return m_usableFrom[slot]; }

} // namespace pomelohub
