/** \file
 * Defines rate_ledger, the authority's side of rates: for the slots that a node holds it keeps one token
 * bucket an organisation and grants whole tokens to entry nodes for a short time.
 */
#pragma once

#include "resource.h"
#include "slot_table.h"

#include <unordered_map>

namespace pomelohub {

/** Into how many equal parts every organisation's rate and burst is divided. Each part has its own slot, so
 * that the loss of one authority takes this share only. Constant: all nodes must agree on it always. */
constexpr std::uint32_t rateParts = 8;

/** The smallest burst an organisation may have: one token for each part. */
constexpr std::uint32_t minimumBurst = rateParts;

/** The right of one part of one organisation. */
struct rate_share {
    double tokensPerSecond = 0;
    double burst = 0;
};

rate_share shareOf(const organisation& limits);

/** Names one part of an organisation's rate. */
struct rate_part {
    organisation_id organisation;
    std::uint32_t part = 0;
    auto operator<=>(const rate_part&) const = default;
};

/** Hash that places \p part in a slot. */
std::uint64_t hashOf(const rate_part& part);

/** An entry node's question. It settles the former grant, so that unspent tokens come back. */
struct rate_request {
    rate_part part;
    node_life entry;
    std::uint64_t settles = 0; ///< Identifier of the former grant, 0 for none.
    std::uint32_t unspent = 0; ///< Tokens of the former grant that can no longer be spent.
    std::uint32_t wanted = 0;
};

/** The answer: tokens that may be spent for a time, counted from before the request was sent. */
struct rate_grant {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
    std::chrono::milliseconds lifetime { 0 }; ///< Without tokens: when the next one is due.
};

/** The buckets of the slots that this node holds. Precondition of every call: the caller checked at the
 * same present time that this node may use the slot. Thread safety: one thread at a time. */
class rate_ledger {
public:
    /** \param lifetime how long a grant may be spent. \param clockRateError in thousandths. \param life of
     * this node, from which the identifiers of grants start. */
    rate_ledger(std::chrono::milliseconds lifetime, int clockRateError, incarnation life);

    /** Settles and grants. Tokens that are granted and not yet settled or expired count against the burst,
     * so that what entry nodes hold and what the bucket holds never exceed it together. */
    rate_grant grant(const rate_request& request, const rate_share& share, instant now);

    /** Forgets the buckets of \p slot, whose buckets were empty at \p since and filled from then on.
     * instant::min() stands for a slot that nobody held before: its buckets start full. */
    void startSlot(slot_index slot, instant since);

    std::size_t bucketCount() const { return m_buckets.size(); }

    /** Forgets the buckets that are full again, since a new one would be full as well. */
    void trim(instant now);

private:
    struct outstanding_grant {
        std::uint64_t id = 0;
        std::uint32_t tokens = 0;
        instant expires {};
    };
    struct bucket {
        slot_index slot = 0;
        rate_share share;
        double level = 0;
        instant accruedAt {};
        std::unordered_map<node_id, outstanding_grant> outstanding;
    };

    bucket& bucketFor(const rate_part& part, const rate_share& share, instant now);
    static std::chrono::milliseconds timeToToken(const bucket& bucket);
    static void settle(bucket& bucket, const rate_request& request);
    void accrue(bucket& bucket, instant now) const;

    std::chrono::milliseconds m_lifetime;
    int m_clockRateError;
    std::uint64_t m_lastGrant = 0;
    std::unordered_map<std::string, bucket> m_buckets;
    std::vector<instant> m_slotStarts;
};

} // namespace pomelohub
