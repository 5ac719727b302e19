#include "gray_detector.h"

namespace pomelohub {

namespace {

    backend_window operator+(const backend_window& a, const backend_window& b)
    {
        return { a.answers + b.answers, a.failures + b.failures, a.latencySum + b.latencySum,
            a.stuck + b.stuck };
    }

    backend_window operator-(const backend_window& a, const backend_window& b)
    {
        return { a.answers - b.answers, a.failures - b.failures, a.latencySum - b.latencySum,
            a.stuck - b.stuck };
    }

    double failureShareOf(const backend_window& window)
    {
        return window.answers ? static_cast<double>(window.failures) / static_cast<double>(window.answers)
                              : 0;
    }

    std::chrono::microseconds meanLatencyOf(const backend_window& window)
    {
        return window.answers ? window.latencySum / static_cast<std::int64_t>(window.answers)
                              : std::chrono::microseconds(0);
    }

} // namespace

gray_detector::gray_detector(gray_policy policy)
    : m_policy(std::move(policy))
{
}

backend_window gray_detector::closeTick(history& past, const backend_stats& stats) const
{
    auto answers = stats.answers.load(std::memory_order_acquire);
    auto failures = stats.failures.load();
    auto latencySum = stats.latencySum.load();
    backend_window tick;
    tick.answers = answers - past.answers;
    tick.failures = std::min(failures - past.failures, tick.answers);
    tick.latencySum = std::chrono::microseconds(latencySum - past.latencySum);
    tick.stuck = tick.answers == 0 ? stats.inFlight.load() : 0;
    past.answers = answers;
    past.failures = failures;
    past.latencySum = latencySum;
    past.ticks.push_back(tick);
    if (past.ticks.size() > m_policy.windowTicks)
        past.ticks.pop_front();
    backend_window window;
    for (const auto& each : past.ticks)
        window = window + each;
    return window;
}

bool gray_detector::isBad(const backend_window& own, const backend_window& others) const
{
    if (m_policy.judge)
        return m_policy.judge(own, others);
    // Silence is bad only while the others do answer.
    if (own.answers == 0)
        return own.stuck > 0 && others.answers >= m_policy.minimumAnswers;
    if (own.answers < m_policy.minimumAnswers || others.answers < m_policy.minimumAnswers)
        return false;
    if (own.failures >= m_policy.minimumFailures
        && failureShareOf(own) > m_policy.failureShare + failureShareOf(others))
        return true;
    auto usual = meanLatencyOf(others);
    // The mean of few answers strays further by chance.
    auto factor = m_policy.slowFactor * (1 + m_policy.scarceAnswers / static_cast<double>(own.answers));
    return meanLatencyOf(own) > usual * factor && meanLatencyOf(own) > usual + m_policy.slowMargin;
}

void gray_detector::noteTick(history& past, bool bad) const
{
    past.badTicks = bad ? past.badTicks + 1 : 0;
    past.goodTicks = bad ? 0 : past.goodTicks + 1;
    if (past.badTicks >= m_policy.badTicksToSuspect)
        past.suspect = true;
    if (past.goodTicks >= m_policy.goodTicksToClear)
        past.suspect = false;
}

std::vector<backend_server_id> gray_detector::tick(const service_view& view)
{
    std::vector<backend_window> windows;
    std::vector<history*> histories;
    backend_window total;
    for (const auto& entry : view.backends) {
        auto& past = m_histories[entry.stats.get()];
        past.stats = entry.stats;
        histories.push_back(&past);
        windows.push_back(closeTick(past, *entry.stats));
        total = total + windows.back();
    }
    std::vector<backend_server_id> suspects;
    for (std::size_t i = 0; i < view.backends.size(); ++i) {
        const auto& entry = view.backends[i];
        auto& past = *histories[i];
        noteTick(past, isBad(windows[i], total - windows[i]));
        entry.stats->weight = past.suspect ? m_policy.suspectWeight : backend_stats::fullWeight;
        if (past.suspect)
            suspects.push_back(entry.id);
    }
    return suspects;
}

void gray_detector::trim(unsigned otherHolders)
{
    std::erase_if(
        m_histories, [&](const auto& entry) { return entry.second.stats->use_count() <= otherHolders + 1; });
}

} // namespace pomelohub
