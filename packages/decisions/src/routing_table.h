/** \file
 * Defines routing_table, one version of the configuration, indexed for the processing of requests: routes by
 * host and longest path prefix, organisations by API key, services, and the limits of callers.
 */
#pragma once

#include "core_types.h"
#include "rcu_cell.h"

#include <atomic>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace pomelohub {

/** Whether a request may be run more than once. */
enum class retry_rule {
    idempotent, ///< May be retried and hedged.
    once, ///< Must not be sent again once a backend server may have run it.
};

/** Hash of a service and the name of a route: requests of one kind make similar work. */
using request_kind = std::uint64_t;

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

/** The kind of the requests of \p rule that go to \p service; the same on all nodes, never 0. */
request_kind requestKindOf(const service_id& service, const routing_rule& rule);

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

/** Hash for look-ups by string_view. */
struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view> {}(text); }
};

/** The routes of one host. Versions of the configuration share it while the host does not change. Thread
 * safety: any thread once it is part of a published table. */
class route_set : public ref_counted<route_set> {
public:
    /** Adds \p rule. It replaces an earlier rule for the same path prefix. Precondition: no table that was
     * published contains the set. */
    void add(handle<const routing_rule> rule);

    /** The rule with the longest prefix that matches \p path, or null. */
    handle<const routing_rule> match(std::string_view path) const;

    /** The rule for exactly \p prefix, or null. */
    const routing_rule* find(std::string_view prefix) const;

    std::size_t size() const { return m_rules.size(); }

    /** Services of all rules that were added. */
    const std::set<service_id>& services() const { return m_services; }

private:
    friend class routing_table;

    std::unordered_map<std::string, handle<const routing_rule>, string_hash, std::equal_to<>> m_rules;
    std::set<service_id> m_services;
    std::size_t m_longestPrefix = 0;
};

/** The organisations of a configuration; an empty set knows no key. Versions share it while no organisation
 * changes. Thread safety: any thread once it is part of a published table. */
class organisation_set : public ref_counted<organisation_set> {
public:
    /** Adds \p organisation with the SHA-256 digests of its keys. \return false if a key is listed already.
     * Precondition: no table that was published contains the set. */
    bool add(const handle<const organisation_limits>& organisation, const std::vector<digest>& keys);

    /** The organisation that the API key \p key belongs to, or null. */
    handle<const organisation_limits> withKey(std::string_view key) const;
    handle<const organisation_limits> named(const organisation_id& id) const;

private:
    std::unordered_map<digest, handle<const organisation_limits>> m_keys;
    std::unordered_map<organisation_id, handle<const organisation_limits>> m_organisations;
};

/** Immutable once published. Thread safety: any thread after that. */
class routing_table : public ref_counted<routing_table> {
public:
    /** Adds \p rule to the routes of its host. Precondition: those are not shared with a published table. */
    void add(handle<const routing_rule> rule);

    /** Adds \p routes to those of \p host; a rule replaces an earlier one for the same path prefix. */
    void add(std::string_view host, handle<route_set> routes);
    void add(service_profile profile);

    /** Makes callers need a key of one of \p organisations, of which there may be none. */
    void setOrganisations(handle<const organisation_set> organisations);

    /** The rule of \p host with the longest prefix that matches \p path, or null. */
    handle<const routing_rule> match(std::string_view host, std::string_view path) const;

    /** The organisations whose keys are accepted; null if callers need no key, as the configuration has no
     * list of organisations. Valid as long as the table. */
    const organisation_set* organisations() const { return m_organisations.get(); }

    const service_profile* profileOf(const service_id& id) const;
    std::size_t ruleCount() const;

    /** Copies the request counter of each changed rule from the rule for the same host and prefix in \p
     * former, so that a new version does not restart the traffic split between weighted services. */
    void inheritRequestCounts(const routing_table& former);

    std::uint64_t version = 0; ///< Of the configuration; 0 when none is known.
    caller_limits limits;

private:
    std::unordered_map<std::string, handle<route_set>> m_hosts;
    handle<const organisation_set> m_organisations;
    std::unordered_map<service_id, service_profile> m_services;
};

} // namespace pomelohub
