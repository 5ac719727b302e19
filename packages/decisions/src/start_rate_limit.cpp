#include "start_rate_limit.h"

#include <algorithm>

namespace pomelohub {

start_rate_limit::start_rate_limit(double burst)
    : m_burst(burst)
{
}

void start_rate_limit::set(double perSecond, instant until)
{
    if (m_perSecond != perSecond)
        m_tokens = std::min(m_tokens, 1.0);
    m_perSecond = perSecond;
    m_until = until;
}

void start_rate_limit::refill(instant now)
{
    auto elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_tokens = std::min(m_burst, m_tokens + elapsed * m_perSecond);
}

void start_rate_limit::take(instant now)
{
    if (isActive(now))
        m_tokens -= 1;
}

duration start_rate_limit::waitFor(double count, instant now) const
{
    if (!isActive(now) || count <= m_tokens)
        return {};
    auto tokensReadyAt = m_refilledAt + durationOf((count - m_tokens) / m_perSecond);
    return std::clamp(tokensReadyAt - now, duration::zero(), m_until - now);
}

} // namespace pomelohub
