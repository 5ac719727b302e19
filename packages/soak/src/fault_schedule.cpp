#include "fault_schedule.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace pomelohub {

namespace {

    constexpr std::array<std::string_view, faultKindCount> kindNames { "suspend-node", "kill-node",
        "stop-node", "delay-link", "reset-link", "cut-link", "cut-link-one-way", "crash-server",
        "reset-server", "stall-server", "fail-server", "leave-server", "delay-heartbeat", "store-unavailable",
        "store-silent", "store-loses-replies", "change-configuration", "reset-store-link", "cut-store-link",
        "cut-store-link-one-way", "delay-caller-link", "reset-caller-link", "cut-caller-link",
        "cut-caller-link-one-way", "restore-store" };

    constexpr auto firstOuterLinkFault = static_cast<std::size_t>(fault_kind::resetStoreLink);
    constexpr auto restoreFault = static_cast<std::size_t>(fault_kind::restoreStore);

    /** The distributions of the standard library differ between implementations. */
    class fault_random {
    public:
        explicit fault_random(std::uint64_t seed)
            : m_generator(seed)
        {
        }

        double fraction()
        {
            constexpr int mantissaBits = 53;
            return std::ldexp(static_cast<double>(m_generator() >> (64 - mantissaBits)), -mantissaBits);
        }
        std::size_t below(std::size_t end)
        {
            return std::min(static_cast<std::size_t>(fraction() * static_cast<double>(end)), end - 1);
        }
        duration between(duration low, duration high) { return low + scale(high - low, fraction()); }
        duration exponential(duration mean) { return scale(mean, -std::log1p(-fraction())); }

    private:
        static duration scale(duration time, double factor)
        {
            return std::chrono::duration_cast<duration>(std::chrono::duration<double>(time) * factor);
        }

        std::mt19937_64 m_generator;
    };

    /** Appends faults of the kinds from \p firstKind to before \p endKind. */
    void drawFaults(std::vector<planned_fault>& schedule, fault_random& random, std::size_t firstKind,
        std::size_t endKind, duration meanGap, const schedule_policy& policy)
    {
        for (auto at = random.exponential(meanGap); at < policy.length; at += random.exponential(meanGap)) {
            planned_fault fault { static_cast<fault_kind>(firstKind + random.below(endKind - firstKind)), at,
                random.between(policy.minFault, policy.maxFault), random.below(policy.nodeCount) };
            std::size_t repeats
                = random.fraction() < policy.seriesShare ? 1 + random.below(policy.maxSeries) : 1;
            for (std::size_t i = 0; i < repeats && fault.at < policy.length; ++i) {
                schedule.push_back(fault);
                fault.at += random.between(duration::zero(), policy.maxSeriesGap);
            }
        }
    }

} // namespace

std::string_view toText(fault_kind kind) { return kindNames.at(static_cast<std::size_t>(kind)); }

std::vector<planned_fault> makeSchedule(std::uint64_t seed, const schedule_policy& policy)
{
    std::vector<planned_fault> schedule;
    fault_random random(seed);
    drawFaults(schedule, random, 0, firstOuterLinkFault, policy.meanGap, policy);
    // Their own random numbers, so that a seed keeps the other faults that it stood for before.
    fault_random linkRandom(~seed);
    drawFaults(schedule, linkRandom, firstOuterLinkFault, restoreFault, policy.meanLinkGap, policy);
    constexpr std::uint64_t restoreSeedMask = 0x5bd1e995;
    fault_random restoreRandom(seed ^ restoreSeedMask);
    drawFaults(schedule, restoreRandom, restoreFault, faultKindCount, policy.meanRestoreGap, policy);
    std::stable_sort(schedule.begin(), schedule.end(),
        [](const planned_fault& left, const planned_fault& right) { return left.at < right.at; });
    return schedule;
}

} // namespace pomelohub
