#include "reachability.h"

#include <algorithm>

namespace pomelohub {

reachability::reachability(reachability_policy policy)
    : m_policy(policy)
{
}

void reachability::recordFailure(const std::string& endpoint, instant now)
{
    auto& period = m_failurePeriods.try_emplace(endpoint, failure_period { now, now }).first->second;
    // Failures far apart do not show that the node was unreachable in between.
    if (now - period.lastFailure > m_policy.unreachableAfter + m_policy.failureLifetime)
        period.firstFailure = now;
    period.lastFailure = now;
}

void reachability::recordResponse(const std::string& endpoint) { m_failurePeriods.erase(endpoint); }

bool reachability::isUnreachable(const failure_period& period, instant now) const
{
    return period.lastFailure - period.firstFailure >= m_policy.unreachableAfter
        && now - period.lastFailure < m_policy.failureLifetime;
}

bool reachability::isUnreachable(const std::string& endpoint, instant now) const
{
    auto found = m_failurePeriods.find(endpoint);
    return found != m_failurePeriods.end() && isUnreachable(found->second, now);
}

std::size_t reachability::unreachableCount(instant now) const
{
    return static_cast<std::size_t>(std::count_if(m_failurePeriods.begin(), m_failurePeriods.end(),
        [&](const auto& period) { return isUnreachable(period.second, now); }));
}

} // namespace pomelohub
