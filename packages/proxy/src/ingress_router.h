/** \file
 * Defines ingress_router, which handles a request at the node that received it from its caller: filters, rate
 * limit, choice of a backend server, and retries and hedges where the request is idempotent or has not run.
 */
#pragma once

#include "filter_chain.h"
#include "header_codec.h"
#include "http_server.h"
#include "offer_race.h"
#include "peer_forwarder.h"
#include "proxy_metrics.h"
#include "queueing_settings.h"
#include "rate_quota.h"
#include "service_retry_budget.h"

namespace pomelohub {

/** State of a request that the filters read and fill in. */
struct ingress_context {
    caller_request caller;
    http_message message;
    handle<const fleet_snapshot> snapshot;
    handle<const routing_rule> rule; ///< Set by the route filter.
    /** Set by the key filter; null if no API key was checked. */
    handle<const organisation_limits> organisation;
    service_id service; ///< Set by the service filter: that of the route, or one of them by weight.
    request_fingerprint fingerprint = 0; ///< Set by the quarantine filter.
};

using ingress_filter_chain = filter_chain<ingress_context>;

/** Makes the chain of filters in the order in which they run. \param quarantine must outlive the chain. */
ingress_filter_chain makeIngressFilterChain(const crash_quarantine& quarantine);

struct ingress_policy {
    backend_selector_policy selector;
    offer_race_policy race; ///< For routes that tolerate queueing.
    duration maxHedgeQueueTime = std::chrono::milliseconds(250); ///< Maximum wait of a hedge for a slot.
    /** Left before the caller's timeout for sending the response; at most a tenth of that timeout. */
    duration responseMargin = std::chrono::milliseconds(30);
    /** A hedge is sent after this fraction of the route's target latency or hedgeLatencyFactor times the
     * estimated response time, whichever is longer. */
    double hedgeTargetLatencyFraction = 0.5;
    double hedgeLatencyFactor = 2.5;
    /** Between checks for hedges and unresponsive links. */
    duration attemptCheckInterval = std::chrono::milliseconds(150);
    duration quotaTimeout = std::chrono::milliseconds(150); ///< For the node that owns the quota to reply.
    /** Minimum retry delay given to callers when no backend server takes the request or this node stops, and
     * the delay given when this node's even share of a quota is used up. */
    duration minRetryAfter = std::chrono::milliseconds(150);
    /** A stopping node refuses new requests if less than this is left to its drain deadline, as most of them
     * would not get a response. */
    duration minTimeUntilStop = std::chrono::milliseconds(2500);
    queueing_settings queueing;
    service_retry_limits retryLimits; ///< Limits of the retry budget of each service.
};

/** Thread safety: one thread, that of its execution context. */
class ingress_router {
public:
    struct hooks {
        clock_hook clock;
        std::function<handle<const fleet_snapshot>()> snapshot;
        choice_random_hook random;
        /** By when a stopping node must have responded; instant::max() while the node is not stopping. */
        std::function<instant()> drainDeadline;
        /** Fraction of the requests running at this instance's backend server that are retries. */
        std::function<double()> retryShare;
        /** A nested call of this instance's backend server has failed. */
        std::function<void()> onNestedCallFailed;
        /** Requests tokens from the node that owns the quota of \p limits. The callback gets nothing when
         * that node does not reply within \p timeout. */
        std::function<void(const handle<const organisation_limits>& limits, std::uint32_t wanted,
            duration timeout, std::function<void(std::optional<quota_grant>)>)>
            requestTokens;
    };

    ingress_router(asio::io_context& context, service_id ownService, data_centre_id dataCentre,
        const header_codec& codec, const crash_quarantine& quarantine, peer_forwarder& forwarder,
        ingress_policy policy, event_log& log, proxy_metrics& metrics, hooks hooks);

    /** Handles one request of a caller and responds through \p responder. */
    void serve(http_message&& message, handle<http_responder> responder);

private:
    friend class ingress_request;

    asio::io_context& m_context;
    service_id m_ownService;
    data_centre_id m_dataCentre;
    const header_codec& m_codec;
    const crash_quarantine& m_quarantine;
    peer_forwarder& m_forwarder;
    ingress_policy m_policy;
    event_log& m_log;
    proxy_metrics& m_metrics;
    hooks m_hooks;
    ingress_filter_chain m_filters;
    quota_client m_quotaClient;
    service_retry_budget m_retryBudget;
};

} // namespace pomelohub
