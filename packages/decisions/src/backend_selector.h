/** \file
 * Defines backend_selector, which selects the backend servers that the entry node of a request tries in turn.
 * The order is made for services near or above their capacity and for services with many failing servers: an
 * idle slot is preferred to a short wait, a short wait to a server at risk, and such a server to a long wait.
 */
#pragma once

#include "peer_choice.h"

namespace pomelohub {

/** Maximum failure risk by kind of request. One that must run once is lost by a failure. */
struct failure_risk_limit {
    double once = 1;
    double idempotent = 1;

    double of(retry_rule rule) const { return rule == retry_rule::idempotent ? idempotent : once; }
};

struct backend_selector_policy {
    peer_choice_policy choice;
    /** Maximum wait for a slot while another server may be idle; about ten trips between nodes. */
    duration maxIdleStageWait = std::chrono::milliseconds(20);
    std::uint32_t maxIdleAttempts = 4; ///< Servers tried for an idle slot before the shortest wait decides.
    /** Maximum short wait as a fraction of the target latency. A longer wait makes more answers late than a
     * server that fails some of its requests loses. */
    double shortWaitFraction = 0.3;
    /** Maximum long wait as a fraction of the target latency. With longer queues, all answers of an
     * overloaded service would be late. */
    double longWaitFraction = 0.7;
    /** Maximum number of refusals by nodes whose backend server did not get the request; bounds the work. */
    std::uint32_t maxRefusals = 12;
    /** Maximum failure risk of a server with an idle slot while others may be idle, too. */
    failure_risk_limit idleStageRisk { 0.10, 0.2 };
    /** Maximum failure risk of servers that are preferred to a long wait. */
    failure_risk_limit preferredRisk { 0.2, 0.4 };
    /** Maximum failure risk of servers that are tried when no other has room, while others are below it: a
     * refusal that says that the request has not run serves a caller better than an unknown outcome. */
    failure_risk_limit lastResortRisk { 0.8, 0.8 };
};

/** The inputs of one selection, besides what backend_selector remembers of earlier attempts. */
struct selection_input {
    std::span<const handle<peer_state>> candidates; ///< Sidecar nodes of the service's backend servers.
    const std::set<data_centre_id>& evacuated;
    retry_rule retryRule = retry_rule::idempotent; ///< Whether a failed attempt may be retried.
    duration targetLatency {}; ///< Response time that the route aims at.
    duration timeLeft {}; ///< Time until the deadline of the request.
};

/** The node to which the next attempt is sent, and on which terms. */
struct backend_selection {
    handle<peer_state> peer;
    duration maxQueueTime {}; ///< Maximum wait for a slot there.
    double maxFailureRisk = 0; ///< Of the backend server; trials are excepted.
    trial_rule trialRule = trial_rule::never;
};

/** The selection for one request. Thread safety: one thread at a time. */
class backend_selector {
public:
    backend_selector(backend_selector_policy policy, data_centre_id ownDataCentre);

    /** Selects the next backend server, which then counts as tried. \return nothing when none is eligible or
     * the maximum number of refusals is reached. */
    std::optional<backend_selection> select(
        const selection_input& view, const choice_random_hook& random, instant now);

    /** Selects another backend server for a hedged request, which may wait there for \p maxQueueTime. It then
     * counts as tried. \return nothing when none is eligible. */
    std::optional<backend_selection> selectHedge(
        const selection_input& view, duration maxQueueTime, const choice_random_hook& random, instant now);

    /** Notes that \p peer refused the request before it reached the backend server. \param wait estimated by
     * the peer for a slot, or zero where waiting would not help. */
    void recordRefusal(const handle<peer_state>& peer, duration wait);

    /** Notes that \p node has the request, so that no hedge is sent there. */
    void recordTried(const node_id& node) { m_tried.push_back(node); }

    /** Notes that the backend server of \p node received the request; it is not selected again. */
    void recordReached(const node_id& node);

    /** Whether any backend server received the request. */
    bool hasReachedBackend() const { return !m_reached.empty(); }

private:
    enum class stage {
        idleSlot,
        shortWait,
        atRisk,
        longWait,
    };
    struct waiting_peer {
        handle<peer_state> peer;
        duration wait {};
    };

    handle<peer_state> choosePeerFor(const selection_input& view, bool includeUnhealthy,
        const choice_random_hook& random, instant now) const;
    double preferredRisk(const selection_input& view) const;
    trial_rule trialRule(const selection_input& view) const;
    backend_selection makeSelection(
        handle<peer_state> peer, duration maxQueueTime, const selection_input& view) const;
    double lastResortRisk(const selection_input& view, instant now) const;
    handle<peer_state> takeShortestWait(const selection_input& view, duration maxWaitAllowed, instant now);
    backend_selection selectInStage(
        const selection_input& view, const choice_random_hook& random, instant now);
    void enterNextStage();

    backend_selector_policy m_policy;
    data_centre_id m_ownDataCentre;
    stage m_stage = stage::idleSlot;
    std::uint32_t m_idleAttempts = 0;
    std::uint32_t m_refusals = 0;
    /** At most one trial per request: refused trials would use up its attempts. */
    bool m_hasBeenTrial = false;
    std::vector<node_id> m_tried;
    std::vector<node_id> m_reached;
    std::vector<waiting_peer> m_waitingPeers;
};

} // namespace pomelohub
