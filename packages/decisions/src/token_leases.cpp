#include "token_leases.h"

#include <algorithm>

namespace pomelohub {

namespace {

    // A lease word holds the tokens in its low bits and the time of expiry in milliseconds above them.
    constexpr unsigned tokenBits = 22;
    constexpr std::uint64_t tokenMask = (std::uint64_t { 1 } << tokenBits) - 1;

    /** Bounds of how long a part without tokens is left alone. */
    constexpr std::chrono::milliseconds shortestDryTime { 10 };
    constexpr std::chrono::milliseconds longestDryTime { 500 };

    std::uint64_t toMillis(instant time)
    {
        return static_cast<std::uint64_t>(
            std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()).count());
    }

    std::uint32_t spendable(std::uint64_t word, instant now)
    {
        return word >> tokenBits > toMillis(now) ? static_cast<std::uint32_t>(word & tokenMask) : 0;
    }

} // namespace

bool token_lease::trySpend(instant now)
{
    auto word = m_word.load(std::memory_order_relaxed);
    while (spendable(word, now) > 0) {
        if (m_word.compare_exchange_weak(word, word - 1, std::memory_order_acq_rel))
            return true;
    }
    return false;
}

std::uint32_t token_lease::replace(std::uint32_t tokens, instant expires)
{
    auto kept = std::min<std::uint64_t>(tokens, tokenMask);
    auto former = m_word.exchange(toMillis(expires) << tokenBits | kept, std::memory_order_acq_rel);
    return static_cast<std::uint32_t>(former & tokenMask);
}

std::uint32_t token_lease::available(instant now) const
{
    return spendable(m_word.load(std::memory_order_relaxed), now);
}

handle<organisation_leases> token_leases::of(const organisation_id& organisation)
{
    auto& cell = m_shards[std::hash<organisation_id> {}(organisation) % shardCount];
    for (;;) {
        auto present = cell.load();
        if (present) {
            auto found = present->entries.find(organisation);
            if (found != present->entries.end())
                return found->second;
        }
        handle<shard> next(present ? new shard(*present) : new shard);
        handle<organisation_leases> leases(new organisation_leases);
        leases->organisation = organisation;
        next->entries.emplace(organisation, leases);
        if (cell.publishIf(present, next))
            return leases;
    }
}

void token_leases::startWindow()
{
    for (auto& cell : m_shards) {
        auto present = cell.load();
        if (!present)
            continue;
        for (const auto& [organisation, leases] : present->entries)
            leases->spentBefore = leases->spentInWindow.exchange(0);
    }
}

static bool isIdle(const organisation_leases& leases, instant now)
{
    if (leases.spentInWindow > 0 || leases.spentBefore > 0)
        return false;
    return std::all_of(leases.parts.begin(), leases.parts.end(),
        [&](const token_lease& lease) { return lease.available(now) == 0; });
}

void token_leases::trim(instant now)
{
    for (auto& cell : m_shards) {
        auto present = cell.load();
        if (!present)
            continue;
        handle<shard> next(new shard);
        for (const auto& [organisation, leases] : present->entries) {
            if (!isIdle(*leases, now))
                next->entries.emplace(organisation, leases);
        }
        if (next->entries.size() < present->entries.size())
            cell.publishIf(present, next);
    }
}

bool trySpend(organisation_leases& leases, instant now)
{
    auto first = leases.nextPart.load(std::memory_order_relaxed);
    for (std::uint32_t i = 0; i < rateParts; ++i) {
        if (leases.parts[(first + i) % rateParts].trySpend(now)) {
            leases.spentInWindow.fetch_add(1, std::memory_order_relaxed);
            return true;
        }
    }
    return false;
}

bool isAsking(const organisation_leases& leases)
{
    return std::any_of(leases.asking.begin(), leases.asking.end(),
        [](const std::atomic<bool>& asking) { return asking.load(); });
}

std::uint32_t availableTokens(const organisation_leases& leases, instant now)
{
    std::uint32_t available = 0;
    for (const auto& lease : leases.parts)
        available += lease.available(now);
    return available;
}

std::optional<rate_request> refillRequest(organisation_leases& leases, const node_life& self, instant now)
{
    auto available = availableTokens(leases, now);
    auto demand = std::max({ 1U, leases.spentInWindow.load(), leases.spentBefore.load() });
    if (available >= demand)
        return std::nullopt;
    for (std::uint32_t i = 0; i < rateParts; ++i) {
        auto part = leases.nextPart.fetch_add(1) % rateParts;
        if (leases.dryUntil[part].load() > now || leases.asking[part].exchange(true))
            continue;
        auto unspent = leases.parts[part].replace(0, now);
        auto settles = leases.grants[part].exchange(0);
        auto wanted = 2 * demand - available + unspent;
        return rate_request { { leases.organisation, part }, self, settles, unspent, wanted };
    }
    return std::nullopt;
}

void takeGrant(organisation_leases& leases, std::uint32_t part, const rate_grant& grant, instant asked)
{
    leases.grants[part] = grant.id;
    leases.parts[part].replace(grant.tokens, asked + grant.lifetime);
    if (grant.tokens == 0)
        leases.dryUntil[part] = asked + std::clamp(grant.lifetime, shortestDryTime, longestDryTime);
    leases.asking[part] = false;
    leases.arrivals.note();
}

} // namespace pomelohub
