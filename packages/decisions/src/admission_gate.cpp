#include "admission_gate.h"

#include <algorithm>

namespace pomelohub {

admission_gate::admission_gate(std::uint32_t slots, gate_policy policy)
    : m_slots(std::max(1U, slots))
    , m_policy(std::move(policy))
{
    reset();
}

void admission_gate::reset()
{
    m_limit = std::clamp(m_policy.startLimit(m_slots), 1U, m_slots);
    m_successes = 0;
    m_consecutiveFailures = 0;
}

void admission_gate::setCondition(backend_condition condition)
{
    bool becomesCold = condition == backend_condition::cold && m_condition != backend_condition::cold;
    m_condition = condition;
    if (becomesCold)
        reset();
}

bool admission_gate::tryAcquire()
{
    if (m_inUse >= m_limit)
        return false;
    ++m_inUse;
    return true;
}

void admission_gate::releaseUnused() { --m_inUse; }

void admission_gate::release(const service_sample& sample)
{
    --m_inUse;
    if (!isFailure(sample)) {
        m_consecutiveFailures = 0;
        recordSuccess(sample.latency);
        return;
    }
    m_successes = 0;
    if (++m_consecutiveFailures >= m_policy.badAnswersToReset)
        reset();
}

bool admission_gate::isFailure(const service_sample& sample) const
{
    if (sample.failed)
        return true;
    if (m_meanLatency == duration::zero() || sample.latency < m_policy.slowFloor)
        return false;
    return sample.latency > scaled(m_meanLatency, m_policy.slowFactor);
}

void admission_gate::recordSuccess(duration latency)
{
    // Exponentially weighted moving average over about 32 responses.
    m_meanLatency
        = m_meanLatency == duration::zero() ? latency : m_meanLatency + (latency - m_meanLatency) / 32;
    if (m_limit >= m_slots)
        return;
    if (++m_successes < m_limit * m_policy.answersPerStep)
        return;
    m_successes = 0;
    ++m_limit;
}

} // namespace pomelohub
