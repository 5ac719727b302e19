#include "instance_announcement.h"

#include "hashing.h"

#include <tuple>

namespace pomelohub {

namespace {

    auto age(const instance_announcement& each) { return std::tuple(each.life, each.revision, each.hasLeft); }

} // namespace

bool announcement_table::isAddressHeldByNewer(const instance_announcement& news) const
{
    for (const auto& [node, other] : m_entries) {
        if (node != news.node && !other.hasLeft && other.endpoint == news.endpoint && other.life > news.life)
            return true;
    }
    return false;
}

bool announcement_table::merge(const instance_announcement& news)
{
    if (news.node.empty() || news.endpoint.empty())
        return false;
    auto found = m_entries.find(news.node);
    if (found != m_entries.end() && age(found->second) >= age(news))
        return false;
    auto accepted = news;
    if (!accepted.hasLeft && isAddressHeldByNewer(accepted))
        accepted.hasLeft = true;
    if (!accepted.hasLeft) {
        for (auto& [node, other] : m_entries) {
            if (node != news.node && other.endpoint == news.endpoint)
                other.hasLeft = true;
        }
    }
    m_entries[news.node] = accepted;
    return true;
}

const instance_announcement* announcement_table::find(const node_id& node) const
{
    auto found = m_entries.find(node);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<instance_announcement> announcement_table::present() const
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
    std::uint64_t sum = 0;
    for (const auto& [node, entry] : m_entries) {
        auto seed = entry.life * 31 + entry.revision * 2 + (entry.hasLeft ? 1 : 0);
        sum += stableHash(node.text(), seed);
    }
    return sum;
}

} // namespace pomelohub
