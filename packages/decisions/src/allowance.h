/** \file
 * Defines allowance_ledger and allowance_wallet, which keep each organisation within its rate over all nodes.
 * One node owns the bucket of an organisation; the others ask it for tokens and keep the few they hold for a
 * short time. A node that cannot reach the owner falls back to its even share.
 */
#pragma once

#include "routing_table.h"

#include <unordered_map>

namespace pomelohub {

/** What an owner grants. */
struct allowance_grant {
    std::uint32_t tokens = 0;
    duration retryAfter {}; ///< Without tokens: when one is due.
};

struct allowance_policy {
    duration tokenLifetime = std::chrono::seconds(1); ///< Unspent tokens lapse, so few can pile up.
    std::uint32_t mostWanted = 4; ///< Tokens asked for at once.
    double shareOfLevel = 0.1; ///< Of a bucket that one node may take ahead of its need.
    duration demandMemory = std::chrono::seconds(1);
};

/** The buckets that this node owns. Thread safety: one thread at a time. */
class allowance_ledger {
public:
    /** \param startsFull whether nobody can have granted tokens before this node started. */
    allowance_ledger(allowance_policy policy, bool startsFull, instant now);

    /** \param reached share of the fleet that this node reaches. It grants that share of the rate only, so
     * that the parts of a divided fleet, each with an owner, stay within the rate together. */
    allowance_grant grant(
        const organisation_limits& limits, std::uint32_t wanted, double reached, instant now);

private:
    struct bucket {
        double level = 0;
        instant accruedAt {};
    };

    allowance_policy m_policy;
    bool m_startsFull;
    instant m_startedAt;
    std::unordered_map<organisation_id, bucket> m_buckets;
};

/** What a wallet says of a request. */
enum class wallet_answer {
    taken,
    ask, ///< Ask the owner, then add its grant.
    denied,
};

/** The tokens that this node holds. Thread safety: one thread at a time. */
class allowance_wallet {
public:
    explicit allowance_wallet(allowance_policy policy);

    wallet_answer take(const organisation_limits& limits, instant now);

    /** How many tokens to ask for now. */
    std::uint32_t wanted(const organisation_limits& limits, instant now);

    /** Adds what the owner granted to a question sent at \p askedAt. */
    void add(const organisation_id& organisation, const allowance_grant& grant, instant askedAt, instant now);

    /** The owner cannot be reached: takes a token of this node's even share of \p nodes in the rate. */
    bool takeShare(const organisation_limits& limits, std::size_t nodes, instant now);

    /** Time until the owner may have a token again. */
    duration retryAfter(const organisation_id& organisation, instant now) const;

private:
    struct purse {
        std::uint32_t tokens = 0;
        instant expires {};
        instant dryUntil {};
        double demand = 0; ///< Requests in the demand memory, decaying.
        instant demandAt {};
        double share = 0; ///< Tokens of the even share.
        instant shareAt {};
    };

    allowance_policy m_policy;
    std::unordered_map<organisation_id, purse> m_purses;
};

} // namespace pomelohub
