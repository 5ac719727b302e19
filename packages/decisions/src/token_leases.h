/** \file
 * Defines token_leases, the entry node's side of rates: tokens that authorities granted, spent by requests
 * with atomic operations only.
 */
#pragma once

#include "arrival_count.h"
#include "rate_ledger.h"

#include <optional>

namespace pomelohub {

/** The tokens of one part, in one atomic word with the time at which they expire. */
class token_lease {
public:
    /** Takes one token. \return false when none is left at \p now. Thread safety: any thread. */
    bool trySpend(instant now);

    /** Replaces the contents. \return the tokens that were left and can no longer be spent. Thread safety:
     * any thread, but one caller at a time brings a grant. */
    std::uint32_t replace(std::uint32_t tokens, instant expires);

    /** Tokens that can be spent at \p now. Thread safety: any thread. */
    std::uint32_t available(instant now) const;

private:
    std::atomic<std::uint64_t> m_word { 0 };
};

/** All leases of one organisation at this node, and its recent demand. */
struct organisation_leases : counted<organisation_leases> {
    organisation_id organisation;
    std::array<token_lease, rateParts> parts;
    std::array<std::atomic<std::uint64_t>, rateParts> grants {}; ///< Identifier of the grant in each lease.
    std::array<std::atomic<bool>, rateParts> asking {}; ///< A question for this part is under way.
    std::array<std::atomic<instant>, rateParts> dryUntil {}; ///< The authority had no token before then.
    arrival_count arrivals; ///< Answers of authorities, of all parts.
    std::atomic<std::uint32_t> spentInWindow { 0 };
    std::atomic<std::uint32_t> spentBefore { 0 }; ///< Tokens spent in the window before the present one.
    std::atomic<std::uint32_t> nextPart { 0 };
};

/** The leases of all organisations that were active at this node of late. */
class token_leases {
public:
    /** Length of the window in which demand is counted. */
    static constexpr std::chrono::milliseconds demandWindow { 100 };

    /** The leases of \p organisation, made on first use. Thread safety: any thread; the first use of an
     * organisation publishes a new table of its shard. */
    handle<organisation_leases> of(const organisation_id& organisation);

    /** Starts a new demand window in every organisation. Thread safety: one thread at a time. */
    void startWindow();

    /** Forgets organisations that hold no token at \p now and spent none in two windows. Thread safety: one
     * thread at a time. */
    void trim(instant now);

private:
    static constexpr std::size_t shardCount = 256;
    struct shard : counted<shard> {
        std::unordered_map<organisation_id, handle<organisation_leases>> entries;
    };

    std::array<rcu_cell<shard>, shardCount> m_shards;
};

/** Takes one token from any part. \return false when no part has one. Thread safety: any thread. */
bool trySpend(organisation_leases& leases, instant now);

/** The question that would best refill \p leases, or nothing while enough is left or all parts are asked
 * already. Takes the unspent tokens of the part that it asks out of use. The caller hands the answer, or an
 * empty grant when there was none, to takeGrant(). Thread safety: any thread. */
std::optional<rate_request> refillRequest(organisation_leases& leases, const node_life& self, instant now);

/** Whether any question is under way. Thread safety: any thread. */
bool isAsking(const organisation_leases& leases);

/** Tokens that can be spent at \p now. Thread safety: any thread. */
std::uint32_t availableTokens(const organisation_leases& leases, instant now);

/** Puts \p grant into its lease. \param asked when the question was sent. Thread safety: any thread. */
void takeGrant(organisation_leases& leases, std::uint32_t part, const rate_grant& grant, instant asked);

} // namespace pomelohub
