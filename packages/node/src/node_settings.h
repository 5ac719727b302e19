/** \file
 * Defines node_settings, the startup settings of a node, parsed from JSON with comments and validated.
 */
#pragma once

#include "checked_json.h"
#include "ejection_budget.h"
#include "gray_failure_detector.h"
#include "load_balancer.h"
#include "peer_client.h"
#include "tls_material.h"

namespace pomelohub {

struct node_settings {
    node_id node;
    data_centre_id dataCentre;
    std::string callersEndpoint;
    std::string peersEndpoint;
    std::string adminEndpoint;
    std::string logAddress;
    tls_files tls;
    std::string datagramSecretsFile;
    std::vector<peer_address> seeds;
    std::size_t eventThreads = 2;
    std::size_t requestThreads = 64;
    std::size_t backendThreads = 64;
    std::size_t maxConnections = 1000;
    std::size_t maxHeaderBytes = 32 * 1024;
    std::size_t maxBodyBytes = 256 * 1024 * 1024;
    std::size_t queueLength = 200;
    std::chrono::milliseconds defaultTimeout = std::chrono::seconds(30);
    std::chrono::milliseconds maxTimeout = std::chrono::minutes(10);
    std::chrono::milliseconds drainTimeout = std::chrono::seconds(30);
    std::chrono::milliseconds staleLimit = std::chrono::hours(6);
    gray_failure_policy gray;
    ejection_policy ejection;
};

/** Parses and validates settings. All errors found are returned in \p errors; the result is valid only if
 * there are none. */
node_settings readNodeSettings(const std::string& text, std::vector<field_error>& errors);

/** Reads a secrets file with one secret per line, each of at least 16 characters. Empty lines are skipped.
 * \return an error message on failure. */
tl::expected<std::vector<std::string>, std::string> readSecrets(const std::string& path);

/** Reads a whole file. \return an error message on failure. */
tl::expected<std::string, std::string> readFile(const std::string& path);

} // namespace pomelohub
