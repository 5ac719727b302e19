#include "event_counter.h"

namespace pomelohub {

std::uint64_t event_counter::value() const
{
    std::lock_guard lock(m_mutex);
    return m_value;
}

void event_counter::increment()
{
    std::lock_guard lock(m_mutex);
    ++m_value;
    m_changed.notify_all();
}

bool event_counter::waitUntilChanged(std::uint64_t seen, instant deadline) const
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_until(lock, deadline, [&] { return m_value != seen; });
}

void sleepUntil(instant time)
{
    // Nothing increments this count, so the wait always ends at the deadline.
    event_counter().waitUntilChanged(0, time);
}

} // namespace pomelohub
