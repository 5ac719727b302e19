#include "peer_state.h"

#include "hashing.h"

#include <algorithm>
#include <cmath>

namespace pomelohub {

namespace {

    /** A report older than this says little: most requests that it counted have ended. About the time that
     * one request takes. */
    constexpr duration reportLifetime = std::chrono::milliseconds(500);
    /** Assumed before a peer has reported. */
    constexpr duration unknownLatency = std::chrono::milliseconds(200);
    constexpr std::uint32_t unknownSlots = 4;
    /** A latency above the assumed one counts half after this time without a report. */
    constexpr std::chrono::duration<double> latencyHalfLife = std::chrono::seconds(2);
    /** Until the first trial of a server that was reported suspect; the node beside it paces them. */
    constexpr duration reportedTrialDelay = std::chrono::milliseconds(200);
    /** Failures of servers that turn gray last seconds. */
    constexpr duration suspicionLifetime = std::chrono::milliseconds(2500);

} // namespace

void peer_state::note(const backend_report& report, instant now)
{
    auto load = report.inUse + report.waiting;
    auto own = inFlight.load(std::memory_order_relaxed);
    m_load.store(load > own ? load - own : 0, std::memory_order_relaxed);
    m_slots.store(report.slots, std::memory_order_relaxed);
    m_meanLatency.store(report.meanLatency, std::memory_order_relaxed);
    m_failingShare.store(report.failingShare, std::memory_order_relaxed);
    m_reportedAt.store(now, std::memory_order_relaxed);
    if (!report.isSuspect)
        m_isSuspect.store(false, std::memory_order_relaxed);
    else if (!isSuspect())
        noteSuspect(now + reportedTrialDelay, now);
}

void peer_state::noteSuspect(instant nextTrial, instant now)
{
    m_nextTrial.store(nextTrial, std::memory_order_relaxed);
    m_suspectNotedAt.store(now, std::memory_order_relaxed);
    m_isSuspect.store(true, std::memory_order_relaxed);
}

bool peer_state::isTrialDue(instant now) const
{
    return isSuspect() && now >= m_nextTrial.load(std::memory_order_relaxed);
}

bool peer_state::isSuspicionOld(instant now) const
{
    return now - m_suspectNotedAt.load(std::memory_order_relaxed) > suspicionLifetime;
}

void peer_state::avoidUntil(instant until)
{
    auto present = m_avoidedUntil.load(std::memory_order_relaxed);
    while (present < until
        && !m_avoidedUntil.compare_exchange_weak(present, until, std::memory_order_relaxed)) { }
}

duration peer_state::meanLatency(instant now) const
{
    auto mean = m_meanLatency.load(std::memory_order_relaxed);
    if (mean == duration::zero())
        return unknownLatency;
    if (mean < unknownLatency)
        return mean;
    std::chrono::duration<double> age = now - m_reportedAt.load(std::memory_order_relaxed);
    auto remembered = scaled(mean, std::exp2(-age / latencyHalfLife));
    return std::max(remembered, unknownLatency);
}

duration peer_state::estimatedAnswer(duration mean, instant now) const
{
    auto slots = m_slots.load(std::memory_order_relaxed);
    if (slots == 0)
        slots = unknownSlots;
    double load = inFlight.load(std::memory_order_relaxed);
    if (now - m_reportedAt.load(std::memory_order_relaxed) < reportLifetime)
        load += m_load.load(std::memory_order_relaxed);
    // Servers slow down as they fill, so load counts before the slots are full.
    auto rounds = 1 + 0.5 * load / slots + std::max(0.0, (load + 1 - slots) / slots);
    return scaled(mean, rounds);
}

std::vector<fleet_node> ownersOf(const fleet_snapshot& snapshot, std::string_view item, std::size_t count)
{
    auto hash = stableHash(item);
    std::vector<std::pair<std::uint64_t, const fleet_node*>> weighted;
    weighted.reserve(snapshot.nodes.size());
    for (const auto& each : snapshot.nodes)
        weighted.emplace_back(rendezvousWeight(each.id.text(), hash), &each);
    count = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count), weighted.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<fleet_node> owners;
    for (std::size_t i = 0; i < count; ++i)
        owners.push_back(*weighted[i].second);
    return owners;
}

} // namespace pomelohub
