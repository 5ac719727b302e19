#include "slot_controller.h"

#include "hashing.h"

#include <algorithm>

namespace pomelohub {

namespace {

    /** Collects the slots of one kind of record. */
    void addSlot(slot_record& record, slot_index slot, slot_term term)
    {
        record.slots.push_back(slot);
        record.terms.push_back(term);
    }

    bool isAlive(const node_life& life, std::span<const slot_candidate> members)
    {
        return std::any_of(members.begin(), members.end(),
            [&](const slot_candidate& member) { return member.alive && member.life == life; });
    }

} // namespace

slot_controller::slot_controller(node_life self, slot_policy policy)
    : m_self(std::move(self))
    , m_policy(policy)
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
        // Grants of the former holder may still be in use for their lifetime. The first term has none.
        auto lifetime = m_policy.grantLifetime * (1000 + m_policy.clockRateError) / 1000;
        m_usableFrom[slot] = state.term > 1 ? now + lifetime : now;
    }
}

void slot_controller::noteEvidence(instant when) { m_lastEvidence = std::max(m_lastEvidence, when); }

const node_life* slot_controller::preferred(
    slot_index slot, std::span<const slot_candidate> members) const
{
    const node_life* best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto& member : members) {
        auto weight = rendezvousWeight(member.life.node.text(), slot);
        if (member.alive && (!best || weight > bestWeight)) {
            best = &member.life;
            bestWeight = weight;
        }
    }
    return best;
}

bool slot_controller::isHolderGone(
    const slot_state& state, std::span<const slot_candidate> members) const
{
    return !state.holder || !isAlive(*state.holder, members);
}

bool slot_controller::wantsClaim(
    slot_index slot, std::span<const slot_candidate> members, instant now)
{
    const auto* best = preferred(slot, members);
    if (!best || *best != m_self) {
        m_preferredSince[slot] = instant::max();
        return false;
    }
    m_preferredSince[slot] = std::min(m_preferredSince[slot], now);
    const auto& state = m_table.at(slot);
    if (state.holder == m_self || state.claimant == m_self)
        return false;
    return isHolderGone(state, members) || now - m_preferredSince[slot] >= m_policy.settleTime;
}

bool slot_controller::mustRelease(slot_index slot, std::span<const slot_candidate> members) const
{
    const auto& state = m_table.at(slot);
    return state.holder == m_self && state.claimant && isAlive(*state.claimant, members);
}

duration slot_controller::waitForStaleHolder() const
{
    auto longest = m_policy.staleLimit + m_policy.grantLifetime;
    return longest * (1000 + m_policy.clockRateError) / 1000;
}

bool slot_controller::hasHolderExpired(slot_index slot, instant now) const
{
    const auto& state = m_table.at(slot);
    return state.claimant == m_self && state.holder && now - state.claimedAt > waitForStaleHolder();
}

std::vector<slot_record> slot_controller::tick(std::span<const slot_candidate> members, instant now)
{
    if (m_leaving)
        return {};
    slot_record claims { slot_change::claim, m_self, {}, {} };
    slot_record releases { slot_change::release, m_self, {}, {} };
    std::vector<slot_record> records;
    for (slot_index slot = 0; slot < slotCount; ++slot) {
        const auto& state = m_table.at(slot);
        if (m_mayClaim && wantsClaim(slot, members, now))
            addSlot(claims, slot, state.term);
        if (mustRelease(slot, members))
            addSlot(releases, slot, state.term);
        if (hasHolderExpired(slot, now))
            records.push_back({ slot_change::release, *state.holder, { slot }, { state.term } });
    }
    for (auto* record : { &claims, &releases }) {
        if (!record->slots.empty())
            records.push_back(std::move(*record));
    }
    if (now - m_lastRestated >= m_policy.restateInterval) {
        m_lastRestated = now;
        slot_record restated { slot_change::restate, m_self, {}, {} };
        for (slot_index slot = 0; slot < slotCount; ++slot) {
            if (m_table.at(slot).holder == m_self)
                addSlot(restated, slot, m_table.at(slot).term);
        }
        if (!restated.slots.empty())
            records.push_back(std::move(restated));
    }
    return records;
}

std::vector<slot_record> slot_controller::leave()
{
    m_leaving = true;
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
    if (m_leaving || state.holder != m_self || state.claimant)
        return false;
    return now >= m_usableFrom[slot] && now - m_lastEvidence <= m_policy.staleLimit;
}

instant slot_controller::heldSince(slot_index slot) const { return m_usableFrom[slot]; }

} // namespace pomelohub
