#include "instance_announcement.h"

#include "hashing.h"

#include <numeric>
#include <tuple>

namespace pomelohub {

namespace {

    auto precedenceOf(const instance_announcement& announcement)
    {
        return std::tuple(announcement.life, announcement.revision, announcement.hasLeft);
    }

    std::uint64_t fingerprintOf(const instance_announcement& entry)
    {
        return stableHash(entry.node.text(), entry.life * 31 + entry.revision * 2 + (entry.hasLeft ? 1 : 0));
    }

    std::size_t partOf(const node_id& node)
    {
        return stableHash(node.text()) % std::tuple_size_v<announcement_table::part_fingerprints>;
    }

} // namespace

bool announcement_table::isEndpointOwnedByNewer(const instance_announcement& update) const
{
    for (const auto& [node, other] : m_entries) {
        if (node != update.node && !other.hasLeft && other.endpoint == update.endpoint
            && other.life > update.life)
            return true;
    }
    return false;
}

bool announcement_table::merge(const instance_announcement& update)
{
    if (update.node.empty() || update.endpoint.empty())
        return false;
    auto found = m_entries.find(update.node);
    if (found != m_entries.end() && precedenceOf(found->second) >= precedenceOf(update))
        return false;
    auto accepted = update;
    if (!accepted.hasLeft && isEndpointOwnedByNewer(accepted))
        accepted.hasLeft = true;
    if (!accepted.hasLeft) {
        for (auto& [node, other] : m_entries) {
            if (node == update.node || other.endpoint != update.endpoint || other.hasLeft)
                continue;
            auto left = other;
            left.hasLeft = true;
            store(left);
        }
    }
    store(accepted);
    return true;
}

void announcement_table::store(const instance_announcement& entry)
{
    auto& part = m_partFingerprints[partOf(entry.node)];
    auto [place, isNew] = m_entries.try_emplace(entry.node, entry);
    if (!isNew) {
        part -= fingerprintOf(place->second);
        place->second = entry;
    }
    part += fingerprintOf(entry);
}

const instance_announcement* announcement_table::find(const node_id& node) const
{
    auto found = m_entries.find(node);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<instance_announcement> announcement_table::active() const
{
    std::vector<instance_announcement> result;
    for (const auto& [node, entry] : m_entries) {
        if (!entry.hasLeft)
            result.push_back(entry);
    }
    return result;
}

std::uint64_t announcement_table::fingerprint() const
{
    return std::accumulate(m_partFingerprints.begin(), m_partFingerprints.end(), std::uint64_t { 0 });
}

std::vector<instance_announcement> announcement_table::entriesThatDiffer(const part_fingerprints& other) const
{
    std::vector<instance_announcement> result;
    for (const auto& [node, entry] : m_entries) {
        if (m_partFingerprints[partOf(node)] != other[partOf(node)])
            result.push_back(entry);
    }
    return result;
}

} // namespace pomelohub
