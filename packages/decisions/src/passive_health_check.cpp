#include "passive_health_check.h"

#include <algorithm>
#include <cmath>

namespace pomelohub {

namespace {

    double secondsOf(duration time) { return std::chrono::duration<double>(time).count(); }

} // namespace

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

passive_health_check::passive_health_check(passive_health_policy policy)
    : m_policy(policy)
    , m_baseFailureRatio(policy.minBaseFailureRatio)
    , m_observedFailureRatio(policy.minBaseFailureRatio)
{
    m_belief = beliefAt(instant::max());
}

/** The belief after a time without outcomes, in which the server may have failed or recovered. */
passive_health_check::belief passive_health_check::beliefAt(instant now) const
{
    auto partialRate = 1 / secondsOf(m_policy.meanTimeToPartialFailure);
    auto fullRate = 1 / secondsOf(m_policy.meanTimeToFullFailure);
    auto recoveryRate = 1 / secondsOf(m_policy.meanFailureTime);
    auto totalRate = partialRate + fullRate + recoveryRate;
    auto seconds = std::max(0.0, secondsOf(now - m_updatedAt));
    auto sum = m_belief.partial + m_belief.full;
    // The two kinds of failure end at the same rate, so their sum has a closed form; the failures that have
    // begun since are split by the rates at which each kind begins.
    auto failingLimit = (partialRate + fullRate) / totalRate;
    auto failing = failingLimit + (sum - failingLimit) * std::exp(-totalRate * seconds);
    auto kept = std::exp(-recoveryRate * seconds);
    auto begun = std::max(0.0, failing - sum * kept);
    auto partialShare = partialRate / (partialRate + fullRate);
    return { m_belief.partial * kept + begun * partialShare,
        m_belief.full * kept + begun * (1 - partialShare) };
}

double passive_health_check::partialFailureRatio() const
{
    constexpr double margin = 0.25;
    return std::max(m_policy.partialFailureRatio, m_baseFailureRatio + margin);
}

double passive_health_check::riskOf(const belief& state) const
{
    auto failing = state.partial * (partialFailureRatio() - m_baseFailureRatio)
        + state.full * (m_policy.fullFailureRatio - m_baseFailureRatio);
    return failing / (1 - m_baseFailureRatio);
}

double passive_health_check::failureRisk(instant now) const { return riskOf(beliefAt(now)); }

bool passive_health_check::record(backend_outcome outcome, instant now)
{
    bool isServed = outcome == backend_outcome::served;
    m_observedFailureRatio
        = m_observedFailureRatio * m_policy.previousWeight + (isServed ? 0 : 1 - m_policy.previousWeight);
    auto prior = beliefAt(now);
    auto likelihood = [&](double failureRatio) { return isServed ? 1 - failureRatio : failureRatio; };
    auto soundLikelihood = outcome == backend_outcome::stuck ? m_baseFailureRatio * m_policy.stuckShare
                                                             : likelihood(m_baseFailureRatio);
    auto sound = (1 - prior.partial - prior.full) * soundLikelihood;
    auto partial = prior.partial * likelihood(partialFailureRatio());
    auto full = prior.full * likelihood(m_policy.fullFailureRatio);
    auto total = sound + partial + full;
    m_belief = { partial / total, full / total };
    m_updatedAt = now;
    if (!isServed)
        m_lastFailure = now;
    auto risk = riskOf(m_belief);
    if (!isServed)
        m_nextTrialAt = std::max(m_nextTrialAt, now + m_policy.trialInterval);
    else
        m_nextTrialAt = now; // The interval spares requests of a server that still fails.
    bool wasSuspect = m_isSuspect;
    m_isSuspect = wasSuspect ? risk >= m_policy.clearedRisk : risk > m_policy.suspectRisk;
    return m_isSuspect != wasSuspect;
}

void passive_health_check::reset()
{
    m_belief = beliefAt(instant::max());
    m_isSuspect = false;
    m_nextTrialAt = {};
    m_lastFailure = {};
}

void passive_health_check::setBaseFailureRatio(double ratio)
{
    m_baseFailureRatio = std::clamp(ratio, m_policy.minBaseFailureRatio, m_policy.maxBaseFailureRatio);
}

bool passive_health_check::tryStartTrial(instant now)
{
    if (now < m_nextTrialAt)
        return false;
    m_nextTrialAt = now + m_policy.trialInterval;
    return true;
}

} // namespace pomelohub
