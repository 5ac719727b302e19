/** \file
 * Defines proxy_node, a complete proxy process: worker threads that serve requests, and a control thread that
 * keeps the state of the fleet up to date.
 */
#pragma once

#include "control_loop.h"
#include "ingress_router.h"
#include "proxy_settings.h"

#include <memory>
#include <thread>

namespace pomelohub {

/** Notification that a backend server is going to stop. */
struct backend_deregistration {
    backend_server_id id;
    wall_time startedAt {};
};

/** Notification from the backend server on the same instance. */
using backend_notification = std::variant<backend_heartbeat, backend_deregistration>;

/** Platform-specific parts of a node. */
struct proxy_dependencies {
    header_codec headerCodec;
    decode_configuration_hook decodeConfiguration;
    std::function<fleet_store(asio::io_context& context, const proxy_settings& settings, event_log& log)>
        makeStore;
    std::function<tl::expected<backend_notification, std::string>(const http_message& request)>
        readBackendNotification;
    std::function<bool(const http_message& request)> isReadinessProbe;
};

/** Thread safety: all members are called by one thread; the hooks in proxy_dependencies may be called by
 * several. */
class proxy_node {
public:
    proxy_node(proxy_settings settings, proxy_dependencies dependencies, clock_hook clock);
    ~proxy_node();
    proxy_node(const proxy_node&) = delete;
    proxy_node& operator=(const proxy_node&) = delete;

    /** Serves requests until the shutdown after SIGTERM or SIGINT is complete. \param reload is called on
     * SIGHUP and periodically, since the settings file may change without a signal. \return an error message
     * if the node cannot start. */
    std::optional<std::string> run(const std::function<std::optional<proxy_settings>()>& reload);

private:
    struct worker;

    std::optional<std::string> listenAll();
    void handlePeerRequest(const handle<peer_request>& request);
    void handleForwardedRequest(const handle<peer_request>& request);
    void recordRequestGivenUp(http_message&& partialRequest);
    handle<const organisation_limits> findLimits(const organisation_id& id) const;
    std::optional<quota_role> quotaRoleFor(const worker& observer, const fleet_snapshot& snapshot,
        const organisation_id& item, instant now) const;
    void recordRunningPeriodically();
    double reachableShare(const fleet_snapshot& snapshot, instant now) const;
    void handleQuotaRequest(const handle<peer_request>& request);
    void requestQuota(worker& requester, const handle<const organisation_limits>& limits,
        std::uint32_t requestedTokens, duration timeout,
        std::function<void(std::optional<quota_grant>)> done);
    void handleBackendNotification(const http_message& message, const handle<http_responder>& responder);
    void handleReadinessProbe(const handle<http_responder>& responder);
    void waitForSignals(std::function<std::optional<proxy_settings>()> reload);
    void reloadPeriodically(std::function<std::optional<proxy_settings>()> reload);
    void stop();
    void stopWhenIdle();
    void onSnapshotPublished();
    http_server_limits callerLimits() const;
    tl::expected<handle<routing_table>, std::string> decodeConfiguration(const std::string& document);
    control_loop::hooks controlHooks();

    proxy_settings m_settings;
    proxy_dependencies m_dependencies;
    clock_hook m_clock;
    event_log m_log;
    proxy_metrics m_metrics;
    crash_quarantine m_quarantine;
    memory_account m_memory;
    asio::io_context m_control;
    fleet_controller m_controller;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::unique_ptr<backend_gateway> m_gateway;
    quota_allocator m_quotaAllocator; ///< Used on the thread of the first worker.
    std::unique_ptr<one_shot_timer> m_runningTimer; ///< On that thread, too.
    std::unique_ptr<control_loop> m_controlLoop;
    std::unique_ptr<http_server> m_callerServer;
    std::unique_ptr<http_server> m_notificationServer;
    std::unique_ptr<http_server> m_readinessServer;
    std::unique_ptr<http_server> m_metricsServer;
    std::unique_ptr<connection_acceptor> m_peerAcceptor;
    asio::signal_set m_signals;
    one_shot_timer m_stopTimer;
    one_shot_timer m_reloadTimer;
    std::size_t m_nextWorker = 0;
    std::atomic<bool> m_isStopping { false };
    instant m_stopStartedAt {};
    std::atomic<instant> m_responseDeadline { instant::max() };
    bool m_isGatewayDraining = false;
};

} // namespace pomelohub
