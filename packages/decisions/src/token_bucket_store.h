/** \file
 * Defines token_bucket_store, the authority's side of rate limiting. For the slots that this node holds, it
 * keeps one token bucket for each partition of an organisation's rate, and leases tokens to entry nodes for a
 * short time.
 */
#pragma once

#include "resource.h"
#include "slot_table.h"

#include <unordered_map>

namespace pomelohub {

/** Number of equal partitions into which the rate and the burst of every organisation are divided. Each
 * partition has its own slot, so that the loss of one authority affects only this share of the rate. Must
 * never change, because all nodes must agree on it at all times. */
constexpr std::uint32_t ratePartitions = 8;

/** Minimum burst of an organisation: one token for each partition. */
constexpr std::uint32_t minBurst = ratePartitions;

/** The rate limit of one partition of an organisation. */
struct partition_limit {
    double tokensPerSecond = 0;
    double burst = 0;
};

/** The limit of each partition of an organisation with the rate and burst of \p limits. */
partition_limit partitionLimitOf(const organisation& limits);

/** Identifies one partition of an organisation's rate. */
struct rate_partition {
    organisation_id organisation;
    std::uint32_t index = 0;
    auto operator<=>(const rate_partition&) const = default;
};

/** Hash by which \p partition is assigned to a slot. */
std::uint64_t hashOf(const rate_partition& partition);

/** A request of an entry node for tokens. It also returns the unspent tokens of the node's previous grant. */
struct rate_request {
    rate_partition partition;
    node_incarnation entry;
    std::uint64_t returnedGrant = 0; ///< Identifier of the previous grant, 0 for none.
    std::uint32_t unspent = 0; ///< Tokens of the previous grant that were not and can no longer be spent.
    std::uint32_t requestedTokens = 0;
};

/** The response: tokens that may be spent within a lifetime, which the entry node counts from the time at
 * which it sent the request. */
struct rate_grant {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
    std::chrono::milliseconds lifetime { 0 }; ///< Without tokens: time until the next one is due.
};

/** The token buckets of the slots that this node holds. Precondition of every call: the caller checked, for
 * the same point in time, that this node may use the slot. Thread safety: one thread at a time. */
class token_bucket_store {
public:
    /** \param lifetime of a grant. \param clockRateError maximum error of the clock's rate, in thousandths.
     * \param ownIncarnation of this node, after which the identifiers of grants start. */
    token_bucket_store(
        std::chrono::milliseconds lifetime, int clockRateError, incarnation_number ownIncarnation);

    /** Takes back the unspent tokens of the previous grant and grants new ones as far as the bucket allows.
     * Tokens of grants that are neither returned nor expired count against the burst, so that the tokens in
     * the bucket and at the entry nodes together never exceed it. */
    rate_grant grant(const rate_request& request, const partition_limit& limit, instant now);

    /** Drops the buckets of \p slot. Buckets created afterwards count as empty at \p since and refill from
     * then on. instant::min() stands for a slot that no node held before: its buckets start full. */
    void startSlot(slot_index slot, instant since);

    std::size_t bucketCount() const { return m_buckets.size(); }

    /** Drops full buckets without outstanding grants, since a new one would be full as well. */
    void trim(instant now);

private:
    struct outstanding_grant {
        std::uint64_t id = 0;
        std::uint32_t tokens = 0;
        instant expires {};
    };
    struct bucket {
        slot_index slot = 0;
        partition_limit limit;
        double level = 0;
        instant refilledAt {};
        std::unordered_map<node_id, outstanding_grant> outstanding;
    };

    bucket& bucketFor(const rate_partition& partition, const partition_limit& limit, instant now);
    static std::chrono::milliseconds timeUntilToken(const bucket& bucket);
    static void returnUnspent(bucket& bucket, const rate_request& request);
    void refill(bucket& bucket, instant now) const;

    std::chrono::milliseconds m_lifetime;
    int m_clockRateError;
    std::uint64_t m_lastGrantId = 0;
    std::unordered_map<std::string, bucket> m_buckets;
    std::vector<instant> m_slotStarts;
};

} // namespace pomelohub
