#include "confirmation_controller.h"

#include "hashing.h"

#include <algorithm>
#include <set>

namespace pomelohub {

const member_record* confirmation_controller::collectorOf(
    const data_centre_id& dataCentre, member_list members)
{
    static const auto item = stableHash("reporter");
    const member_record* selected = nullptr;
    std::uint64_t selectedWeight = 0;
    for (const auto* member : members) {
        if (member->dataCentre != dataCentre || !isActive(member->status))
            continue;
        auto weight = rendezvousWeight(member->life.node.text(), item);
        if (!selected || weight > selectedWeight) {
            selected = member;
            selectedWeight = weight;
        }
    }
    return selected;
}

void confirmation_controller::recordOffset(const node_incarnation& member, std::uint64_t offset)
{
    auto& highest = m_offsets[member];
    highest = std::max(highest, offset);
}

void confirmation_controller::retainLive(member_list members)
{
    std::set<node_incarnation> live;
    for (const auto* member : members) {
        if (isActive(member->status))
            live.insert(member->life);
    }
    std::erase_if(m_offsets, [&](const auto& entry) { return !live.contains(entry.first); });
}

std::uint64_t confirmation_controller::confirmedOffsetIn(
    const data_centre_id& dataCentre, member_list members) const
{
    auto lowest = UINT64_MAX;
    for (const auto* member : members) {
        if (member->dataCentre != dataCentre || !isActive(member->status))
            continue;
        auto found = m_offsets.find(member->life);
        lowest = std::min(lowest, found == m_offsets.end() ? 0 : found->second);
    }
    return lowest == UINT64_MAX ? 0 : lowest;
}

std::uint64_t confirmation_controller::inForceOffset(member_list members)
{
    std::set<data_centre_id> dataCentres;
    for (const auto* member : members) {
        if (isActive(member->status))
            dataCentres.insert(member->dataCentre);
    }
    auto lowest = UINT64_MAX;
    for (const auto& dataCentre : dataCentres)
        lowest = std::min(lowest, collectorOf(dataCentre, members)->confirmedOffset);
    return lowest == UINT64_MAX ? 0 : lowest;
}

} // namespace pomelohub
