#include "rate_ledger.h"

#include "hashing.h"

#include <algorithm>
#include <cmath>

namespace pomelohub {

rate_share shareOf(const organisation& limits)
{
    return { limits.requestsPerSecond / rateParts, static_cast<double>(limits.burst) / rateParts };
}

static std::string bucketKey(const rate_part& part)
{
    return part.organisation.text() + '/' + std::to_string(part.part);
}

std::uint64_t hashOf(const rate_part& part) { return stableHash("rate/" + bucketKey(part)); }

rate_ledger::rate_ledger(std::chrono::milliseconds lifetime, int clockRateError, incarnation ownIncarnation)
    : m_lifetime(lifetime)
    , m_clockRateError(clockRateError)
    , m_lastGrantId(ownIncarnation)
    , m_slotStarts(slotCount, instant::min())
{
}

rate_grant rate_ledger::grant(const rate_request& request, const rate_share& limit, instant now)
{
    auto& bucket = bucketFor(request.part, limit, now);
    returnUnspent(bucket, request);
    refill(bucket, now);
    // A node that did not get a response asks again while its previous grant is outstanding. It gets no
    // tokens until that grant has expired.
    if (bucket.outstanding.contains(request.entry.node))
        return {};
    auto tokens = std::min(static_cast<std::uint32_t>(bucket.level), request.wanted);
    if (tokens == 0)
        return { 0, 0, timeUntilToken(bucket) };
    bucket.level -= tokens;
    auto id = ++m_lastGrantId;
    auto expires = now + m_lifetime * (1000 + m_clockRateError) / 1000;
    bucket.outstanding[request.entry.node] = { id, tokens, expires };
    return { id, tokens, m_lifetime };
}

std::chrono::milliseconds rate_ledger::timeUntilToken(const bucket& bucket)
{
    auto seconds = std::max(0.0, 1 - bucket.level) / bucket.limit.tokensPerSecond;
    return std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(seconds));
}

rate_ledger::bucket& rate_ledger::bucketFor(const rate_part& part, const rate_share& limit, instant now)
{
    auto [found, isNew] = m_buckets.try_emplace(bucketKey(part));
    auto& bucket = found->second;
    bucket.limit = limit;
    if (!isNew)
        return bucket;
    bucket.slot = slotOf(hashOf(part));
    auto start = m_slotStarts[bucket.slot];
    bucket.level = start == instant::min() ? limit.burst : 0;
    bucket.refilledAt = start == instant::min() ? now : start;
    return bucket;
}

void rate_ledger::returnUnspent(bucket& bucket, const rate_request& request)
{
    auto found = bucket.outstanding.find(request.entry.node);
    if (found == bucket.outstanding.end() || found->second.id != request.settles)
        return;
    bucket.level += std::min(request.unspent, found->second.tokens);
    bucket.outstanding.erase(found);
}

void rate_ledger::refill(bucket& bucket, instant now) const
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

void rate_ledger::startSlot(slot_index slot, instant since)
{
    std::erase_if(m_buckets, [&](const auto& entry) { return entry.second.slot == slot; });
    m_slotStarts[slot] = since;
}

void rate_ledger::trim(instant now)
{
    for (auto& [name, bucket] : m_buckets)
        refill(bucket, now);
    std::erase_if(m_buckets, [](const auto& entry) {
        return entry.second.outstanding.empty() && entry.second.level >= entry.second.limit.burst;
    });
}

} // namespace pomelohub
