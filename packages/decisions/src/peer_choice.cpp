#include "peer_choice.h"

#include "passive_health_check.h"

#include <algorithm>

namespace pomelohub {

namespace {

    /** Whether the request would be a trial of the backend server of \p peer. */
    bool isTrial(const peer_state& peer, const peer_choice_request& request, instant now)
    {
        if (peer.failureRisk(now) <= request.maxFailureRisk || !peer.isTrialDue(now))
            return false;
        return request.trialRule == trial_rule::always
            || (request.trialRule == trial_rule::afterFailures && peer.isRiskOutdated(now));
    }

    bool isEligible(const peer_state& peer, const std::set<data_centre_id>& evacuated,
        const peer_choice_request& request, instant now)
    {
        const auto& announced = peer.announcement;
        if (std::find(request.tried.begin(), request.tried.end(), announced.node) != request.tried.end())
            return false;
        if (request.includeUnhealthy)
            return !evacuated.contains(announced.dataCentre);
        if (isHealthyPeer(peer, evacuated, request.maxFailureRisk, now))
            return true;
        return isTrial(peer, request, now) && !evacuated.contains(announced.dataCentre)
            && !peer.isAvoided(now);
    }

    struct candidate {
        const handle<peer_state>* peer = nullptr;
        duration mean {};
    };

    /** The lower median of the mean latencies. Precondition: \p candidates is not empty. */
    duration typicalLatency(std::vector<candidate> candidates)
    {
        auto middle = candidates.begin() + static_cast<std::ptrdiff_t>((candidates.size() - 1) / 2);
        std::nth_element(candidates.begin(), middle, candidates.end(),
            [](const candidate& left, const candidate& right) { return left.mean < right.mean; });
        return middle->mean;
    }

} // namespace

bool isHealthyPeer(
    const peer_state& peer, const std::set<data_centre_id>& evacuated, double maxFailureRisk, instant now)
{
    return !evacuated.contains(peer.announcement.dataCentre) && !peer.isAvoided(now)
        && !peer.isUnresponsive.load(std::memory_order_relaxed) && peer.failureRisk(now) <= maxFailureRisk;
}

duration suspectTrialDelay(std::size_t nodes, const choice_random_hook& random)
{
    constexpr duration minDelay = std::chrono::milliseconds(200);
    /** Offers of all nodes in an interval between trials; most come while no trial is due. */
    constexpr double offersPerInterval = 8;
    constexpr std::uint64_t resolution = 1024;
    auto mean
        = scaled(passive_health_policy {}.trialInterval, static_cast<double>(nodes) / offersPerInterval);
    auto jitterFactor = 0.5 + static_cast<double>(random(resolution)) / resolution;
    return std::max(minDelay, scaled(mean, jitterFactor));
}

handle<peer_state> choosePeer(std::span<const handle<peer_state>> candidates,
    const std::set<data_centre_id>& evacuated, const peer_choice_request& request,
    const peer_choice_policy& policy, const choice_random_hook& random, instant now)
{
    constexpr std::uint64_t jitterSteps = 1024;
    std::vector<candidate> compared;
    auto first = candidates.empty() ? 0 : random(candidates.size());
    for (std::size_t i = 0; i < candidates.size() && compared.size() < policy.sampleSize; ++i) {
        const auto& peer = candidates[(first + i) % candidates.size()];
        if (!isEligible(*peer, evacuated, request, now))
            continue;
        // Only requests that can be retried are sent to a server at risk in preference to others.
        if (request.trialRule == trial_rule::always && !request.includeUnhealthy
            && isTrial(*peer, request, now))
            return peer;
        compared.push_back({ &peer, peer->meanLatency(now) });
    }
    if (compared.empty())
        return nullptr;
    auto typicalMean = typicalLatency(compared);
    auto failureCost
        = request.retryRule == retry_rule::idempotent ? policy.retriedFailureCost : policy.lostFailureCost;
    handle<peer_state> best;
    duration bestCost {};
    for (const auto& [candidatePeer, reportedMean] : compared) {
        const auto& peer = *candidatePeer;
        auto mean = reportedMean <= scaled(typicalMean, policy.slowFactor) ? typicalMean : reportedMean;
        auto jitterFactor = 1 + policy.jitter * static_cast<double>(random(jitterSteps)) / jitterSteps;
        auto riskFactor = 1 + failureCost * peer->failureRisk(now);
        auto cost = scaled(peer->estimatedResponseTime(mean, now), jitterFactor * riskFactor);
        if (peer->announcement.dataCentre != request.ownDataCentre)
            cost += policy.crossDataCentrePenalty;
        if (!best || cost < bestCost) {
            best = peer;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace pomelohub
