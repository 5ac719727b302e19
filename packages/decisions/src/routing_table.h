/** \file
 * Defines routing_table, one version of the configuration in the form that requests use: routes by host and
 * longest path prefix, organisations by key, services and the limits for callers.
 */
#pragma once

#include "core_types.h"
#include "rcu_cell.h"

#include <atomic>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pomelohub {

/** Whether a backend server may run a request more than once. */
enum class repeat_rule {
    idempotent,
    once,
};

/** One of the services that share a route, with its part of the requests. */
struct weighted_service {
    service_id service;
    std::uint32_t weight = 1;
};

/** Requests of one host below one path prefix. Thread safety: constant but for its turn. */
struct routing_rule : counted<routing_rule> {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    repeat_rule repeats = repeat_rule::once;
    duration timeout {}; ///< Longest time that a request is kept; zero for none.
    duration objective {}; ///< Answers within it are worth most.
    std::uint32_t rank = 0; ///< 0 is served first.
    std::uint32_t maxAttempts = 1; ///< Backend servers that one request may be sent to.
    bool isOpen = false; ///< Served without a key.
    std::vector<weighted_service> services; ///< At least one.

    /** Picks the service of the next request, so that any run of requests keeps close to the weights. Thread
     * safety: any thread. */
    const service_id& nextService() const;

    mutable std::atomic<std::uint64_t> turn { 0 };
};

/** What an organisation may ask of all nodes together. */
struct organisation_limits : counted<organisation_limits> {
    organisation_id id;
    std::optional<std::uint32_t> rank; ///< Goes before the rank of the route.
    double tokensPerSecond = 0; ///< 0 for no limit.
    double burst = 0;
};

/** What the configuration says of a service. */
struct service_profile {
    service_id id;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< To one backend server, from all callers; 0 for no limit.
    duration warmup {};
    double warmupPerSecond = 0; ///< Requests that a cold backend server bears; 0 for no limit.
};

/** What a caller may send and how long it may take. */
struct caller_limits {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 67'108'864;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

/** Immutable once published. Thread safety: any thread after that. */
class routing_table : public counted<routing_table> {
public:
    /** Adds \p rule; a later rule for the same host and prefix replaces the former. */
    void add(handle<const routing_rule> rule);
    void add(const handle<const organisation_limits>& organisation, const std::vector<std::string>& keys);
    void add(service_profile profile);

    /** The rule of \p host with the longest prefix of \p path, or null. */
    handle<const routing_rule> match(std::string_view host, std::string_view path) const;

    /** The organisation that holds \p key, or null. */
    handle<const organisation_limits> organisationOf(std::string_view key) const;
    handle<const organisation_limits> organisationNamed(const organisation_id& id) const;

    const service_profile* profileOf(const service_id& id) const;
    std::size_t ruleCount() const;
    bool hasOrganisations() const { return !m_organisations.empty(); }

    /** Makes the sequence of each rule start where it stands in \p former, so that a new version does not
     * start the shares of weighted services anew. */
    void continueFrom(const routing_table& former);

    std::uint64_t version = 0; ///< 0 when no configuration is known.
    caller_limits limits;

private:
    std::unordered_map<std::string, std::vector<handle<const routing_rule>>> m_hosts;
    std::unordered_map<digest, handle<const organisation_limits>> m_keys; ///< By SHA-256 of the key.
    std::unordered_map<organisation_id, handle<const organisation_limits>> m_organisations;
    std::unordered_map<service_id, service_profile> m_services;
};

} // namespace pomelohub
