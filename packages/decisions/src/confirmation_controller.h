/** \file
 * Defines confirmation_controller, which determines up to which record every live member has applied the
 * configuration. The members of a data centre report their offsets to one member there, the collector, which
 * publishes the lowest of them in its member record.
 */
#pragma once

#include "membership.h"

#include <span>

namespace pomelohub {

/** Records of all known members. */
using member_list = std::span<const member_record* const>;

/** Collects the configuration offsets that members report. Thread safety: one thread at a time. */
class confirmation_controller {
public:
    /** The member of \p dataCentre that collects the offset reports there, chosen by rendezvous hashing; null
     * if the data centre has no live member. */
    static const member_record* collectorOf(const data_centre_id& dataCentre, member_list members);

    /** Records that \p member has applied all records before \p offset. Offsets never decrease. */
    void recordOffset(const node_incarnation& member, std::uint64_t offset);

    /** Removes the reports of members that are not live. */
    void retainLive(member_list members);

    /** Lowest offset among the live members of \p dataCentre; 0 if any of them has not reported. */
    std::uint64_t confirmedOffsetIn(const data_centre_id& dataCentre, member_list members) const;

    /** Offset before which every record is applied at every live member, according to the member records that
     * this node has; 0 if there is no live member. */
    static std::uint64_t inForceOffset(member_list members);

private:
    std::map<node_incarnation, std::uint64_t> m_offsets;
};

} // namespace pomelohub
