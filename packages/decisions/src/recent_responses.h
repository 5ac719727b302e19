/** \file
 * Defines recent_responses, which remembers for a short time which requests a backend server answered.
 */
#pragma once

#include "core_types.h"

#include <array>
#include <atomic>
#include <optional>

namespace pomelohub {

/** Identifies equal requests: a hash of what makes them equal. */
using request_fingerprint = std::uint64_t;

/** A hash table of fixed size in which a newer response may replace an older one. Thread safety: any thread.
 */
class recent_responses {
public:
    /** Notes that a backend server completed a response to the request at \p now. */
    void record(request_fingerprint fingerprint, instant now);

    /** Time of the last response to the request, in milliseconds rounded down. \return nothing if it is
     * unknown or older than the lifetime of an entry. */
    std::optional<instant> lastResponse(request_fingerprint fingerprint, instant now) const;

private:
    static constexpr std::size_t size = 2048;

    /** Half of a fingerprint above the time in milliseconds, which wraps around; 0 if empty. */
    std::array<std::atomic<std::uint64_t>, size> m_entries {};
};

} // namespace pomelohub
