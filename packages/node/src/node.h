/** \file
 * Defines node, which puts the parts of a node's process together and ends them in the order that cuts no
 * request.
 */
#pragma once

#include "admin_listener.h"
#include "caller_front.h"
#include "peer_listener.h"
#include "peer_service.h"
#include "rate_client.h"

namespace pomelohub {

/** Thread safety: one thread, the program's. */
class node {
public:
    node(node_settings settings, clock_hook clock);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /** Loads certificates and secrets and binds all listeners. \return a text that says what failed. */
    tl::expected<void, std::string> open();

    /** Serves from now on. */
    void start();

    /** Loads certificates again for new connections. */
    tl::expected<void, std::string> reloadCertificates();

    /** Gives up slots, takes no new work, lets what runs end, and stops. */
    void shutDown();

private:
    struct parts;

    void decide(decision made);
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
