/** \file
 * Defines confirmation_controller, which works out up to which record the configuration is in force at every
 * live member: members report to one of their data centre, whose lowest offset spreads with its record.
 */
#pragma once

#include "membership.h"

#include <span>

namespace pomelohub {

/** Records of all known members. */
using member_list = std::span<const member_record* const>;

/** Thread safety: one thread at a time. */
class confirmation_controller {
public:
    /** The member of \p dataCentre that collects its reports, or nothing when it has no live member. */
    static const member_record* reporterOf(const data_centre_id& dataCentre, member_list members);

    /** Notes that \p member has applied all records before \p offset. */
    void note(const node_life& member, std::uint64_t offset);

    /** Forgets the reports of members that are not live. */
    void retain(member_list members);

    /** The lowest offset among live members of \p dataCentre, 0 while one of them has not reported. */
    std::uint64_t confirmedIn(const data_centre_id& dataCentre, member_list members) const;

    /** The offset before which every record is in force at every live member, as this node knows. */
    static std::uint64_t inForce(member_list members);

private:
    std::map<node_life, std::uint64_t> m_offsets;
};

} // namespace pomelohub
