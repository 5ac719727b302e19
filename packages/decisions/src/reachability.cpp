#include "reachability.h"

#include <algorithm>

namespace pomelohub {

reachability::reachability(reachability_policy policy)
    : m_policy(policy)
{
}

void reachability::noteFailure(const std::string& endpoint, instant now)
{
    auto& entry = m_failing.try_emplace(endpoint, failing { now, now }).first->second;
    // Failures far apart are no evidence of what happened between them.
    if (now - entry.last > m_policy.lostAfter + m_policy.forgetAfter)
        entry.since = now;
    entry.last = now;
}

void reachability::noteAnswer(const std::string& endpoint) { m_failing.erase(endpoint); }

bool reachability::isLost(const failing& entry, instant now) const
{
    return entry.last - entry.since >= m_policy.lostAfter && now - entry.last < m_policy.forgetAfter;
}

bool reachability::isLost(const std::string& endpoint, instant now) const
{
    auto found = m_failing.find(endpoint);
    return found != m_failing.end() && isLost(found->second, now);
}

std::size_t reachability::lostCount(instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_failing.begin(), m_failing.end(), [&](const auto& entry) { return isLost(entry.second, now); }));
}

} // namespace pomelohub
