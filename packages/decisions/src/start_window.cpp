#include "start_window.h"

#include <algorithm>

namespace pomelohub {

namespace {

    /** A second, and a tenth of it for requests that arrive sooner or later than others. */
    constexpr duration span = std::chrono::milliseconds(1100);

} // namespace

void start_window::withdraw()
{
    if (m_reserved > 0)
        --m_reserved;
}

void start_window::recordStart(instant now)
{
    withdraw();
    while (!m_starts.empty() && m_starts.front() <= now - span)
        m_starts.pop_front();
    m_starts.push_back(now);
}

std::size_t start_window::startCount(instant now) const
{
    auto first = std::upper_bound(m_starts.begin(), m_starts.end(), now - span);
    return static_cast<std::size_t>(m_starts.end() - first);
}

} // namespace pomelohub
