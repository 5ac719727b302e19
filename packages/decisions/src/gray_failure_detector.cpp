#include "gray_failure_detector.h"

namespace pomelohub {

namespace {

    backend_window operator+(const backend_window& a, const backend_window& b)
    {
        return { a.responses + b.responses, a.failures + b.failures, a.latencySum + b.latencySum,
            a.stalledRequests + b.stalledRequests };
    }

    backend_window operator-(const backend_window& a, const backend_window& b)
    {
        return { a.responses - b.responses, a.failures - b.failures, a.latencySum - b.latencySum,
            a.stalledRequests - b.stalledRequests };
    }

    double failureRatioOf(const backend_window& window)
    {
        return window.responses ? static_cast<double>(window.failures) / static_cast<double>(window.responses)
                                : 0;
    }

    std::chrono::microseconds meanLatencyOf(const backend_window& window)
    {
        return window.responses ? window.latencySum / static_cast<std::int64_t>(window.responses)
                                : std::chrono::microseconds(0);
    }

} // namespace

gray_failure_detector::gray_failure_detector(gray_failure_policy policy)
    : m_policy(std::move(policy))
{
}

backend_window gray_failure_detector::closeTick(backend_history& history, const backend_stats& stats) const
{
    auto responses = stats.responses.load(std::memory_order_acquire);
    auto failures = stats.failures.load();
    auto latencySum = stats.latencySum.load();
    backend_window tick;
    tick.responses = responses - history.responses;
    tick.failures = std::min(failures - history.failures, tick.responses);
    tick.latencySum = std::chrono::microseconds(latencySum - history.latencySum);
    tick.stalledRequests = tick.responses == 0 ? stats.inFlight.load() : 0;
    history.responses = responses;
    history.failures = failures;
    history.latencySum = latencySum;
    history.ticks.push_back(tick);
    if (history.ticks.size() > m_policy.windowTicks)
        history.ticks.pop_front();
    backend_window window;
    for (const auto& each : history.ticks)
        window = window + each;
    return window;
}

bool gray_failure_detector::isBad(const backend_window& own, const backend_window& others) const
{
    if (m_policy.isGrayFailure)
        return m_policy.isGrayFailure(own, others);
    // A server that does not respond at all is at fault only if the others respond.
    if (own.responses == 0)
        return own.stalledRequests > 0 && others.responses >= m_policy.minResponses;
    if (own.responses < m_policy.minResponses || others.responses < m_policy.minResponses)
        return false;
    if (own.failures >= m_policy.minFailures
        && failureRatioOf(own) > m_policy.failureRatio + failureRatioOf(others))
        return true;
    auto othersMean = meanLatencyOf(others);
    // The mean of few responses varies more by chance.
    auto slowRatio
        = m_policy.slowFactor * (1 + m_policy.smallSampleAllowance / static_cast<double>(own.responses));
    return meanLatencyOf(own) > othersMean * slowRatio
        && meanLatencyOf(own) > othersMean + m_policy.slowMargin;
}

void gray_failure_detector::recordTick(backend_history& history, bool isBadTick) const
{
    history.badTicks = isBadTick ? history.badTicks + 1 : 0;
    history.goodTicks = isBadTick ? 0 : history.goodTicks + 1;
    if (history.badTicks >= m_policy.badTicksToSuspect)
        history.isSuspect = true;
    if (history.goodTicks >= m_policy.goodTicksToClear)
        history.isSuspect = false;
}

std::vector<backend_server_id> gray_failure_detector::tick(const service_view& view)
{
    std::vector<backend_window> windows;
    std::vector<backend_history*> histories;
    backend_window total;
    for (const auto& entry : view.backends) {
        auto& history = m_histories[entry.stats.get()];
        history.stats = entry.stats;
        histories.push_back(&history);
        windows.push_back(closeTick(history, *entry.stats));
        total = total + windows.back();
    }
    std::vector<backend_server_id> suspects;
    for (std::size_t i = 0; i < view.backends.size(); ++i) {
        const auto& entry = view.backends[i];
        auto& history = *histories[i];
        recordTick(history, isBad(windows[i], total - windows[i]));
        entry.stats->weight = history.isSuspect ? m_policy.suspectWeight : backend_stats::fullWeight;
        if (history.isSuspect)
            suspects.push_back(entry.id);
    }
    return suspects;
}

void gray_failure_detector::trim(unsigned otherReferences)
{
    std::erase_if(m_histories,
        [&](const auto& entry) { return entry.second.stats->use_count() <= otherReferences + 1; });
}

} // namespace pomelohub
