#include "passive_health_check.h"

#include <algorithm>

namespace pomelohub {

std::string_view toText(backend_outcome outcome)
{
    switch (outcome) {
    case backend_outcome::served:
        return "served";
    case backend_outcome::failed:
        return "failed";
    case backend_outcome::broken:
        return "broken";
    case backend_outcome::stuck:
        return "stuck";
    }
    return "";
}

std::string_view toText(suspect_rule rule)
{
    switch (rule) {
    case suspect_rule::trialsOnly:
        return "trials-only";
    case suspect_rule::failingInPart:
        return "failing-in-part";
    case suspect_rule::any:
        return "any";
    }
    return "";
}

suspect_rule suspectRuleFromText(std::string_view text)
{
    for (auto rule : { suspect_rule::failingInPart, suspect_rule::any }) {
        if (text == toText(rule))
            return rule;
    }
    return suspect_rule::trialsOnly;
}

passive_health_check::passive_health_check(passive_health_policy policy)
    : m_policy(policy)
    , m_successesToClear(policy.successesToClear)
{
}

double passive_health_check::weightOf(backend_outcome outcome) const
{
    switch (outcome) {
    case backend_outcome::served:
        return 0;
    case backend_outcome::failed:
        return m_policy.failedWeight;
    case backend_outcome::broken:
    case backend_outcome::stuck:
        return m_policy.brokenWeight;
    }
    return 0;
}

bool passive_health_check::record(backend_outcome outcome, instant startedAt, instant now)
{
    bool isServed = outcome == backend_outcome::served;
    m_failureScore
        = m_failureScore * m_policy.previousWeight + weightOf(outcome) * (1 - m_policy.previousWeight);
    m_failureRatio = m_failureRatio * m_policy.previousWeight + (isServed ? 0 : 1 - m_policy.previousWeight);
    if (!isServed)
        m_lastFailure = now;
    if (m_isSuspect) {
        if (!isServed) {
            m_successesInRow = 0;
            return false;
        }
        // The outcome of a request that was sent earlier does not show that the server has recovered since.
        if (startedAt < m_suspectSince)
            return false;
        if (++m_successesInRow < m_successesToClear) {
            m_nextTrialAt = now; // The interval spares requests of a server that still fails.
            return false;
        }
        m_isSuspect = false;
        m_failureScore = 0;
        return true;
    }
    if (m_failureScore < m_policy.suspectThreshold)
        return false;
    bool isRelapse = m_suspectSince != instant {} && now - m_suspectSince < m_policy.relapseWindow;
    m_successesToClear = isRelapse ? std::min(m_successesToClear + 1, m_policy.maxSuccessesToClear)
                                   : m_policy.successesToClear;
    m_isSuspect = true;
    m_suspectSince = now;
    m_successesInRow = 0;
    m_nextTrialAt = now + m_policy.trialInterval;
    return true;
}

bool passive_health_check::accepts(suspect_rule rule) const
{
    if (!m_isSuspect || rule == suspect_rule::any)
        return true;
    return rule == suspect_rule::failingInPart && m_failureRatio <= m_policy.maxFailureRatio;
}

bool passive_health_check::tryStartTrial(instant now)
{
    if (!m_isSuspect || now < m_nextTrialAt)
        return false;
    m_nextTrialAt = now + m_policy.trialInterval;
    return true;
}

void passive_health_check::reset()
{
    m_failureScore = 0;
    m_failureRatio = 0;
    m_isSuspect = false;
    m_successesInRow = 0;
    m_successesToClear = m_policy.successesToClear;
    m_suspectSince = {};
}

} // namespace pomelohub
