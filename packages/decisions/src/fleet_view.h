/** \file
 * Defines fleet_view, the backend servers that an entry node can choose from, with the statistics that the
 * requests of this node collect on each of them. Controllers publish it; requests read it by
 * read-copy-update.
 */
#pragma once

#include "core_types.h"
#include "rcu_cell.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace pomelohub {

/** Condition of a backend server, announced by the node co-located with it. */
enum class backend_condition {
    cold,
    warm,
    draining,
};

std::string_view toText(backend_condition condition);
std::optional<backend_condition> backendConditionFromText(std::string_view text);

/** Statistics of one backend server. Requests update the counters and controllers read them. Thread safety:
 * any thread. */
struct backend_stats : ref_counted<backend_stats> {
    std::atomic<std::uint32_t> inFlight { 0 };
    /** Requests in progress and queued there relative to its concurrency limit, in thousandths, as last
     * reported by its node. */
    std::atomic<std::uint32_t> reportedLoad { 0 };
    std::atomic<std::uint64_t> responses { 0 };
    std::atomic<std::uint64_t> failures { 0 };
    std::atomic<std::uint64_t> latencySum { 0 }; ///< Sum over all answers, in microseconds.
    std::atomic<std::uint32_t> weight { fullWeight }; ///< Share of the normal traffic, in thousandths.
    std::atomic<instant> ejectedUntil { instant {} }; ///< Expiry of the ejection permit, checked on each use.
    /** Set when its node refuses a request because it accepts no new work. Until this time the backend server
     * is not chosen, since the gossip that announces the condition may still be under way. */
    std::atomic<instant> unavailableUntil { instant {} };

    static constexpr std::uint32_t fullWeight = 1000;

    /** Records one completed request. */
    void recordResult(bool failed, duration latency);
};

/** A backend server as known to an entry node. */
struct backend_entry {
    backend_server_id id;
    service_id service;
    node_id node; ///< The node co-located with it.
    data_centre_id dataCentre;
    std::uint32_t slots = 1; ///< Announced number of requests that it processes concurrently.
    backend_condition condition = backend_condition::cold;
    handle<backend_stats> stats;
};

/** Tracks whether a service receives requests at this node. */
struct service_activity : ref_counted<service_activity> {
    std::atomic<bool> hasRequests { false }; ///< Set by requests, cleared by the reader.
};

/** The backend servers of one service. */
struct service_view : ref_counted<service_view> {
    std::vector<backend_entry> backends;
    handle<service_activity> activity;
};

/** The backend servers of all services. */
struct fleet_view : ref_counted<fleet_view> {
    std::unordered_map<service_id, handle<const service_view>> services;
};

} // namespace pomelohub
