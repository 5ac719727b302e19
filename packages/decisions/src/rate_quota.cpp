#include "rate_quota.h"

#include <algorithm>
#include <cmath>

namespace pomelohub {

namespace {

    double toSeconds(duration time) { return std::chrono::duration<double>(time).count(); }

} // namespace

quota_allocator::quota_allocator(quota_policy policy, bool startsFull, instant now)
    : m_policy(policy)
    , m_startsFull(startsFull)
    , m_startedAt(now)
    , m_runningAt(now)
{
}

void quota_allocator::recordRunning(instant now)
{
    auto gap = now - std::exchange(m_runningAt, now);
    if (gap <= m_policy.maxRunningGap)
        return;
    m_startedAt += gap;
    for (auto& [organisation, bucket] : m_buckets)
        bucket.refilledAt = std::min(bucket.refilledAt + gap, now);
}

quota_grant quota_allocator::grant(const organisation_limits& limits, std::uint32_t wanted,
    double reachableFraction, instant now, quota_role role)
{
    recordRunning(now);
    auto full = limits.burst * reachableFraction;
    auto perSecond = limits.tokensPerSecond * reachableFraction;
    if (role == quota_role::standIn)
        full = std::min(full, perSecond * toSeconds(m_policy.maxStandInSavings));
    full = std::max(full, 1.0);
    auto [found, isNew] = m_buckets.try_emplace(limits.id);
    auto& bucket = found->second;
    if (isNew) {
        bool startsFull = m_startsFull && role == quota_role::owner;
        bucket.level = startsFull ? full : 0;
        bucket.refilledAt = startsFull || role == quota_role::standIn ? now : m_startedAt;
    }
    bucket.level += toSeconds(now - bucket.refilledAt) * perSecond;
    bucket.level = std::min(bucket.level, full);
    bucket.refilledAt = now;
    if (bucket.level < 1) {
        auto secondsToToken = (1 - bucket.level) / std::max(perSecond, 0.01);
        return { 0, durationOf(secondsToToken) };
    }
    auto maxTokens = 1 + static_cast<std::uint32_t>((bucket.level - 1) * m_policy.maxAdvanceFraction);
    auto tokens = std::max(1U, std::min(wanted, maxTokens));
    bucket.level -= tokens;
    return { tokens, {} };
}

quota_client::quota_client(quota_policy policy)
    : m_policy(policy)
{
}

quota_decision quota_client::tryAcquire(const organisation_limits& limits, instant now)
{
    auto& cached = m_cached[limits.id];
    auto elapsed = toSeconds(now - cached.demandUpdatedAt);
    cached.demand = cached.demand * std::exp(-elapsed / toSeconds(m_policy.demandTimeConstant)) + 1;
    cached.demandUpdatedAt = now;
    if (cached.tokens > 0 && now < cached.expiresAt) {
        --cached.tokens;
        return quota_decision::taken;
    }
    return now < cached.deniedUntil ? quota_decision::denied : quota_decision::requestTokens;
}

std::uint32_t quota_client::tokensToRequest(const organisation_limits& limits, instant)
{
    auto demand = static_cast<std::uint32_t>(m_cached[limits.id].demand);
    return std::clamp(demand, 1U, m_policy.maxTokensPerRequest);
}

void quota_client::addGrant(
    const organisation_id& organisation, const quota_grant& grant, instant askedAt, instant now)
{
    auto& cached = m_cached[organisation];
    if (grant.tokens == 0) {
        cached.deniedUntil = std::max(cached.deniedUntil, now + grant.retryAfter);
        return;
    }
    cached.tokens = (now < cached.expiresAt ? cached.tokens : 0) + grant.tokens;
    cached.expiresAt = askedAt + m_policy.tokenLifetime;
}

bool quota_client::tryAcquireFromShare(const organisation_limits& limits, std::size_t nodes, instant now)
{
    auto& cached = m_cached[limits.id];
    auto nodeCount = static_cast<double>(std::max<std::size_t>(nodes, 1));
    // Only the owner grants bursts: nodes that lose contact with it later would otherwise grant them again.
    constexpr double maxShareTokens = 1;
    if (cached.shareRefilledAt == instant {})
        cached.shareTokens = 1;
    else
        cached.shareTokens += toSeconds(now - cached.shareRefilledAt) * limits.tokensPerSecond / nodeCount;
    cached.shareTokens = std::min(cached.shareTokens, maxShareTokens);
    cached.shareRefilledAt = now;
    if (cached.shareTokens < 1)
        return false;
    cached.shareTokens -= 1;
    return true;
}

duration quota_client::retryAfter(const organisation_id& organisation, instant now) const
{
    auto found = m_cached.find(organisation);
    return found == m_cached.end() ? duration::zero()
                                   : std::max(found->second.deniedUntil - now, duration::zero());
}

} // namespace pomelohub
