/** \file
 * Defines proxy_node, one node as a whole: threads that serve requests, and one that follows the state of the
 * fleet.
 */
#pragma once

#include "control_loop.h"
#include "proxy_settings.h"
#include "request_entry.h"

#include <memory>
#include <thread>

namespace pomelohub {

/** A backend server that says that it leaves. */
struct backend_leave {
    backend_server_id id;
    wall_time startedAt {};
};

/** What a backend server tells the node beside it. */
using backend_call = std::variant<backend_heartbeat, backend_leave>;

/** What the surroundings of a node provide. */
struct proxy_surroundings {
    dialect caller;
    decode_configuration_hook decodeConfiguration;
    std::function<fleet_store(asio::io_context& context, const proxy_settings& settings, event_log& log)>
        makeStore;
    std::function<tl::expected<backend_call, std::string>(const http_message& request)> readBackendCall;
    std::function<bool(const http_message& request)> isReadinessQuestion;
};

/** Thread safety: one thread, but for the hooks. */
class proxy_node {
public:
    proxy_node(proxy_settings settings, proxy_surroundings surroundings, clock_hook clock);
    ~proxy_node();
    proxy_node(const proxy_node&) = delete;
    proxy_node& operator=(const proxy_node&) = delete;

    /** Listens and serves until SIGTERM or SIGINT has been carried out. \param reload is called on SIGHUP and
     * at intervals, since settings may change without a signal. \return an error text when it cannot start.
     */
    std::optional<std::string> run(const std::function<std::optional<proxy_settings>()>& reload);

private:
    struct worker;

    std::optional<std::string> listenAll();
    void takePeerRequest(const handle<peer_request>& request);
    void takeForwarded(const handle<peer_request>& request);
    handle<const organisation_limits> limitsOf(const organisation_id& id) const;
    bool standsIn(const worker& judging, const fleet_snapshot& snapshot, const organisation_id& item,
        instant now) const;
    double reachedShare(const fleet_snapshot& snapshot, instant now) const;
    void takeAllowanceQuestion(const handle<peer_request>& request);
    void askAllowance(worker& asking, const handle<const organisation_limits>& limits, std::uint32_t wanted,
        duration timeout, std::function<void(std::optional<allowance_grant>)> done);
    void takeBackendCall(const http_message& message, const handle<http_responder>& responder);
    void answerReadiness(const handle<http_responder>& responder);
    void waitForSignals(std::function<std::optional<proxy_settings>()> reload);
    void reloadLater(std::function<std::optional<proxy_settings>()> reload);
    void stop();
    void stopWhenIdle();
    void published();
    http_server_limits callerLimits() const;
    control_loop::hooks controlHooks();

    proxy_settings m_settings;
    proxy_surroundings m_surroundings;
    clock_hook m_clock;
    event_log m_log;
    proxy_metrics m_metrics;
    crash_quarantine m_quarantine;
    asio::io_context m_control;
    fleet_controller m_controller;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::unique_ptr<backend_gateway> m_gateway;
    allowance_ledger m_ledger;
    std::unique_ptr<control_loop> m_loop;
    std::unique_ptr<http_server> m_callers;
    std::unique_ptr<http_server> m_backendCalls;
    std::unique_ptr<http_server> m_readiness;
    std::unique_ptr<http_server> m_metricsServer;
    std::unique_ptr<connection_acceptor> m_peers;
    asio::signal_set m_signals;
    asio::steady_timer m_stopTimer;
    asio::steady_timer m_reloadTimer;
    std::size_t m_nextWorker = 0;
    std::atomic<bool> m_isStopping { false };
    instant m_stopStartedAt {};
    std::atomic<instant> m_answersBy { instant::max() };
    bool m_isGatewayLeaving = false;
};

} // namespace pomelohub
