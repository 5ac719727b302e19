/** \file
 * Defines node, which builds the components of the node process and shuts them down in an order that lets
 * requests in flight complete.
 */
#pragma once

#include "admin_listener.h"
#include "caller_front.h"
#include "peer_listener.h"
#include "peer_service.h"
#include "rate_client.h"

namespace pomelohub {

/** Thread safety: the main thread only. */
class node {
public:
    node(node_settings settings, clock_hook clock);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /** Loads certificates and secrets and binds all listeners. \return an error message on failure. */
    tl::expected<void, std::string> open();

    /** Starts the event threads and begins to serve. */
    void start();

    /** Reloads the certificates; they apply to new connections. \return an error message on failure. */
    tl::expected<void, std::string> reloadCertificates();

    /** Releases slots, stops taking new work, waits for requests in flight up to the drain time, and stops.
     */
    void shutDown();

private:
    struct parts;

    void recordDecision(decision made);
    void buildControl(const std::vector<std::string>& secrets);
    void buildHost();
    void buildFront();
    void scheduleHostTick();
    bool waitUntilIdle(instant deadline);
    gauge_readings readings() const;

    node_settings m_settings;
    clock_hook m_clock;
    std::unique_ptr<parts> m_parts;
};

} // namespace pomelohub
