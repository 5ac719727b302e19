/** \file
 * Defines admin_listener, the HTTP interface for operators, for metrics and for the backend servers beside
 * this node. It is apart from the callers' listener and is meant for a private address.
 */
#pragma once

#include "backend_host.h"
#include "control_plane.h"
#include "node_metrics.h"

#include <httplib.h>

namespace pomelohub {

struct admin_parts {
    handle<control_plane> control;
    handle<backend_host> host;
    node_metrics& metrics;
    clock_hook clock;
    std::function<gauge_readings()> readings; ///< Those that are not in the control state.
};

/** Thread safety: any thread. */
class admin_listener {
public:
    explicit admin_listener(admin_parts parts);
    ~admin_listener();
    admin_listener(const admin_listener&) = delete;
    admin_listener& operator=(const admin_listener&) = delete;

    tl::expected<void, std::string> listen(const std::string& endpoint);
    void start();
    void stop();

private:
    template <typename F> auto fromState(F&& read);
    void addRoutes();
    void giveStatus(httplib::Response& response);
    void giveMetrics(httplib::Response& response);
    void giveResources(const httplib::Request& request, httplib::Response& response);
    void giveRecord(const httplib::Request& request, httplib::Response& response);
    void waitForChange(const httplib::Request& request, httplib::Response& response);
    void giveExplanation(const httplib::Request& request, httplib::Response& response);
    void giveBackends(httplib::Response& response);
    void takeAnnouncement(const httplib::Request& request, httplib::Response& response);

    admin_parts m_parts;
    httplib::Server m_server;
    std::thread m_thread;
};

} // namespace pomelohub
