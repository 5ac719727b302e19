/** \file
 * Defines quota_allocator and quota_client, a distributed token bucket that limits the request rate of
 * each organisation over all nodes. One node owns the bucket of an organisation; the others request tokens
 * from it and cache a few for a short time. A node that cannot reach the owner falls back to an even share of
 * the rate.
 */
#pragma once

#include "routing_table.h"

#include <unordered_map>

namespace pomelohub {

/** The owner's response to a request for tokens. */
struct quota_grant {
    std::uint32_t tokens = 0;
    duration retryAfter {}; ///< Time until the next token if none was granted.
};

struct quota_policy {
    duration tokenLifetime = std::chrono::seconds(1); ///< Cached tokens expire, so that few can accumulate.
    std::uint32_t maxTokensPerRequest = 4; ///< Maximum number of tokens in one request to the owner.
    /** A stand-in saves up tokens for this long only, so that a burst that the owner has granted, or will
     * grant, is not granted again. */
    duration maxStandInSavings = std::chrono::milliseconds(400);
    duration maxRunningGap = std::chrono::seconds(1); ///< A longer one is a suspension.
    double maxAdvanceFraction = 0.1; ///< Fraction of the bucket's level that one request may take in advance.
    duration demandTimeConstant = std::chrono::seconds(1); ///< Time constant of the decaying request count.
};

/** As what a node grants tokens. */
enum class quota_role {
    owner, ///< The preferred owner of the organisation.
    standIn, ///< It takes the place of an owner that it cannot reach, and that may still grant tokens.
};

/** The token buckets that this node owns. Thread safety: one thread at a time. */
class quota_allocator {
public:
    /** \param startsFull whether no other node, nor an earlier run of this one, can have granted tokens
     * before. */
    quota_allocator(quota_policy policy, bool startsFull, instant now);

    /** Takes up to \p wanted tokens from the bucket of an organisation. \param reachableFraction fraction of
     * the nodes that this node reaches. Rate and burst are scaled by it, so that the owners on the sides of a
     * network partition together stay within the rate. */
    quota_grant grant(const organisation_limits& limits, std::uint32_t wanted, double reachableFraction,
        instant now, quota_role role = quota_role::owner);

    /** Records that this process runs. To be called at least each half second. No tokens accrue over a longer
     * gap, in which a stand-in may have granted them. */
    void recordRunning(instant now);

private:
    struct bucket {
        double level = 0;
        instant refilledAt {};
    };

    quota_policy m_policy;
    bool m_startsFull;
    instant m_startedAt;
    instant m_runningAt;
    std::unordered_map<organisation_id, bucket> m_buckets;
};

/** Whether a request may proceed. */
enum class quota_decision {
    taken, ///< A cached token was spent.
    requestTokens, ///< Request tokens from the owner, then add its grant.
    denied, ///< The owner had no token a moment ago.
};

/** The tokens that this node has cached, by organisation. Thread safety: one thread at a time. */
class quota_client {
public:
    explicit quota_client(quota_policy policy);

    /** Spends a cached token if there is one. */
    quota_decision tryAcquire(const organisation_limits& limits, instant now);

    /** Number of tokens to request from the owner, by recent demand. */
    std::uint32_t tokensToRequest(const organisation_limits& limits, instant now);

    /** Caches what the owner granted in response to a request sent at \p askedAt. */
    void addGrant(
        const organisation_id& organisation, const quota_grant& grant, instant askedAt, instant now);

    /** Fallback while the owner cannot be reached: takes a token from this node's even share of the rate,
     * one part in \p nodes. \return whether there was one. */
    bool tryAcquireFromShare(const organisation_limits& limits, std::size_t nodes, instant now);

    /** Time until the owner is expected to have a token again. */
    duration retryAfter(const organisation_id& organisation, instant now) const;

private:
    struct cached_tokens {
        std::uint32_t tokens = 0;
        instant expiresAt {};
        instant deniedUntil {};
        double demand = 0; ///< Exponentially decaying count of requests.
        instant demandUpdatedAt {};
        double shareTokens = 0; ///< Available tokens of the even share.
        instant shareRefilledAt {};
    };

    quota_policy m_policy;
    std::unordered_map<organisation_id, cached_tokens> m_cached;
};

} // namespace pomelohub
