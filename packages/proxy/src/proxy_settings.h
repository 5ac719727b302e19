/** \file
 * Defines proxy_settings, what a node learns when it starts, read from JSON with comments.
 */
#pragma once

#include "checked_json.h"
#include "retry_allowance.h"

namespace pomelohub {

struct proxy_settings {
    node_id node;
    data_centre_id dataCentre;
    service_id service; ///< Of the backend server beside this node.
    std::string callersEndpoint;
    std::string peersEndpoint;
    std::string backendCallsEndpoint; ///< Where the backend server announces itself.
    std::string readinessEndpoint;
    std::string metricsEndpoint; ///< Empty for none.
    std::string backendEndpoint;
    std::string storeEndpoint;
    std::vector<std::string> seeds; ///< Endpoints of nodes to ask first.
    bool isFirstStart = false; ///< Of the whole fleet: no node can have granted anything before.
    std::uint32_t threads = 1; ///< That serve requests.
    std::size_t maxConnections = 3000; ///< Of callers.
    retry_limits retries;
    duration grace {}; ///< From the order to stop until the process is killed.
};

/** Reads \p text. Faults are added to \p errors; the settings are of no use then. */
proxy_settings readProxySettings(const std::string& text, std::vector<field_error>& errors);

} // namespace pomelohub
