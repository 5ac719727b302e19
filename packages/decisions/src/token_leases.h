/** \file
 * Defines token_leases, the entry node's side of rate limiting. It holds the tokens that authorities granted
 * to this node. Requests spend them with atomic operations only.
 */
#pragma once

#include "event_counter.h"
#include "token_bucket_store.h"

#include <optional>

namespace pomelohub {

/** The tokens of one partition and their expiry time, packed into one atomic word. */
class token_lease {
public:
    /** Spends one token. \return false when no unexpired one is left at \p now. Thread safety: any thread. */
    bool trySpend(instant now);

    /** Replaces the tokens and their expiry time. \return the unspent tokens that were replaced and can no
     * longer be spent. Thread safety: any thread, but only one caller at a time may store a grant. */
    std::uint32_t replace(std::uint32_t tokens, instant expires);

    /** Number of tokens that can be spent at \p now. Thread safety: any thread. */
    std::uint32_t available(instant now) const;

private:
    std::atomic<std::uint64_t> m_word { 0 };
};

/** The leases of one organisation at this node, one for each partition of its rate, and its recent demand. */
struct organisation_leases : ref_counted<organisation_leases> {
    organisation_id organisation;
    std::array<token_lease, ratePartitions> partitions;
    std::array<std::atomic<std::uint64_t>, ratePartitions> grantIds {}; ///< Grant in each lease, 0 for none.
    std::array<std::atomic<bool>, ratePartitions> isRequestPending {}; ///< For tokens of this partition.
    /** Time before which a partition is not asked again, since it had no token. */
    std::array<std::atomic<instant>, ratePartitions> emptyUntil {};
    event_counter responses; ///< Counts the responses of authorities, for all partitions.
    std::atomic<std::uint32_t> spentInWindow { 0 };
    std::atomic<std::uint32_t> spentInPreviousWindow { 0 }; ///< In the window before the current one.
    std::atomic<std::uint32_t> nextPartition { 0 }; ///< Where the round-robin over partitions continues.
};

/** The leases of all organisations that were recently active at this node. */
class token_leases {
public:
    /** Length of the window over which demand is measured. */
    static constexpr std::chrono::milliseconds demandWindow { 100 };

    /** Returns the leases of \p organisation, which are created on first use. Thread safety: any thread; the
     * first use of an organisation copies and publishes the table of its shard. */
    handle<organisation_leases> leasesFor(const organisation_id& organisation);

    /** Starts a new demand window for every organisation. Thread safety: one thread at a time. */
    void startDemandWindow();

    /** Removes organisations that hold no token at \p now and spent none in the current and the previous
     * window. Thread safety: one thread at a time. */
    void trim(instant now);

private:
    static constexpr std::size_t shardCount = 256;
    struct shard_table : ref_counted<shard_table> {
        std::unordered_map<organisation_id, handle<organisation_leases>> entries;
    };

    std::array<rcu_cell<shard_table>, shardCount> m_shards;
};

/** Spends one token of any partition. \return false when no partition has one. Thread safety: any thread. */
bool trySpend(organisation_leases& leases, instant now);

/** Builds the request that refills the next partition of \p leases. \return nothing while enough tokens are
 * left for the recent demand, or when every partition has a request in flight or is known to be empty. The
 * unspent tokens of the partition are withdrawn and returned with the request. The caller passes the
 * response, or an empty grant if it got none, to applyGrant(). Thread safety: any thread. */
std::optional<rate_request> makeRefillRequest(
    organisation_leases& leases, const node_incarnation& self, instant now);

/** Whether any request for tokens is in flight. Thread safety: any thread. */
bool hasPendingRequest(const organisation_leases& leases);

/** Number of tokens of all partitions that can be spent at \p now. Thread safety: any thread. */
std::uint32_t availableTokens(const organisation_leases& leases, instant now);

/** Stores \p grant in the lease of \p partition. \param sentAt when the request was sent, from which the
 * lifetime counts. Thread safety: any thread. */
void applyGrant(
    organisation_leases& leases, std::uint32_t partition, const rate_grant& grant, instant sentAt);

} // namespace pomelohub
