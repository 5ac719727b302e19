#include "member_sync.h"

#include <algorithm>

namespace pomelohub {

member_sync::member_sync(member_sync_policy policy)
    : m_policy(policy)
{
}

void member_sync::recordPeerView(const gossip_message& answer, std::uint64_t ownDigest, instant now)
{
    if (answer.viewDigest == ownDigest) {
        m_differingPeer.reset();
        return;
    }
    if (!m_differingPeer)
        m_differingSince = now;
    m_differingPeer = peer_address { answer.from.node, answer.fromEndpoint };
}

bool member_sync::tryStart(std::size_t members, instant now)
{
    if (now < m_nextAllowed)
        return false;
    bool isRepairDue = m_differingPeer && now - m_differingSince >= m_policy.maxDifferingTime;
    if (m_hasSynced && !isRepairDue)
        return false;
    auto cost = m_policy.costPerMember * static_cast<std::int64_t>(members);
    m_rateLimitUsedUntil = std::max(m_rateLimitUsedUntil, now) + cost;
    m_nextAllowed = std::max(now + m_policy.minInterval, m_rateLimitUsedUntil - m_policy.maxBurst * cost);
    return true;
}

} // namespace pomelohub
