/** \file
 * Defines backend_gateway, through which all requests to the backend server of this instance pass. It admits
 * requests to the server's slots, sends them over pooled connections, tracks the health of the server from
 * the outcomes, and reports for each failure whether the request may have run.
 */
#pragma once

#include "admission_queue.h"
#include "backend_identity.h"
#include "cold_server_settings.h"
#include "event_log.h"
#include "header_codec.h"
#include "http_client.h"
#include "interrupted_request.h"
#include "one_shot_timer.h"
#include "passive_health_check.h"
#include "stuck_threshold.h"

#include <list>

namespace pomelohub {

/** A request submitted to the gateway. Thread safety: the thread of the gateway. */
class gateway_request : public queued_request {
public:
    using reply_hook = std::function<void(forward_reply)>;

    forwarded_request request;
    reply_hook onReply; ///< Called once, unless the request is cancelled.
    /** Called when an offer gets a slot; the request does not run before commit(). Unset for requests that
     * are submitted with their message. */
    std::function<void()> onGranted;
    bool hasPayload = true; ///< False for an offer, whose message arrives after the grant.

private:
    friend class backend_gateway;

    enum class stage {
        waiting,
        granted,
        running,
        done,
    };

    stage m_stage = stage::waiting;
    bool m_isTrial = false;
    bool m_isStuck = false;
    bool m_isSent = false; ///< To the backend server.
    instant m_startedAt {};
    instant m_deadline {}; ///< The sender does not wait beyond it.
    backend_server_id m_backend; ///< The server to which it was sent, and the start of that server.
    wall_time m_backendStartedAt {};
    handle<http_client_connection> m_connection;
};

struct gateway_policy {
    /** How long a granted slot is held for the message of its offer. */
    duration commitTimeout = std::chrono::milliseconds(700);
    /** Short, as the server is on the same machine. */
    duration connectTimeout = std::chrono::milliseconds(500);
    /** Pooled connections expire this long before the server's timeout. */
    duration idleTimeoutMargin = std::chrono::seconds(1);
    /** For the response to the question whether the server leaves or is cold. */
    duration confirmationTimeout = std::chrono::seconds(1);
    /** After an answer that did not tell whether the server is warm. */
    duration confirmationRetryInterval = std::chrono::milliseconds(500);
    /** Used when the server announces no idle timeout. */
    duration defaultIdleTimeout = std::chrono::seconds(4);
    stuck_threshold_policy stuckThreshold;
    /** Requests interrupted within this time before a crash is noticed are reported as its possible cause,
     * unless the server has answered others since. */
    duration crashWindow = std::chrono::seconds(10);
    /** An answer that the server sent before a crash may be read this long after the crash has interrupted
     * other requests. */
    duration maxReadDelay = std::chrono::milliseconds(50);
    /** Fraction of the warm-up rate that is used; the rest allows for clock differences. */
    double warmupRateFraction = 0.9;
    cold_server_settings coldServers;
};

/** Thread safety: one thread, that of its execution context. */
class backend_gateway {
public:
    struct hooks {
        clock_hook clock;
        std::function<handle<const fleet_snapshot>()> snapshot;
        /** Whether the request crashes backend servers. Thread safety: any thread. */
        std::function<bool(request_fingerprint, instant now)> isQuarantined;
        /** The backend server has crashed and interrupted these requests, at least one. */
        std::function<void(const std::vector<interrupted_request>&)> onCrash;
        /** The backend server completed a response to the request. */
        std::function<void(request_fingerprint)> onResponse;
        receive_throttle* throttle = nullptr; ///< For responses; not limited if null.
        /** The backend server is believed to be cold from now on, or to be warm. May be unset. */
        std::function<void(bool isCold)> onWarmthChanged {};
    };

    backend_gateway(asio::io_context& context, asio::ip::tcp::endpoint backend, service_id service,
        data_centre_id dataCentre, const header_codec& codec, gateway_policy policy, event_log& log,
        hooks hooks);

    /** Closes all connections; no hook is called. */
    ~backend_gateway();
    backend_gateway(const backend_gateway&) = delete;
    backend_gateway& operator=(const backend_gateway&) = delete;

    /** Runs, queues or refuses \p request. Its reply hook is called once, possibly before this returns,
     * unless the request is cancelled. */
    void submit(const handle<gateway_request>& request);

    /** Runs a granted offer, whose message has arrived. Does nothing for requests in any other state. */
    void commit(gateway_request& request);

    /** Cancels a request whose sender no longer waits. A running request is aborted if it is idempotent;
     * otherwise it runs to its end without a reply. */
    void cancel(gateway_request& request);

    /** Processes a heartbeat of the backend server. */
    heartbeat_effect handleHeartbeat(const backend_heartbeat& heartbeat);

    /** Processes the deregistration of a backend server and refuses the requests that wait. \return whether
     * it concerned the current start of the server. */
    bool handleDeregistration(const backend_server_id& id, wall_time startedAt);

    /** Notes that a nested call of the backend server has failed. The server then fails the request that it
     * made the call for, which says nothing about the server itself. */
    void recordFailedCall();

    /** Refuses the requests that wait and all new ones, because this node stops. */
    void startDraining();

    /** Applies a new snapshot: the warm-up rate and data centres that are out of service. */
    void onSnapshotChanged();

    /** The present load and health of the backend server. */
    backend_report report() const;

    /** Fraction of the running requests that are retries, from which retries among the nested calls are
     * estimated. Thread safety: any thread. */
    double retryShare() const { return m_retryShare; }

    /** Number of requests that hold a slot or wait for one. Thread safety: any thread. */
    std::size_t activeCount() const { return m_activeCount; }

private:
    struct idle_connection {
        handle<http_client_connection> connection;
        instant until {};
    };

    result<void> checkAdmission(gateway_request& request, instant now);
    result<void> checkStart(const gateway_request& request, instant now) const;
    duration avoidDurationFor(refusal_reason reason) const;
    void refuse(gateway_request& request, const request_error& refusal, bool hasReachedBackend);
    void finish(gateway_request& request, forward_reply reply);
    void finishAsMayHaveRun(gateway_request& request, refusal_reason reason, std::string detail);
    void start(const handle<gateway_request>& request, instant now);
    void run(const handle<gateway_request>& request, instant now);
    void releaseSlot(const gateway_request& request, std::optional<duration> latency, instant now);
    void handleResult(gateway_request& request, http_call_result result);
    void handleResponse(gateway_request& request, http_message&& response, instant now);
    void handleFailure(gateway_request& request, http_call_failure failure, instant now);
    handle<http_client_connection> makeConnection();
    void handleOversizedResponse(gateway_request& request, instant now);
    double baseFailureRatio() const;
    void recordOutcome(gateway_request& request, backend_outcome outcome, instant now);
    void applyRequestLimit(std::optional<double> perSecond, instant now);
    void handleLeaving(instant now);
    void recordSignOfLife(instant now);
    void verifyServer();
    void handleVerification(const handle<http_client_connection>& connection, std::error_code error);
    void confirmServer(instant now);
    void confirmWarmth(instant now);
    void askServer(instant now);
    void handleServerAnswer(const http_call_result& answer);
    void applyServerAnswer(const http_message& answer, instant now);
    void reportCrash(std::string_view evidence, instant now);
    handle<http_client_connection> acquireConnection(instant now);
    void poolConnection(const handle<http_client_connection>& connection, instant now);
    const service_profile* profileIn(const handle<const fleet_snapshot>& snapshot) const;
    void applyWarmupLimit(instant now);
    void recordWarmth(std::string_view source, instant now);
    void updateRetryShare();
    void scheduleNextStart();
    void scheduleChecks(instant now);
    void runChecks();

    asio::io_context& m_context;
    one_shot_timer m_timer;
    asio::ip::tcp::endpoint m_backend;
    service_id m_service;
    data_centre_id m_dataCentre;
    const header_codec& m_codec;
    gateway_policy m_policy;
    event_log& m_log;
    hooks m_hooks;
    backend_identity m_identity;
    passive_health_check m_healthCheck;
    stuck_threshold m_stuckThreshold;
    admission_queue m_queue;
    std::vector<handle<gateway_request>> m_activeRequests; ///< Hold a slot: granted or running.
    std::list<idle_connection> m_idleConnections; ///< Most recently used first.
    /** Set while a connection is opened that shows whether the server has crashed. */
    handle<http_client_connection> m_verification;
    handle<http_client_connection> m_question; ///< Set while the server is asked for its health.
    bool m_isQuestionPooled = false; ///< Whether its connection was idle before.
    instant m_askedAt {}; ///< When the last question was sent.
    instant m_nextWarmthQuestion {}; ///< Earliest time of the next question whether the server is warm.
    /** As last named by a configuration, in requests per second; nothing if none has named it yet. */
    std::optional<double> m_warmupPerSecond;
    std::vector<interrupted_request> m_interruptedRequests;
    std::atomic<std::size_t> m_activeCount { 0 };
    std::atomic<double> m_retryShare { 0 };
    std::optional<double> m_requestLimit; ///< As last named by the backend server, in requests per second.
    instant m_nextCheck = instant::max(); ///< When the timer expires; max() if it is not set.
    /** Nested calls that have failed and may explain a failure of a running request. */
    std::size_t m_failedCalls = 0;
    bool m_isDraining = false;
    bool m_isKnownAsCold = false; ///< As last reported.
};

} // namespace pomelohub
