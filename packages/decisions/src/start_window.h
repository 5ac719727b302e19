/** \file
 * Defines start_window, which limits the requests that are sent to one backend server in any second since it
 * is last known to have been warm. Between two signs of its warmth a server may have turned cold.
 */
#pragma once

#include "core_types.h"

#include <algorithm>
#include <deque>
#include <optional>

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

    /** Limits the requests to \p count a second, at least 1; nothing for no limit. */
    void setLimit(std::optional<std::size_t> count) { m_limit = count; }

    /** The server was warm at \p time, so that requests that had reached it by then count no longer. */
    void confirmWarm(instant time);

    /** Whether one more request may be granted a slot. */
    bool mayStart(instant now) const { return !m_limit || remaining(now) > 0; }

    /** Whether requests that were sent have used up most of the limit, so that the server is to be asked
     * whether it is warm. */
    bool needsConfirmation(instant now) const;

    /** Time until \p count requests may have been sent if no confirmation comes; zero when there is no limit.
     */
    duration waitFor(double count, instant now) const;

private:
    std::size_t remaining(instant now) const;
    std::size_t countedStarts(instant now) const;
    std::deque<instant>::const_iterator firstCounted(instant now) const;

    std::optional<std::size_t> m_limit;
    instant m_warmAt = instant::min();
    std::deque<instant> m_starts; ///< Oldest first.
    std::size_t m_reserved = 0;
};

} // namespace pomelohub
