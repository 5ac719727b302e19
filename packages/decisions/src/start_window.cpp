#include "start_window.h"

#include <algorithm>
#include <cmath>

namespace pomelohub {

namespace {

    /** By how much requests may arrive later than others. */
    constexpr duration maxDelay = std::chrono::milliseconds(100);
    constexpr duration span = std::chrono::seconds(1) + maxDelay;

} // namespace

void start_window::withdraw()
{
    if (m_reserved > 0)
        --m_reserved;
}

void start_window::confirmWarm(instant time) { m_warmAt = std::max(m_warmAt, time - maxDelay); }

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

std::deque<instant>::const_iterator start_window::firstCounted(instant now) const
{
    return std::upper_bound(m_starts.begin(), m_starts.end(), std::max(now - span, m_warmAt));
}

std::size_t start_window::remaining(instant now) const
{
    return *m_limit - std::min(*m_limit, countedStarts(now) + m_reserved);
}

std::size_t start_window::countedStarts(instant now) const
{
    return static_cast<std::size_t>(m_starts.end() - firstCounted(now));
}

bool start_window::needsConfirmation(instant now) const
{
    constexpr double usedFraction = 0.75;
    return m_limit && static_cast<double>(countedStarts(now)) >= usedFraction * static_cast<double>(*m_limit);
}

duration start_window::waitFor(double count, instant now) const
{
    auto wanted = static_cast<std::size_t>(std::ceil(count));
    if (!m_limit || wanted <= remaining(now))
        return {};
    auto missing = wanted - remaining(now) - 1;
    auto index = missing % *m_limit;
    // Of a request that was granted a slot it is not known when it will be sent.
    auto wait = index < countedStarts(now)
        ? *(firstCounted(now) + static_cast<std::ptrdiff_t>(index)) + span - now
        : span;
    return wait + span * static_cast<std::int64_t>(missing / *m_limit);
}

} // namespace pomelohub
