#include "concurrency_limiter.h"

#include <algorithm>

namespace pomelohub {

concurrency_limiter::concurrency_limiter(std::uint32_t slots, concurrency_limit_policy policy)
    : m_slots(std::max(1U, slots))
    , m_policy(std::move(policy))
{
    reset();
}

void concurrency_limiter::reset()
{
    m_limit = std::clamp(m_policy.initialLimit(m_slots), 1U, m_slots);
    m_successes = 0;
    m_consecutiveFailures = 0;
}

void concurrency_limiter::setCondition(backend_condition condition)
{
    bool becomesCold = condition == backend_condition::cold && m_condition != backend_condition::cold;
    m_condition = condition;
    if (becomesCold)
        reset();
}

bool concurrency_limiter::tryAcquire()
{
    if (m_inUse >= m_limit)
        return false;
    ++m_inUse;
    return true;
}

void concurrency_limiter::releaseUnused() { --m_inUse; }

void concurrency_limiter::release(const request_outcome& sample)
{
    --m_inUse;
    if (!isFailure(sample)) {
        m_consecutiveFailures = 0;
        recordSuccess(sample.latency);
        return;
    }
    m_successes = 0;
    if (++m_consecutiveFailures >= m_policy.failuresToReset)
        reset();
}

bool concurrency_limiter::isFailure(const request_outcome& sample) const
{
    if (sample.hasFailed)
        return true;
    if (m_meanLatency == duration::zero() || sample.latency < m_policy.minSlowLatency)
        return false;
    return sample.latency > scaled(m_meanLatency, m_policy.slowFactor);
}

void concurrency_limiter::recordSuccess(duration latency)
{
    // Exponentially weighted moving average over about 32 responses.
    m_meanLatency
        = m_meanLatency == duration::zero() ? latency : m_meanLatency + (latency - m_meanLatency) / 32;
    if (m_limit >= m_slots)
        return;
    auto allowed = m_condition == backend_condition::cold ? m_limit * m_limit : m_limit;
    if (++m_successes < allowed * m_policy.successesPerIncrease)
        return;
    m_successes = 0;
    ++m_limit;
}

} // namespace pomelohub
