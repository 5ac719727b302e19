/** \file
 * Defines start_window, which counts the requests that were sent to one backend server within the last
 * second, and those that hold a slot and may still be sent.
 */
#pragma once

#include "core_types.h"

#include <deque>

namespace pomelohub {

/** Thread safety: one thread at a time. */
class start_window {
public:
    /** Notes that a request was granted a slot and may be sent at any time from now on. */
    void reserve() { ++m_reserved; }

    /** Notes that a request that was granted a slot is not going to be sent. */
    void withdraw();

    /** Notes that a request that was granted a slot is sent. */
    void recordStart(instant now);

    /** Requests sent within the second before \p now. */
    std::size_t startCount(instant now) const;

private:
    std::deque<instant> m_starts; ///< Oldest first.
    std::size_t m_reserved = 0;
};

} // namespace pomelohub
