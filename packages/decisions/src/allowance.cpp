#include "allowance.h"

#include <algorithm>
#include <cmath>

namespace pomelohub {

namespace {

    double toSeconds(duration time) { return std::chrono::duration<double>(time).count(); }

} // namespace

allowance_ledger::allowance_ledger(allowance_policy policy, bool startsFull, instant now)
    : m_policy(policy)
    , m_startsFull(startsFull)
    , m_startedAt(now)
{
}

allowance_grant allowance_ledger::grant(
    const organisation_limits& limits, std::uint32_t wanted, double reachableFraction, instant now)
{
    auto full = std::max(limits.burst * reachableFraction, 1.0);
    auto perSecond = limits.tokensPerSecond * reachableFraction;
    auto [found, isNew] = m_buckets.try_emplace(limits.id);
    auto& bucket = found->second;
    if (isNew) {
        bucket.level = m_startsFull ? full : 0;
        bucket.refilledAt = m_startsFull ? now : m_startedAt;
    }
    bucket.level += toSeconds(now - bucket.refilledAt) * perSecond;
    bucket.level = std::min(bucket.level, full);
    bucket.refilledAt = now;
    if (bucket.level < 1) {
        auto secondsToToken = (1 - bucket.level) / std::max(perSecond, 0.01);
        return { 0, durationOf(secondsToToken) };
    }
    auto maxTokens = 1 + static_cast<std::uint32_t>((bucket.level - 1) * m_policy.shareOfLevel);
    auto tokens = std::max(1U, std::min(wanted, maxTokens));
    bucket.level -= tokens;
    return { tokens, {} };
}

allowance_wallet::allowance_wallet(allowance_policy policy)
    : m_policy(policy)
{
}

wallet_answer allowance_wallet::take(const organisation_limits& limits, instant now)
{
    auto& cached = m_cached[limits.id];
    auto elapsed = toSeconds(now - cached.demandUpdatedAt);
    cached.demand = cached.demand * std::exp(-elapsed / toSeconds(m_policy.demandMemory)) + 1;
    cached.demandUpdatedAt = now;
    if (cached.tokens > 0 && now < cached.expiresAt) {
        --cached.tokens;
        return wallet_answer::taken;
    }
    return now < cached.deniedUntil ? wallet_answer::denied : wallet_answer::ask;
}

std::uint32_t allowance_wallet::wanted(const organisation_limits& limits, instant)
{
    auto demand = static_cast<std::uint32_t>(m_cached[limits.id].demand);
    return std::clamp(demand, 1U, m_policy.mostWanted);
}

void allowance_wallet::add(
    const organisation_id& organisation, const allowance_grant& grant, instant askedAt, instant now)
{
    auto& cached = m_cached[organisation];
    if (grant.tokens == 0) {
        cached.deniedUntil = std::max(cached.deniedUntil, now + grant.retryAfter);
        return;
    }
    cached.tokens = (now < cached.expiresAt ? cached.tokens : 0) + grant.tokens;
    cached.expiresAt = askedAt + m_policy.tokenLifetime;
}

bool allowance_wallet::takeShare(const organisation_limits& limits, std::size_t nodes, instant now)
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

duration allowance_wallet::retryAfter(const organisation_id& organisation, instant now) const
{
    auto found = m_cached.find(organisation);
    return found == m_cached.end() ? duration::zero()
                                   : std::max(found->second.deniedUntil - now, duration::zero());
}

} // namespace pomelohub
