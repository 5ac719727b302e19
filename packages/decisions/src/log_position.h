/** \file
 * Defines log_position, a place in the operators' log that says to which history of the log it belongs.
 */
#pragma once

#include <compare>
#include <cstdint>

namespace pomelohub {

/** Counts the times that the store came back from an older copy of itself; 0 if it does not say. */
using store_era = std::uint64_t;

/** A place in the operators' log. Offsets are given out again in a later era, so they are compared within one
 * era only, and a position of a later era is behind all of an earlier one. */
struct log_position {
    store_era era = 0;
    std::uint64_t offset = 0;
    auto operator<=>(const log_position&) const = default;
};

/** What a node knows of the history of the log, by itself or from others. */
struct followed_log {
    /** The last part of the log of which it knows each record, in the last era before the present one. */
    std::uint64_t formerStart = 0;
    log_position formerEnd;
    /** The lowest end of the log that is known in the present era. Records behind it are new in this era. */
    std::uint64_t lowestEnd = 0;
    /** Where the part begins of which it knows each record, in the present era. It ends at the position of
     * the node. */
    std::uint64_t start = 0;
    bool operator==(const followed_log&) const = default;
};

} // namespace pomelohub
