#include "peer_choice.h"

#include <algorithm>

namespace pomelohub {

namespace {

    bool isEligible(const peer_state& peer, const std::set<data_centre_id>& evacuated,
        const peer_choice_request& request, instant now)
    {
        const auto& announced = peer.announcement;
        if (evacuated.contains(announced.dataCentre))
            return false;
        if (std::find(request.tried.begin(), request.tried.end(), announced.node) != request.tried.end())
            return false;
        if (request.includeAvoided)
            return true;
        if (peer.isAvoided(now) || peer.isSilent.load(std::memory_order_relaxed))
            return false;
        if (!peer.isSuspect())
            return true;
        return request.repeats == repeat_rule::idempotent ? peer.isTrialDue(now) : peer.isSuspicionOld(now);
    }

} // namespace

handle<peer_state> choosePeer(const std::vector<handle<peer_state>>& candidates,
    const std::set<data_centre_id>& evacuated, const peer_choice_request& request,
    const peer_choice_policy& policy, const choice_random_hook& random, instant now)
{
    constexpr std::uint64_t jitterSteps = 1024;
    bool isOnce = request.repeats == repeat_rule::once;
    handle<peer_state> best;
    duration bestCost {};
    std::size_t compared = 0;
    auto first = candidates.empty() ? 0 : random(candidates.size());
    for (std::size_t i = 0; i < candidates.size() && compared < policy.sampleSize; ++i) {
        const auto& peer = candidates[(first + i) % candidates.size()];
        if (!isEligible(*peer, evacuated, request, now))
            continue;
        ++compared;
        // Only requests that can be repeated find out whether a suspect server has recovered.
        if (!isOnce && !request.includeAvoided && peer->isTrialDue(now))
            return peer;
        bool isNear = peer->announcement.dataCentre == request.ownDataCentre;
        auto spread = 1 + policy.jitter * static_cast<double>(random(jitterSteps)) / jitterSteps;
        auto cost = std::chrono::duration_cast<duration>(peer->estimatedAnswer(now) * spread);
        if (!isNear)
            cost += policy.otherDataCentreCost;
        if (!best || cost < bestCost) {
            best = peer;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace pomelohub
