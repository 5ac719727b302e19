#include "peer_choice.h"

#include <algorithm>

namespace pomelohub {

namespace {

    bool isEligible(const peer_state& peer, const std::set<data_centre_id>& evacuated,
        const peer_choice_request& request, instant now)
    {
        const auto& announced = peer.announcement;
        if (std::find(request.tried.begin(), request.tried.end(), announced.node) != request.tried.end())
            return false;
        if (request.includeAvoided)
            return !evacuated.contains(announced.dataCentre);
        if (takesOrdinaryRequests(peer, evacuated, now))
            return true;
        bool mayTry = request.mayTrySuspects && peer.isSuspect() && !peer.isAvoided(now);
        if (!mayTry || evacuated.contains(announced.dataCentre))
            return false;
        return request.repeats == repeat_rule::idempotent ? peer.isTrialDue(now) : peer.isSuspicionOld(now);
    }

    duration typicalLatency(const std::vector<const handle<peer_state>*>& peers, instant now)
    {
        std::vector<duration> latencies;
        latencies.reserve(peers.size());
        for (const auto* each : peers)
            latencies.push_back((*each)->meanLatency(now));
        if (latencies.empty())
            return {};
        auto middle = latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
        std::nth_element(latencies.begin(), middle, latencies.end());
        return *middle;
    }

} // namespace

bool takesOrdinaryRequests(const peer_state& peer, const std::set<data_centre_id>& evacuated, instant now)
{
    return !evacuated.contains(peer.announcement.dataCentre) && !peer.isAvoided(now)
        && !peer.isSilent.load(std::memory_order_relaxed) && !peer.isSuspect();
}

handle<peer_state> choosePeer(std::span<const handle<peer_state>> candidates,
    const std::set<data_centre_id>& evacuated, const peer_choice_request& request,
    const peer_choice_policy& policy, const choice_random_hook& random, instant now)
{
    constexpr std::uint64_t jitterSteps = 1024;
    std::vector<const handle<peer_state>*> compared;
    auto first = candidates.empty() ? 0 : random(candidates.size());
    for (std::size_t i = 0; i < candidates.size() && compared.size() < policy.sampleSize; ++i) {
        const auto& peer = candidates[(first + i) % candidates.size()];
        if (!isEligible(*peer, evacuated, request, now))
            continue;
        // Only requests that can be repeated find out whether a suspect server has recovered.
        bool isTrial
            = request.repeats == repeat_rule::idempotent && request.mayTrySuspects && !request.includeAvoided;
        if (isTrial && peer->isTrialDue(now))
            return peer;
        compared.push_back(&peer);
    }
    auto typical = typicalLatency(compared, now);
    handle<peer_state> best;
    duration bestCost {};
    for (const auto* each : compared) {
        const auto& peer = *each;
        auto mean = peer->meanLatency(now);
        if (mean <= typical * policy.slowFactor)
            mean = typical;
        auto spread = 1 + policy.jitter * static_cast<double>(random(jitterSteps)) / jitterSteps;
        // Servers that are not suspect share the load, since a few failures prove little.
        auto served = peer->isSuspect() ? std::max(1 - peer->failingShare(), policy.leastServedShare) : 1;
        auto cost = std::chrono::duration_cast<duration>(peer->estimatedAnswer(mean, now) * spread / served);
        if (peer->announcement.dataCentre != request.ownDataCentre)
            cost += policy.otherDataCentreCost;
        if (!best || cost < bestCost) {
            best = peer;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace pomelohub
