#include "gossip_partners.h"

#include <algorithm>

namespace pomelohub {

gossip_partners::gossip_partners(node_id self, gossip_partner_policy policy)
    : m_self(std::move(self))
    , m_policy(policy)
{
}

void gossip_partners::update(std::span<const instance_announcement> active)
{
    m_candidates.clear();
    for (const auto& each : active) {
        if (each.node != m_self)
            m_candidates.push_back(each.endpoint);
    }
    std::erase_if(m_partners, [this](const std::string& partner) {
        return std::find(m_candidates.begin(), m_candidates.end(), partner) == m_candidates.end();
    });
}

bool gossip_partners::isPartner(const std::string& endpoint) const
{
    return std::find(m_partners.begin(), m_partners.end(), endpoint) != m_partners.end();
}

void gossip_partners::fillUp(const choice_random_hook& random)
{
    auto wanted = std::min(m_policy.partners, m_candidates.size());
    while (m_partners.size() < wanted) {
        auto at = static_cast<std::size_t>(random(m_candidates.size()));
        while (isPartner(m_candidates[at]))
            at = (at + 1) % m_candidates.size();
        m_partners.push_front(m_candidates[at]);
    }
}

std::vector<std::string> gossip_partners::next(
    std::size_t count, const choice_random_hook& random, instant now)
{
    bool hasOthers = m_candidates.size() > m_partners.size();
    if (now >= m_nextRotation) {
        if (hasOthers && m_partners.size() == m_policy.partners)
            m_partners.pop_back();
        m_nextRotation = now + m_policy.rotationInterval;
    }
    fillUp(random);
    std::vector<std::string> chosen;
    for (count = std::min(count, m_partners.size()); chosen.size() < count;) {
        chosen.push_back(m_partners.front());
        m_partners.push_back(std::move(m_partners.front()));
        m_partners.pop_front();
    }
    return chosen;
}

void gossip_partners::recordFailure(const std::string& endpoint)
{
    if (m_candidates.size() > m_policy.partners)
        std::erase(m_partners, endpoint);
}

} // namespace pomelohub
