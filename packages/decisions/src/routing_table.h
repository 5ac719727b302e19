/** \file
 * Defines routing_table, one version of the configuration, indexed for the processing of requests: routes by
 * host and longest path prefix, organisations by API key, services, and the limits of callers.
 */
#pragma once

#include "core_types.h"
#include "rcu_cell.h"

#include <atomic>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pomelohub {

/** Whether a request may be run more than once. */
enum class retry_rule {
    idempotent, ///< May be retried and hedged.
    once, ///< Must not be sent again once a backend server may have run it.
};

/** One of the services of a route, with its weight in the traffic split. */
struct weighted_service {
    service_id service;
    std::uint32_t weight = 1;
};

/** A route: the requests for one host and path prefix. Thread safety: immutable, except for an atomic
 * counter. */
struct routing_rule : ref_counted<routing_rule> {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    retry_rule retryRule = retry_rule::once;
    duration timeout {}; ///< Maximum time from the receipt of a request to its deadline; zero for none.
    duration targetLatency {}; ///< Response time that the route aims at; answers within it are worth most.
    std::uint32_t rank = 0; ///< Lower ranks are served first.
    std::uint32_t maxAttempts = 1; ///< Maximum number of backend servers that may run one request.
    bool isPublic = false; ///< Accepts requests without an API key.
    std::vector<weighted_service> services; ///< At least one.

    /** Selects the service of the next request such that any sequence of requests is split closely by the
     * weights. Thread safety: any thread. */
    const service_id& nextService() const;

    mutable std::atomic<std::uint64_t> requestCount { 0 }; ///< Requests so far, for nextService().
};

/** The rate limit of an organisation over all nodes, and its rank. */
struct organisation_limits : ref_counted<organisation_limits> {
    organisation_id id;
    std::optional<std::uint32_t> rank; ///< Overrides the rank of the route.
    double tokensPerSecond = 0; ///< 0 for no limit.
    double burst = 0;
};

/** The configuration of a service. */
struct service_profile {
    service_id id;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< To one backend server, from all callers; 0 for no limit.
    duration warmup {}; ///< Time after its start for which a backend server is cold.
    double warmupPerSecond = 0; ///< Requests that a cold backend server can handle; 0 for no limit.
};

/** Limits on the size and the timing of what a caller sends. */
struct caller_limits {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 67'108'864;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

/** Immutable once published. Thread safety: any thread after that. */
class routing_table : public ref_counted<routing_table> {
public:
    /** Adds \p rule. It replaces an earlier rule for the same host and path prefix. */
    void add(handle<const routing_rule> rule);
    void add(const handle<const organisation_limits>& organisation, const std::vector<std::string>& keys);
    void add(service_profile profile);

    /** The rule of \p host with the longest prefix that matches \p path, or null. */
    handle<const routing_rule> match(std::string_view host, std::string_view path) const;

    /** The organisation that the API key \p key belongs to, or null. */
    handle<const organisation_limits> organisationOf(std::string_view key) const;
    handle<const organisation_limits> organisationNamed(const organisation_id& id) const;

    const service_profile* profileOf(const service_id& id) const;
    std::size_t ruleCount() const;
    bool hasOrganisations() const { return !m_organisations.empty(); }

    /** Copies the request counter of each rule from the same rule in \p former, so that a new version does
     * not restart the traffic split between weighted services. */
    void inheritRequestCounts(const routing_table& former);

    std::uint64_t version = 0; ///< Of the configuration; 0 when none is known.
    caller_limits limits;

private:
    std::unordered_map<std::string, std::vector<handle<const routing_rule>>> m_hosts;
    std::unordered_map<digest, handle<const organisation_limits>> m_keys; ///< By SHA-256 of the key.
    std::unordered_map<organisation_id, handle<const organisation_limits>> m_organisations;
    std::unordered_map<service_id, service_profile> m_services;
};

} // namespace pomelohub
