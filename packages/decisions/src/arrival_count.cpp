#include "arrival_count.h"

namespace pomelohub {

std::uint64_t arrival_count::value() const
{
    std::lock_guard lock(m_mutex);
    return m_value;
}

void arrival_count::note()
{
    std::lock_guard lock(m_mutex);
    ++m_value;
    m_changed.notify_all();
}

bool arrival_count::waitBeyond(std::uint64_t seen, instant deadline) const
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_until(lock, deadline, [&] { return m_value != seen; });
}

void waitUntil(instant time)
{
    // Nothing increments this count, so the wait always ends at the deadline.
    arrival_count().waitBeyond(0, time);
}

} // namespace pomelohub
