#include "call_admission.h"

#include <algorithm>
#include <cmath>

namespace pomelohub {

namespace {

    using seconds = std::chrono::duration<double>;

    double decayFactor(duration elapsed, duration timeConstant)
    {
        return std::exp(-std::max(0.0, seconds(elapsed) / seconds(timeConstant)));
    }

} // namespace

void call_admission::decaying_count::add(double amount, duration timeConstant, instant now)
{
    value = at(timeConstant, now) + amount;
    updatedAt = now;
}

double call_admission::decaying_count::at(duration timeConstant, instant now) const
{
    return value * decayFactor(now - updatedAt, timeConstant);
}

double call_admission::rateOf(const decaying_count& count, instant now) const
{
    return count.at(m_policy.rateTime, now) / seconds(m_policy.rateTime).count();
}

double call_admission::callsPerRun(
    const kind_profile& profile, const decaying_count& calls, instant now) const
{
    auto runs = profile.runs.at(m_policy.learningTime, now);
    return runs < m_policy.minRuns ? 0 : calls.at(m_policy.learningTime, now) / runs;
}

void call_admission::advance(call_limit& limit, instant now) const
{
    if (!limit.isActive)
        return;
    auto elapsed = std::max(0.0, seconds(now - limit.updatedAt).count());
    limit.tokens = std::min(m_policy.burst, limit.tokens + limit.perSecond * elapsed);
    limit.perSecond *= std::pow(m_policy.rateGrowthPerSecond, elapsed);
    limit.updatedAt = now;
    auto demand = std::max(m_policy.minCallsPerSecond, rateOf(limit.calls, now));
    limit.isActive = limit.perSecond < m_policy.releaseFactor * demand;
}

void call_admission::recordRun(request_kind kind, instant now)
{
    auto& profile = m_kinds[kind];
    for (const auto& [service, calls] : profile.calls) {
        auto& limit = m_limits[service];
        advance(limit, now);
        if (limit.isActive)
            limit.tokens = std::max(-m_policy.burst, limit.tokens - callsPerRun(profile, calls, now));
    }
    profile.runs.add(1, m_policy.learningTime, now);
}

void call_admission::recordCall(
    const service_id& calledService, const std::vector<request_kind>& running, bool hadNoRoom, instant now)
{
    for (auto kind : running)
        m_kinds[kind].calls[calledService].add(
            1 / static_cast<double>(running.size()), m_policy.learningTime, now);
    auto& limit = m_limits[calledService];
    limit.calls.add(1, m_policy.rateTime, now);
    if (!hadNoRoom) {
        limit.served.add(1, m_policy.rateTime, now);
        return;
    }
    advance(limit, now);
    if (limit.isActive && now - limit.reducedAt < m_policy.reductionInterval)
        return;
    auto rate = limit.isActive ? limit.perSecond : rateOf(limit.served, now);
    limit.perSecond = std::max(m_policy.minCallsPerSecond, rate * m_policy.rateReduction);
    if (!limit.isActive) {
        limit.isActive = true;
        limit.tokens = 0;
        limit.updatedAt = now;
    }
    limit.reducedAt = now;
}

std::optional<call_refusal> call_admission::check(request_kind kind, double draw, instant now)
{
    auto found = m_kinds.find(kind);
    if (found == m_kinds.end())
        return std::nullopt;
    const auto& profile = found->second;
    constexpr double minCallsPerRun = 0.1; // Fewer are wrong guesses of which run has made a call.
    for (const auto& [service, calls] : profile.calls) {
        auto needed = callsPerRun(profile, calls, now);
        auto& limit = m_limits[service];
        advance(limit, now);
        if (!limit.isActive || needed < minCallsPerRun || limit.tokens >= std::min(needed, m_policy.burst))
            continue;
        auto spread = scaled(m_policy.maxRetryAfter - m_policy.minRetryAfter, draw);
        return call_refusal { service, limit.perSecond, needed,
            notRun(refusal_reason::calledServiceBusy,
                "the run would call " + service.text() + ", which has no room",
                std::chrono::ceil<std::chrono::milliseconds>(m_policy.minRetryAfter + spread))
                .value() };
    }
    return std::nullopt;
}

} // namespace pomelohub
