/** \file
 * Defines arrival_count, by which a thread waits for the next event of a kind, or for a time.
 */
#pragma once

#include "core_types.h"

#include <condition_variable>
#include <mutex>

namespace pomelohub {

/** Counts events and lets a thread wait for the next one. Thread safety: any thread. */
class arrival_count {
public:
    std::uint64_t value() const;
    void note();

    /** Waits until the count differs from \p seen. \return false when \p deadline passed first. */
    bool waitBeyond(std::uint64_t seen, instant deadline) const;

private:
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    std::uint64_t m_value = 0;
};

/** Blocks the calling thread until \p time. */
void waitUntil(instant time);

} // namespace pomelohub
