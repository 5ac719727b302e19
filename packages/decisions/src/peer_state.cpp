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
    /** Time until the first trial of a server that was reported suspect. Its sidecar node limits the rate of
     * trials. */
    constexpr duration firstTrialDelay = std::chrono::milliseconds(200);
    /** After this time a suspicion says nothing about the current state: gray failures last for seconds. */
    constexpr duration suspicionLifetime = std::chrono::milliseconds(2500);

} // namespace

void peer_state::applyReport(const backend_report& report, instant now)
{
    auto load = report.inUse + report.waiting;
    auto ownInFlight = inFlight.load(std::memory_order_relaxed);
    m_otherLoad.store(load > ownInFlight ? load - ownInFlight : 0, std::memory_order_relaxed);
    m_slots.store(report.slots, std::memory_order_relaxed);
    m_meanLatency.store(report.meanLatency, std::memory_order_relaxed);
    m_failureRatio.store(report.failureRatio, std::memory_order_relaxed);
    m_reportedAt.store(now, std::memory_order_relaxed);
    if (!report.isSuspect)
        m_isSuspect.store(false, std::memory_order_relaxed);
    else if (!isSuspect())
        markSuspect(now + firstTrialDelay, now);
}

void peer_state::markSuspect(instant nextTrial, instant now)
{
    m_nextTrialAt.store(nextTrial, std::memory_order_relaxed);
    m_markedSuspectAt.store(now, std::memory_order_relaxed);
    m_isSuspect.store(true, std::memory_order_relaxed);
}

bool peer_state::isTrialDue(instant now) const
{
    return isSuspect() && now >= m_nextTrialAt.load(std::memory_order_relaxed);
}

bool peer_state::isSuspicionExpired(instant now) const
{
    return now - m_markedSuspectAt.load(std::memory_order_relaxed) > suspicionLifetime;
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
