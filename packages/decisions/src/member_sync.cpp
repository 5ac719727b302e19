#include "member_sync.h"

#include <algorithm>

namespace pomelohub {

member_sync::member_sync(member_sync_policy policy)
    : m_policy(policy)
{
}

void member_sync::noteAnswer(const gossip_message& answer, std::uint64_t ownDigest, instant now)
{
    if (answer.viewDigest == ownDigest) {
        m_differing.reset();
        return;
    }
    if (!m_differing)
        m_differingSince = now;
    m_differing = peer_address { answer.from.node, answer.fromEndpoint };
}

bool member_sync::isDue(std::size_t members, instant now)
{
    if (now < m_next)
        return false;
    bool isOverdue = m_differing && now - m_differingSince >= m_policy.differingTime;
    if (m_isComplete && !isOverdue)
        return false;
    auto price = m_policy.priceForMember * static_cast<std::int64_t>(members);
    m_paidUntil = std::max(m_paidUntil, now) + price;
    m_next = std::max(now + m_policy.shortestPause, m_paidUntil - m_policy.exchangesAtOnce * price);
    return true;
}

} // namespace pomelohub
