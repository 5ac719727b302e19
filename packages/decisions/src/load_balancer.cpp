#include "load_balancer.h"

#include <algorithm>

namespace pomelohub {

namespace {

    /** A request to another data centre costs as much as this share of a slot in use. */
    constexpr double remoteDataCentrePenalty = 0.25;

    bool isExcluded(const backend_server_id& id, std::span<const backend_server_id> excluded)
    {
        return std::find(excluded.begin(), excluded.end(), id) != excluded.end();
    }

    bool isUsable(const backend_entry& entry, std::span<const backend_server_id> excluded,
        const load_balancing_policy& policy, instant now)
    {
        auto unusableUntil = std::max(entry.stats->unavailableUntil.load(), entry.stats->ejectedUntil.load());
        if (entry.condition == backend_condition::draining || unusableUntil > now)
            return false;
        return !isExcluded(entry.id, excluded) && policy.dataCentreWeight(entry.dataCentre) > 0;
    }

    std::size_t pickLessLoadedOfTwo(std::span<const backend_entry* const> candidates,
        const data_centre_id& home, const load_balancing_policy& policy)
    {
        if (candidates.size() == 1)
            return 0;
        auto first = policy.random(candidates.size());
        auto second = policy.random(candidates.size() - 1);
        if (second >= first)
            ++second;
        auto weightedLoad = [&](std::size_t i) {
            auto weight = std::max(1U, policy.dataCentreWeight(candidates[i]->dataCentre));
            return loadOf(*candidates[i], home) * backend_stats::fullWeight / weight;
        };
        return weightedLoad(first) <= weightedLoad(second) ? first : second;
    }

} // namespace

double loadOf(const backend_entry& candidate, const data_centre_id& home)
{
    const auto& stats = *candidate.stats;
    auto ownInFlight = static_cast<double>(stats.inFlight.load(std::memory_order_relaxed)) + 1;
    auto reported = static_cast<double>(stats.reportedLoad.load(std::memory_order_relaxed)) / 1000;
    auto weight = std::max(1U, stats.weight.load(std::memory_order_relaxed));
    auto load = ownInFlight / std::max(1U, candidate.slots) + reported;
    if (candidate.dataCentre != home)
        load += remoteDataCentrePenalty;
    if (candidate.condition == backend_condition::cold)
        load *= 2;
    return load * backend_stats::fullWeight / weight;
}

const backend_entry* chooseBackend(const service_view& view, std::span<const backend_server_id> excluded,
    const data_centre_id& home, const load_balancing_policy& policy, instant now)
{
    std::vector<const backend_entry*> candidates;
    candidates.reserve(view.backends.size());
    for (const auto& entry : view.backends) {
        if (isUsable(entry, excluded, policy, now))
            candidates.push_back(&entry);
    }
    if (candidates.empty())
        return nullptr;
    auto index = policy.pick ? policy.pick(candidates) : pickLessLoadedOfTwo(candidates, home, policy);
    return candidates[index];
}

} // namespace pomelohub
