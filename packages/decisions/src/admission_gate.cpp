#include "admission_gate.h"

#include <algorithm>

namespace pomelohub {

admission_gate::admission_gate(std::uint32_t slots, gate_policy policy)
    : m_slots(std::max(1U, slots))
    , m_policy(std::move(policy))
{
    restart();
}

void admission_gate::restart()
{
    m_limit = std::clamp(m_policy.startLimit(m_slots), 1U, m_slots);
    m_goodAnswers = 0;
    m_badAnswers = 0;
}

void admission_gate::setCondition(backend_condition condition)
{
    bool turnsCold = condition == backend_condition::cold && m_condition != backend_condition::cold;
    m_condition = condition;
    if (turnsCold)
        restart();
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
    if (!isBad(sample)) {
        m_badAnswers = 0;
        noteGood(sample.latency);
        return;
    }
    m_goodAnswers = 0;
    if (++m_badAnswers >= m_policy.badAnswersToReset)
        restart();
}

bool admission_gate::isBad(const service_sample& sample) const
{
    if (sample.failed)
        return true;
    if (m_usual == duration::zero() || sample.latency < m_policy.slowFloor)
        return false;
    return sample.latency > scaled(m_usual, m_policy.slowFactor);
}

void admission_gate::noteGood(duration latency)
{
    // An exponential mean over about 32 answers.
    m_usual = m_usual == duration::zero() ? latency : m_usual + (latency - m_usual) / 32;
    if (m_limit >= m_slots)
        return;
    if (++m_goodAnswers < m_limit * m_policy.answersPerStep)
        return;
    m_goodAnswers = 0;
    ++m_limit;
}

} // namespace pomelohub
