/** \file
 * Defines proxy_settings, the start-up settings of a node, which are read from JSON with comments.
 */
#pragma once

#include "checked_json.h"
#include "cold_server_settings.h"
#include "queueing_settings.h"
#include "service_retry_budget.h"

namespace pomelohub {

struct proxy_settings {
    node_id node;
    data_centre_id dataCentre;
    service_id service; ///< Of the backend server on this instance.
    std::string callersEndpoint;
    std::string peersEndpoint;
    std::string announcedPeersEndpoint; ///< Where other nodes reach the peers endpoint.
    std::string backendNotificationsEndpoint; ///< Where the backend server sends heartbeats and deregisters.
    std::string readinessEndpoint;
    std::string metricsEndpoint; ///< Empty if metrics are not served.
    std::string backendEndpoint;
    std::string storeEndpoint;
    std::vector<std::string> seeds; ///< Endpoints of peers to contact while no other node is known.
    bool isFirstFleetStart
        = false; ///< Whether the whole fleet is new, so that no quota has been granted yet.
    std::uint32_t threadCount = 1; ///< Number of threads that serve requests.
    std::size_t maxConnections = 3000; ///< Limit on connections from callers.
    service_retry_limits retries;
    queueing_settings queueing;
    cold_server_settings coldServers;
    std::size_t memoryBytes = 160 << 20; ///< That the process may use.
    duration gracePeriod {}; ///< From the signal to stop until the process is killed.
};

/** Parses and validates \p text. Errors are appended to \p errors; the result must not be used if there are
 * any. */
proxy_settings readProxySettings(const std::string& text, std::vector<field_error>& errors);

} // namespace pomelohub
