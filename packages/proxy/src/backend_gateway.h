/** \file
 * Defines backend_gateway, the only way to the backend server of this instance. It admits requests to the
 * slots, runs them over kept connections, judges the server by what requests meet, and says of each failure
 * whether the request may have run.
 */
#pragma once

#include "admission_queue.h"
#include "backend_identity.h"
#include "dialect.h"
#include "event_log.h"
#include "http_client.h"
#include "outcome_judge.h"

#include <list>

namespace pomelohub {

/** One request at the gateway. Thread safety: the thread of the gateway. */
class gateway_request : public queued_request {
public:
    using reply_hook = std::function<void(forward_reply)>;

    forwarded_request request;
    reply_hook reply;
    /** Called when a slot is held for an offer; nothing runs before commit(). Unset for requests that are
     * here as a whole. */
    std::function<void()> granted;
    bool isMessageHere = true;

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
    instant m_startedAt {};
    instant m_endsBy {}; ///< The sender gives up then.
    handle<http_client_connection> m_connection;
};

struct gateway_policy {
    duration commitTimeout
        = std::chrono::milliseconds(700); ///< A granted slot waits this long for its request.
    duration connectTimeout = std::chrono::milliseconds(500); ///< To a server on the same machine.
    duration idleMargin = std::chrono::seconds(1); ///< Connections are left this much before they time out.
    duration defaultIdleTime = std::chrono::seconds(4); ///< Where the server announces none.
    duration stuckAfter = std::chrono::milliseconds(1200); ///< Least age of a request that counts as stuck.
    double stuckFactor = 6; ///< And this many times the mean latency.
    duration crashWindow = std::chrono::seconds(3); ///< A broken run this long before a new start ended it.
    double coldShare = 0.9; ///< Of the rate that a cold server bears; the rest is for clock differences.
};

/** Thread safety: one thread, that of its execution context. */
class backend_gateway {
public:
    struct hooks {
        clock_hook clock;
        std::function<handle<const fleet_snapshot>()> snapshot;
        /** A request ended the run of the backend server, or was answered by it. */
        std::function<void(request_fingerprint, const backend_server_id&)> crashed;
        std::function<void(request_fingerprint)> answered;
    };

    backend_gateway(asio::io_context& context, asio::ip::tcp::endpoint backend, service_id service,
        data_centre_id dataCentre, const dialect& dialect, gateway_policy policy, event_log& log,
        hooks hooks);

    /** Ends what still runs; no hook is called. */
    ~backend_gateway();
    backend_gateway(const backend_gateway&) = delete;
    backend_gateway& operator=(const backend_gateway&) = delete;

    /** Admits or refuses \p request; its reply hook is called once, possibly at once. */
    void submit(const handle<gateway_request>& request);

    /** The message of a granted offer is here. */
    void commit(gateway_request& request);

    /** The sender gave up. What runs more than once at no harm is stopped, the rest ends by itself. */
    void cancel(gateway_request& request);

    heartbeat_effect takeHeartbeat(const backend_heartbeat& heartbeat);
    bool takeLeave(const backend_server_id& id, wall_time startedAt);

    /** Refuses all further requests. */
    void startLeaving();

    /** Takes over changes of the configuration. */
    void refresh();

    backend_report report() const;

    /** Share of the running requests that are repeats; their calls count as repeats too. Thread safety: any
     * thread. */
    double repeatShare() const { return m_repeatShare; }

    /** Requests that run or wait. Thread safety: any thread. */
    std::size_t activeCount() const { return m_activeCount; }

private:
    struct broken_run {
        request_fingerprint fingerprint = 0;
        instant at {};
    };
    struct idle_connection {
        handle<http_client_connection> connection;
        instant until {};
    };

    result<void> check(gateway_request& request, instant now);
    duration avoidanceFor(refusal_reason reason) const;
    void refuse(gateway_request& request, const verdict& refusal, bool reachedBackend);
    void finish(gateway_request& request, forward_reply reply);
    void start(const handle<gateway_request>& request, instant now);
    void run(const handle<gateway_request>& request, instant now);
    void takeResult(gateway_request& request, http_call_result result);
    void takeAnswer(gateway_request& request, http_message&& answer, instant now);
    void takeFailure(gateway_request& request, http_call_failure failure, instant now);
    void noteOutcome(gateway_request& request, backend_outcome outcome, instant now);
    void noteCrash(instant now);
    handle<http_client_connection> takeConnection(instant now);
    void keepConnection(const handle<http_client_connection>& connection, instant now);
    void applyColdness(instant now);
    void noteRunning();
    void schedule();
    void tick();

    asio::io_context& m_context;
    asio::steady_timer m_timer;
    asio::ip::tcp::endpoint m_backend;
    service_id m_service;
    data_centre_id m_dataCentre;
    const dialect& m_dialect;
    gateway_policy m_policy;
    event_log& m_log;
    hooks m_hooks;
    backend_identity m_identity;
    outcome_judge m_judge;
    admission_queue m_queue;
    std::vector<handle<gateway_request>> m_active; ///< Granted or running.
    std::list<idle_connection> m_idle; ///< Last used first.
    std::vector<broken_run> m_brokenRuns;
    std::atomic<std::size_t> m_activeCount { 0 };
    std::atomic<double> m_repeatShare { 0 };
    bool m_isLeaving = false;
};

} // namespace pomelohub
