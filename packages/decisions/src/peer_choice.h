/** \file
 * Defines choosePeer(), the choice of the node whose backend server gets a request.
 */
#pragma once

#include "peer_state.h"

#include <span>

namespace pomelohub {

/** Uniform random numbers below the argument. Thread safety: one thread at a time. */
using choice_random_hook = std::function<std::uint64_t(std::uint64_t below)>;

struct peer_choice_policy {
    /** How much longer an answer in the own data centre may take before another one is chosen: bytes between
     * data centres cost, and time within the objective does not. */
    duration otherDataCentreCost = std::chrono::milliseconds(300);
    std::size_t sampleSize = 16; ///< Candidates that are compared; bounds the cost in large services.
    double jitter = 0.2; ///< Keeps nodes with the same view from choosing alike.
    /** A server counts as slow from this many times the latency of its peers; below, requests differ more
     * than servers do. */
    double slowFactor = 2;
    double leastServedShare = 0.1; ///< Bounds the cost of a server that fails all requests.
};

/** What the choice depends on besides the candidates. */
struct peer_choice_request {
    data_centre_id ownDataCentre;
    std::span<const node_id> tried; ///< Nodes that must not be chosen again.
    repeat_rule repeats = repeat_rule::idempotent;
    bool mayTrySuspects = true; ///< Whether the request may find out that a suspect server has recovered.
    bool includeAvoided = false; ///< Also nodes that are avoided, when nothing else is left.
};

/** Whether \p peer is neither avoided, silent, suspect nor in an evacuated data centre. Thread safety: any
 * thread. */
bool takesOrdinaryRequests(const peer_state& peer, const std::set<data_centre_id>& evacuated, instant now);

/** \return the best of the candidates, or null when none is left. Thread safety: any thread. */
handle<peer_state> choosePeer(std::span<const handle<peer_state>> candidates,
    const std::set<data_centre_id>& evacuated, const peer_choice_request& request,
    const peer_choice_policy& policy, const choice_random_hook& random, instant now);

} // namespace pomelohub
