#include "gossip_partners.h"

#include <algorithm>

namespace pomelohub {

namespace {

    bool contains(const auto& endpoints, const std::string& endpoint)
    {
        return std::find(endpoints.begin(), endpoints.end(), endpoint) != endpoints.end();
    }

} // namespace

gossip_partners::gossip_partners(node_id self, data_centre_id dataCentre, gossip_partner_policy policy)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_policy(policy)
{
}

void gossip_partners::update(std::span<const instance_announcement> active)
{
    m_local.candidates.clear();
    m_remote.candidates.clear();
    for (const auto& each : active) {
        if (each.node != m_self)
            (each.dataCentre == m_dataCentre ? m_local : m_remote).candidates.push_back(each.endpoint);
    }
    for (auto* group : { &m_local, &m_remote }) {
        // An endpoint that two announcements share is one node; fillUp() needs distinct candidates.
        auto& candidates = group->candidates;
        std::sort(candidates.begin(), candidates.end());
        candidates.erase(std::unique(candidates.begin(), candidates.end()), candidates.end());
        std::erase_if(group->partners,
            [&](const std::string& partner) { return !contains(group->candidates, partner); });
    }
}

void gossip_partners::fillUp(group& group, std::size_t wanted, const choice_random_hook& random)
{
    while (group.partners.size() > wanted)
        group.partners.pop_back();
    while (group.partners.size() < wanted) {
        auto at = static_cast<std::size_t>(random(group.candidates.size()));
        while (contains(group.partners, group.candidates[at]))
            at = (at + 1) % group.candidates.size();
        group.partners.push_front(group.candidates[at]);
    }
}

void gossip_partners::rotate(group& group)
{
    if (group.candidates.size() > group.partners.size() && !group.partners.empty())
        group.partners.pop_back();
}

std::vector<std::string> gossip_partners::next(
    std::size_t count, const choice_random_hook& random, instant now)
{
    if (now >= m_nextRotation) {
        // Each group has its turn in proportion to its partners.
        bool isRemoteTurn = partnerCount() > 0 && m_rotations++ % partnerCount() < m_remote.partners.size();
        rotate(isRemoteTurn ? m_remote : m_local);
        m_nextRotation = now + m_policy.rotationInterval;
    }
    auto remote = std::min(m_policy.remotePartners, m_remote.candidates.size());
    auto local = std::min(m_policy.partners - remote, m_local.candidates.size());
    remote = std::min(m_policy.partners - local, m_remote.candidates.size());
    fillUp(m_local, local, random);
    fillUp(m_remote, remote, random);
    std::vector<std::string> chosen;
    for (count = std::min(count, local + remote); chosen.size() < count; ++m_turn) {
        auto& partners = (m_turn % (local + remote) < remote ? m_remote : m_local).partners;
        chosen.push_back(partners.front());
        partners.push_back(std::move(partners.front()));
        partners.pop_front();
    }
    return chosen;
}

void gossip_partners::recordFailure(const std::string& endpoint)
{
    for (auto* group : { &m_local, &m_remote }) {
        if (group->candidates.size() > group->partners.size())
            std::erase(group->partners, endpoint);
    }
}

} // namespace pomelohub
