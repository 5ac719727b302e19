/** \file
 * Defines choosePeer(), the load balancing between the nodes of a service: it selects the node whose backend
 * server gets a request.
 */
#pragma once

#include "peer_state.h"

#include <span>

namespace pomelohub {

/** Returns a uniformly distributed random number below its argument. Thread safety: one thread at a time. */
using choice_random_hook = std::function<std::uint64_t(std::uint64_t below)>;

/** When a request may be sent to a backend server at a higher risk than it accepts, to find out whether the
 * server still fails. */
enum class trial_rule {
    never,
    afterFailures, ///< After a time without a failure there: the request is lost if the server still fails.
    always, ///< The request can be retried elsewhere.
};

struct peer_choice_policy {
    /** How much longer an answer may take in the own data centre before another one is preferred: traffic
     * between data centres has a price, time within the target latency does not. */
    duration crossDataCentrePenalty = std::chrono::milliseconds(300);
    /** Maximum number of candidates that are compared; bounds the cost in large services. */
    std::size_t sampleSize = 16;
    /** Maximum random fraction added to costs, so that nodes with the same view do not all choose alike. */
    double jitter = 0.2;
    /** A server counts as slow above this multiple of the typical latency of its peers. Smaller differences
     * come from the requests rather than the servers. */
    double slowFactor = 2;
    /** Response times that the failure of a request costs: one that may be retried is late by the time of the
     * failed attempt, one that must run once is lost. */
    double retriedFailureCost = 3;
    double lostFailureCost = 10;
};

/** The properties of a request that the choice depends on. */
struct peer_choice_request {
    data_centre_id ownDataCentre;
    std::span<const node_id> tried; ///< Nodes that must not be selected again.
    retry_rule retryRule = retry_rule::idempotent;
    double maxFailureRisk = 1; ///< Servers at a higher risk are left out, but for trials.
    trial_rule trialRule = trial_rule::never; ///< For servers at a higher risk.
    bool includeUnhealthy = false; ///< Also avoided and unresponsive nodes, and servers at any risk.
};

/** Whether \p peer is not avoided, unresponsive or in an evacuated data centre, and its backend server not at
 * a failure risk above \p maxFailureRisk. Thread safety: any thread. */
bool isHealthyPeer(
    const peer_state& peer, const std::set<data_centre_id>& evacuated, double maxFailureRisk, instant now);

/** Time until this node, one of \p nodes, offers a trial to a server that has refused a request for its risk.
 * The server takes one trial in an interval from all nodes together, and requests of nodes that do not know
 * of the risk come in any case, so that of a large fleet no node needs to offer one. */
duration suspectTrialDelay(std::size_t nodes, const choice_random_hook& random);

/** Selects the candidate with the lowest expected cost: the estimated response time, adjusted for the failure
 * risk and for the data centre. A server at a higher risk than allowed that is due for a trial goes first if
 * the request may be one. \return null when no candidate is eligible. Thread safety: any thread. */
handle<peer_state> choosePeer(std::span<const handle<peer_state>> candidates,
    const std::set<data_centre_id>& evacuated, const peer_choice_request& request,
    const peer_choice_policy& policy, const choice_random_hook& random, instant now);

} // namespace pomelohub
