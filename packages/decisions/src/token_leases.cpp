#include "token_leases.h"

#include <algorithm>

namespace pomelohub {

namespace {

    // The word of a lease holds the tokens in its low bits and the expiry time, in milliseconds, above them.
    constexpr unsigned tokenBits = 22;
    constexpr std::uint64_t tokenMask = (std::uint64_t { 1 } << tokenBits) - 1;

    /** Bounds of the time for which a partition without tokens is not asked again. */
    constexpr std::chrono::milliseconds minEmptyTime { 10 };
    constexpr std::chrono::milliseconds maxEmptyTime { 500 };

    std::uint64_t toMillis(instant time)
    {
        return static_cast<std::uint64_t>(
            std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()).count());
    }

    std::uint32_t spendableTokens(std::uint64_t word, instant now)
    {
        return word >> tokenBits > toMillis(now) ? static_cast<std::uint32_t>(word & tokenMask) : 0;
    }

} // namespace

bool token_lease::trySpend(instant now)
{
    auto word = m_word.load(std::memory_order_relaxed);
    while (spendableTokens(word, now) > 0) {
        if (m_word.compare_exchange_weak(word, word - 1, std::memory_order_acq_rel))
            return true;
    }
    return false;
}

std::uint32_t token_lease::replace(std::uint32_t tokens, instant expires)
{
    auto storedTokens = std::min<std::uint64_t>(tokens, tokenMask);
    auto previous = m_word.exchange(toMillis(expires) << tokenBits | storedTokens, std::memory_order_acq_rel);
    return static_cast<std::uint32_t>(previous & tokenMask);
}

std::uint32_t token_lease::available(instant now) const
{
    return spendableTokens(m_word.load(std::memory_order_relaxed), now);
}

handle<organisation_leases> token_leases::leasesFor(const organisation_id& organisation)
{
    auto& cell = m_shards[std::hash<organisation_id> {}(organisation) % shardCount];
    for (;;) {
        auto current = cell.load();
        if (current) {
            auto found = current->entries.find(organisation);
            if (found != current->entries.end())
                return found->second;
        }
        handle<shard_table> next(current ? new shard_table(*current) : new shard_table);
        handle<organisation_leases> leases(new organisation_leases);
        leases->organisation = organisation;
        next->entries.emplace(organisation, leases);
        if (cell.compareAndPublish(current, next))
            return leases;
    }
}

void token_leases::startDemandWindow()
{
    for (auto& cell : m_shards) {
        auto current = cell.load();
        if (!current)
            continue;
        for (const auto& [organisation, leases] : current->entries)
            leases->spentInPreviousWindow = leases->spentInWindow.exchange(0);
    }
}

static bool isIdle(const organisation_leases& leases, instant now)
{
    if (leases.spentInWindow > 0 || leases.spentInPreviousWindow > 0)
        return false;
    return std::all_of(leases.partitions.begin(), leases.partitions.end(),
        [&](const token_lease& lease) { return lease.available(now) == 0; });
}

void token_leases::trim(instant now)
{
    for (auto& cell : m_shards) {
        auto current = cell.load();
        if (!current)
            continue;
        handle<shard_table> next(new shard_table);
        for (const auto& [organisation, leases] : current->entries) {
            if (!isIdle(*leases, now))
                next->entries.emplace(organisation, leases);
        }
        if (next->entries.size() < current->entries.size())
            cell.compareAndPublish(current, next);
    }
}

bool trySpend(organisation_leases& leases, instant now)
{
    auto firstPartition = leases.nextPartition.load(std::memory_order_relaxed);
    for (std::uint32_t i = 0; i < ratePartitions; ++i) {
        if (leases.partitions[(firstPartition + i) % ratePartitions].trySpend(now)) {
            leases.spentInWindow.fetch_add(1, std::memory_order_relaxed);
            return true;
        }
    }
    return false;
}

bool hasPendingRequest(const organisation_leases& leases)
{
    return std::any_of(leases.isRequestPending.begin(), leases.isRequestPending.end(),
        [](const std::atomic<bool>& isRequestPending) { return isRequestPending.load(); });
}

std::uint32_t availableTokens(const organisation_leases& leases, instant now)
{
    std::uint32_t available = 0;
    for (const auto& lease : leases.partitions)
        available += lease.available(now);
    return available;
}

std::optional<rate_request> makeRefillRequest(
    organisation_leases& leases, const node_incarnation& self, instant now)
{
    auto available = availableTokens(leases, now);
    auto demand = std::max({ 1U, leases.spentInWindow.load(), leases.spentInPreviousWindow.load() });
    if (available >= demand)
        return std::nullopt;
    for (std::uint32_t i = 0; i < ratePartitions; ++i) {
        auto partition = leases.nextPartition.fetch_add(1) % ratePartitions;
        if (leases.emptyUntil[partition].load() > now || leases.isRequestPending[partition].exchange(true))
            continue;
        auto unspent = leases.partitions[partition].replace(0, now);
        auto returnedGrant = leases.grantIds[partition].exchange(0);
        auto wanted = 2 * demand - available + unspent;
        return rate_request { { leases.organisation, partition }, self, returnedGrant, unspent, wanted };
    }
    return std::nullopt;
}

void applyGrant(organisation_leases& leases, std::uint32_t partition, const rate_grant& grant, instant sentAt)
{
    leases.grantIds[partition] = grant.id;
    leases.partitions[partition].replace(grant.tokens, sentAt + grant.lifetime);
    if (grant.tokens == 0)
        leases.emptyUntil[partition] = sentAt + std::clamp(grant.lifetime, minEmptyTime, maxEmptyTime);
    leases.isRequestPending[partition] = false;
    leases.responses.increment();
}

} // namespace pomelohub
