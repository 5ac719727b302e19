/** \file
 * Defines request_entry, the path of a request at the node that took it from its caller: the filters, the
 * allowance, the choice of a backend server, and further attempts where a failure proves that they are
 * harmless.
 */
#pragma once

#include "allowance.h"
#include "backend_search.h"
#include "dialect.h"
#include "filter_chain.h"
#include "http_server.h"
#include "peer_forwarder.h"
#include "proxy_metrics.h"
#include "retry_allowance.h"

namespace pomelohub {

/** What is known of a request while it passes the filters. */
struct entry_context {
    caller_request caller;
    http_message message;
    handle<const fleet_snapshot> snapshot;
    handle<const routing_rule> rule; ///< Set by the route filter.
    handle<const organisation_limits> organisation; ///< Set by the key filter; null on open routes.
    request_fingerprint fingerprint = 0; ///< Set by the quarantine filter.
};

using entry_chain = filter_chain<entry_context>;

/** The filters in their order. \param quarantine must outlive the chain. */
entry_chain makeEntryChain(const crash_quarantine& quarantine);

struct entry_policy {
    search_policy search;
    duration hedgePatience = std::chrono::milliseconds(250); ///< Wait of a second attempt for a slot.
    duration answerMargin
        = std::chrono::milliseconds(30); ///< The answer must travel before the caller leaves.
    double hedgeObjectiveShare = 0.5; ///< A second attempt starts after this share of the objective,
    double hedgeLatencyFactor = 2.5; ///< or this many times the mean latency, whichever is later.
    duration watchInterval = std::chrono::milliseconds(150); ///< Between looks at requests that wait.
    duration allowanceTimeout = std::chrono::milliseconds(150); ///< For the owner of an allowance to answer.
    duration shortestRetryAfter = std::chrono::milliseconds(150);
    /** A request that comes when a stopping node has less time left is refused: most would not be answered.
     */
    duration leastTimeToStop = std::chrono::milliseconds(2500);
    retry_limits retries;
};

/** Thread safety: one thread, that of its execution context. */
class request_entry {
public:
    struct hooks {
        clock_hook clock;
        std::function<handle<const fleet_snapshot>()> snapshot;
        choice_random_hook random;
        /** By when every answer must be given, since the node stops; the end of time otherwise. */
        std::function<instant()> answersBy;
        /** Share of the runs at the backend server beside this node that are repeats. */
        std::function<double()> repeatShare;
        /** Asks the owner of the allowance of \p limits for tokens. */
        std::function<void(const handle<const organisation_limits>& limits, std::uint32_t wanted,
            duration timeout, std::function<void(std::optional<allowance_grant>)>)>
            askAllowance;
    };

    request_entry(asio::io_context& context, service_id ownService, data_centre_id dataCentre,
        const dialect& dialect, const crash_quarantine& quarantine, peer_forwarder& forwarder,
        entry_policy policy, event_log& log, proxy_metrics& metrics, hooks hooks);

    /** Serves one request of a caller. */
    void serve(http_message&& message, handle<http_responder> responder);

private:
    friend class exchange;

    asio::io_context& m_context;
    service_id m_ownService;
    data_centre_id m_dataCentre;
    const dialect& m_dialect;
    peer_forwarder& m_forwarder;
    entry_policy m_policy;
    event_log& m_log;
    proxy_metrics& m_metrics;
    hooks m_hooks;
    entry_chain m_chain;
    allowance_wallet m_wallet;
    retry_allowance m_retries;
};

} // namespace pomelohub
