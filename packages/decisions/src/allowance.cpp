#include "allowance.h"

#include <algorithm>
#include <cmath>

namespace pomelohub {

namespace {

    double secondsOf(duration time) { return std::chrono::duration<double>(time).count(); }

} // namespace

allowance_ledger::allowance_ledger(allowance_policy policy, bool startsFull, instant now)
    : m_policy(policy)
    , m_startsFull(startsFull)
    , m_startedAt(now)
{
}

allowance_grant allowance_ledger::grant(
    const organisation_limits& limits, std::uint32_t wanted, double reached, instant now)
{
    auto full = std::max(limits.burst * reached, 1.0);
    auto perSecond = limits.tokensPerSecond * reached;
    auto [found, isNew] = m_buckets.try_emplace(limits.id);
    auto& bucket = found->second;
    if (isNew) {
        bucket.level = m_startsFull ? full : 0;
        bucket.accruedAt = m_startsFull ? now : m_startedAt;
    }
    bucket.level += secondsOf(now - bucket.accruedAt) * perSecond;
    bucket.level = std::min(bucket.level, full);
    bucket.accruedAt = now;
    if (bucket.level < 1) {
        auto missing = (1 - bucket.level) / std::max(perSecond, 0.01);
        return { 0, durationOf(missing) };
    }
    auto ahead = 1 + static_cast<std::uint32_t>((bucket.level - 1) * m_policy.shareOfLevel);
    auto tokens = std::max(1U, std::min(wanted, ahead));
    bucket.level -= tokens;
    return { tokens, {} };
}

allowance_wallet::allowance_wallet(allowance_policy policy)
    : m_policy(policy)
{
}

wallet_answer allowance_wallet::take(const organisation_limits& limits, instant now)
{
    auto& purse = m_purses[limits.id];
    auto passed = secondsOf(now - purse.demandAt);
    purse.demand = purse.demand * std::exp(-passed / secondsOf(m_policy.demandMemory)) + 1;
    purse.demandAt = now;
    if (purse.tokens > 0 && now < purse.expires) {
        --purse.tokens;
        return wallet_answer::taken;
    }
    return now < purse.dryUntil ? wallet_answer::denied : wallet_answer::ask;
}

std::uint32_t allowance_wallet::wanted(const organisation_limits& limits, instant)
{
    auto demand = static_cast<std::uint32_t>(m_purses[limits.id].demand);
    return std::clamp(demand, 1U, m_policy.mostWanted);
}

void allowance_wallet::add(
    const organisation_id& organisation, const allowance_grant& grant, instant askedAt, instant now)
{
    auto& purse = m_purses[organisation];
    if (grant.tokens == 0) {
        purse.dryUntil = std::max(purse.dryUntil, now + grant.retryAfter);
        return;
    }
    purse.tokens = (now < purse.expires ? purse.tokens : 0) + grant.tokens;
    purse.expires = askedAt + m_policy.tokenLifetime;
}

bool allowance_wallet::takeShare(const organisation_limits& limits, std::size_t nodes, instant now)
{
    auto& purse = m_purses[limits.id];
    auto parts = static_cast<double>(std::max<std::size_t>(nodes, 1));
    // The burst is the owner's alone to give, or nodes that lose it later would give it out once more.
    constexpr double mostSaved = 1;
    if (purse.shareAt == instant {})
        purse.share = 1;
    else
        purse.share += secondsOf(now - purse.shareAt) * limits.tokensPerSecond / parts;
    purse.share = std::min(purse.share, mostSaved);
    purse.shareAt = now;
    if (purse.share < 1)
        return false;
    purse.share -= 1;
    return true;
}

duration allowance_wallet::retryAfter(const organisation_id& organisation, instant now) const
{
    auto found = m_purses.find(organisation);
    return found == m_purses.end() ? duration::zero()
                                   : std::max(found->second.dryUntil - now, duration::zero());
}

} // namespace pomelohub
