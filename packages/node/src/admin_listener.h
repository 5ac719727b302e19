/** \file
 * Defines admin_listener, the HTTP interface for operators, for metrics and for the backend servers of this
 * instance, which register here. It is separate from the callers' listener and is meant for a private
 * address.
 */
#pragma once

#include "backend_host.h"
#include "control_plane.h"
#include "node_metrics.h"

#include <httplib.h>

namespace pomelohub {

struct admin_dependencies {
    handle<control_plane> control;
    handle<backend_host> host;
    node_metrics& metrics;
    clock_hook clock;
    std::function<gauge_readings()> readings; ///< Gauges whose values are outside the control state.
};

/** Thread safety: any thread. */
class admin_listener {
public:
    explicit admin_listener(admin_dependencies dependencies);
    ~admin_listener();
    admin_listener(const admin_listener&) = delete;
    admin_listener& operator=(const admin_listener&) = delete;

    tl::expected<void, std::string> listen(const std::string& endpoint);
    void start();
    void stop();

private:
    template <typename F> auto readState(F&& read);
    void addRoutes();
    void sendStatus(httplib::Response& response);
    void sendMetrics(httplib::Response& response);
    void sendResources(const httplib::Request& request, httplib::Response& response);
    void sendRecord(const httplib::Request& request, httplib::Response& response);
    void waitForChange(const httplib::Request& request, httplib::Response& response);
    void sendExplanation(const httplib::Request& request, httplib::Response& response);
    void sendBackends(httplib::Response& response);
    void handleAnnouncement(const httplib::Request& request, httplib::Response& response);

    admin_dependencies m_dependencies;
    httplib::Server m_server;
    std::thread m_thread;
};

} // namespace pomelohub
