#include "peer_state.h"

#include "hashing.h"

#include <algorithm>
#include <cmath>

namespace pomelohub {

namespace {

    /** After this time, about that of one request, the load in a report is ignored: most requests that it
     * counted have ended. */
    constexpr duration reportLifetime = std::chrono::milliseconds(500);
    /** Mean latency of a peer that has not reported. */
    constexpr duration defaultLatency = std::chrono::milliseconds(200);
    /** Slots of a peer that has not reported. */
    constexpr std::uint32_t defaultSlots = 4;
    /** Half-life of a reported latency above the default one. */
    constexpr std::chrono::duration<double> latencyHalfLife = std::chrono::seconds(2);
    /** Time until the first trial of a server that was reported to fail. Its sidecar node limits the rate of
     * trials. */
    constexpr duration firstTrialDelay = std::chrono::milliseconds(200);
    constexpr double minTrialRisk = 0.1; ///< Servers at a lower risk need no trials.
    /** Half-life of a reported failure risk. */
    constexpr std::chrono::duration<double> riskHalfLife = std::chrono::milliseconds(2800);
    /** After this time a reported risk says little about the current state. */
    constexpr duration riskLifetime = std::chrono::milliseconds(1500);

} // namespace

void peer_state::applyReport(const backend_report& report, instant now)
{
    auto load = report.inUse + report.waiting;
    auto ownInFlight = inFlight.load(std::memory_order_relaxed);
    m_otherLoad.store(load > ownInFlight ? load - ownInFlight : 0, std::memory_order_relaxed);
    m_slots.store(report.slots, std::memory_order_relaxed);
    m_meanLatency.store(report.meanLatency, std::memory_order_relaxed);
    m_failureRisk.store(report.failureRisk, std::memory_order_relaxed);
    m_observedFailureRatio.store(report.observedFailureRatio, std::memory_order_relaxed);
    m_reportedAt.store(now, std::memory_order_relaxed);
    if (report.failureRisk > minTrialRisk)
        deferTrial(std::max(now + firstTrialDelay, m_nextTrialAt.load(std::memory_order_relaxed)));
}

void peer_state::deferTrial(instant nextTrial) { m_nextTrialAt.store(nextTrial, std::memory_order_relaxed); }

bool peer_state::isTrialDue(instant now) const
{
    return now >= m_nextTrialAt.load(std::memory_order_relaxed);
}

double peer_state::failureRisk(instant now) const
{
    std::chrono::duration<double> age = now - m_reportedAt.load(std::memory_order_relaxed);
    return m_failureRisk.load(std::memory_order_relaxed) * std::exp2(-std::max(0.0, age / riskHalfLife));
}

bool peer_state::isRiskOutdated(instant now) const
{
    return now - m_reportedAt.load(std::memory_order_relaxed) > riskLifetime;
}

std::optional<double> peer_state::observedFailureRatio() const
{
    if (m_reportedAt.load(std::memory_order_relaxed) == instant {})
        return std::nullopt;
    return m_observedFailureRatio.load(std::memory_order_relaxed);
}

void peer_state::avoidUntil(instant until)
{
    auto current = m_avoidedUntil.load(std::memory_order_relaxed);
    while (current < until
        && !m_avoidedUntil.compare_exchange_weak(current, until, std::memory_order_relaxed)) { }
}

duration peer_state::meanLatency(instant now) const
{
    auto mean = m_meanLatency.load(std::memory_order_relaxed);
    if (mean == duration::zero())
        return defaultLatency;
    if (mean < defaultLatency)
        return mean;
    std::chrono::duration<double> age = now - m_reportedAt.load(std::memory_order_relaxed);
    auto decayed = scaled(mean, std::exp2(-age / latencyHalfLife));
    return std::max(decayed, defaultLatency);
}

duration peer_state::estimatedResponseTime(duration mean, instant now) const
{
    auto slots = m_slots.load(std::memory_order_relaxed);
    if (slots == 0)
        slots = defaultSlots;
    double load = inFlight.load(std::memory_order_relaxed);
    if (now - m_reportedAt.load(std::memory_order_relaxed) < reportLifetime)
        load += m_otherLoad.load(std::memory_order_relaxed);
    // Servers slow down with their load, so it counts before all slots are in use.
    auto loadFactor = 1 + 0.5 * load / slots + std::max(0.0, (load + 1 - slots) / slots);
    return scaled(mean, loadFactor);
}

std::vector<fleet_node> ownersOf(const fleet_snapshot& snapshot, std::string_view item, std::size_t count)
{
    auto hash = stableHash(item);
    std::vector<std::pair<std::uint64_t, const fleet_node*>> nodesByWeight;
    nodesByWeight.reserve(snapshot.nodes.size());
    for (const auto& each : snapshot.nodes)
        nodesByWeight.emplace_back(rendezvousWeight(each.id.text(), hash), &each);
    count = std::min(count, nodesByWeight.size());
    std::partial_sort(nodesByWeight.begin(), nodesByWeight.begin() + static_cast<std::ptrdiff_t>(count),
        nodesByWeight.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<fleet_node> owners;
    for (std::size_t i = 0; i < count; ++i)
        owners.push_back(*nodesByWeight[i].second);
    return owners;
}

} // namespace pomelohub
