#include "token_bucket_store.h"

#include "hashing.h"

#include <algorithm>
#include <cmath>

namespace pomelohub {

partition_limit partitionLimitOf(const organisation& limits)
{
    return { limits.requestsPerSecond / ratePartitions, static_cast<double>(limits.burst) / ratePartitions };
}

static std::string bucketKey(const rate_partition& partition)
{
    return partition.organisation.text() + '/' + std::to_string(partition.index);
}

std::uint64_t hashOf(const rate_partition& partition) { return stableHash("rate/" + bucketKey(partition)); }

token_bucket_store::token_bucket_store(
    std::chrono::milliseconds lifetime, int clockRateError, incarnation_number ownIncarnation)
    : m_lifetime(lifetime)
    , m_clockRateError(clockRateError)
    , m_lastGrantId(ownIncarnation)
    , m_slotStarts(slotCount, instant::min())
{
}

rate_grant token_bucket_store::grant(const rate_request& request, const partition_limit& limit, instant now)
{
    auto& bucket = bucketFor(request.partition, limit, now);
    returnUnspent(bucket, request);
    refill(bucket, now);
    // A node that did not get a response asks again while its previous grant is outstanding. It gets no
    // tokens until that grant has expired.
    if (bucket.outstanding.contains(request.entry.node))
        return {};
    auto tokens = std::min(static_cast<std::uint32_t>(bucket.level), request.requestedTokens);
    if (tokens == 0)
        return { 0, 0, timeUntilToken(bucket) };
    bucket.level -= tokens;
    auto id = ++m_lastGrantId;
    auto expires = now + m_lifetime * (1000 + m_clockRateError) / 1000;
    bucket.outstanding[request.entry.node] = { id, tokens, expires };
    return { id, tokens, m_lifetime };
}

std::chrono::milliseconds token_bucket_store::timeUntilToken(const bucket& bucket)
{
    auto seconds = std::max(0.0, 1 - bucket.level) / bucket.limit.tokensPerSecond;
    return std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(seconds));
}

token_bucket_store::bucket& token_bucket_store::bucketFor(
    const rate_partition& partition, const partition_limit& limit, instant now)
{
    auto [found, isNew] = m_buckets.try_emplace(bucketKey(partition));
    auto& bucket = found->second;
    bucket.limit = limit;
    if (!isNew)
        return bucket;
    bucket.slot = slotOf(hashOf(partition));
    auto start = m_slotStarts[bucket.slot];
    bucket.level = start == instant::min() ? limit.burst : 0;
    bucket.refilledAt = start == instant::min() ? now : start;
    return bucket;
}

void token_bucket_store::returnUnspent(bucket& bucket, const rate_request& request)
{
    auto found = bucket.outstanding.find(request.entry.node);
    if (found == bucket.outstanding.end() || found->second.id != request.returnedGrant)
        return;
    bucket.level += std::min(request.unspent, found->second.tokens);
    bucket.outstanding.erase(found);
}

void token_bucket_store::refill(bucket& bucket, instant now) const
{
    std::erase_if(bucket.outstanding, [&](const auto& entry) { return entry.second.expires <= now; });
    double outstandingTokens = 0;
    for (const auto& [node, grant] : bucket.outstanding)
        outstandingTokens += grant.tokens;
    auto seconds = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.refilledAt = std::max(bucket.refilledAt, now);
    // Assumes the fastest possible clock, so that the clock's error never raises the rate.
    auto rate = bucket.limit.tokensPerSecond * (1000 - m_clockRateError) / 1000;
    auto refilledLevel = bucket.level + std::max(0.0, seconds) * rate;
    bucket.level = std::max(0.0, std::min(refilledLevel, bucket.limit.burst - outstandingTokens));
}

void token_bucket_store::startSlot(slot_index slot, instant since)
{
    std::erase_if(m_buckets, [&](const auto& entry) { return entry.second.slot == slot; });
    m_slotStarts[slot] = since;
}

void token_bucket_store::trim(instant now)
{
    for (auto& [name, bucket] : m_buckets)
        refill(bucket, now);
    std::erase_if(m_buckets, [](const auto& entry) {
        return entry.second.outstanding.empty() && entry.second.level >= entry.second.limit.burst;
    });
}

} // namespace pomelohub
