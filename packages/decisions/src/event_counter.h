/** \file
 * Defines event_counter, an event count: a thread can wait for the next event, or until a point in time.
 */
#pragma once

#include "core_types.h"

#include <condition_variable>
#include <mutex>

namespace pomelohub {

/** Counts events and lets threads block until the count changes. A thread reads value() first, checks its
 * condition and then passes that value to waitUntilChanged(), so that it misses no event. Thread safety: any
 * thread. */
class event_counter {
public:
    std::uint64_t value() const;

    /** Counts one event and wakes the waiting threads. */
    void increment();

    /** Blocks until the count differs from \p seen or \p deadline passes.
     * \return whether the count differs. */
    bool waitUntilChanged(std::uint64_t seen, instant deadline) const;

private:
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    std::uint64_t m_value = 0;
};

/** Blocks the calling thread until \p time. */
void sleepUntil(instant time);

} // namespace pomelohub
