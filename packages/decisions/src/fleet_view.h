/** \file
 * Defines fleet_view, the backend servers that an entry node may choose from, with the statistics that its
 * own requests collect on each. Controllers publish it; requests read it by read-copy-update.
 */
#pragma once

#include "core_types.h"
#include "rcu_cell.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace pomelohub {

/** What a backend server says of itself through the node beside it. */
enum class backend_condition {
    cold,
    warm,
    draining,
};

std::string_view toText(backend_condition condition);
std::optional<backend_condition> backendConditionFromText(std::string_view text);

/** Counters that requests add to and controllers read. Thread safety: any thread. */
struct backend_stats : counted<backend_stats> {
    std::atomic<std::uint32_t> inFlight { 0 };
    std::atomic<std::uint32_t> reportedLoad { 0 }; ///< Requests per thousand slots, as the host last said.
    std::atomic<std::uint64_t> answers { 0 };
    std::atomic<std::uint64_t> failures { 0 };
    std::atomic<std::uint64_t> latencySum { 0 }; ///< In microseconds over all answers.
    std::atomic<std::uint32_t> weight { fullWeight }; ///< Share of the usual traffic, in thousandths.
    std::atomic<instant> ejectedUntil { instant {} }; ///< End of the permit, looked at when it is used.
    /** The node beside it said that it takes no work; news of that may still be on the way. */
    std::atomic<instant> takesNoWorkUntil { instant {} };

    static constexpr std::uint32_t fullWeight = 1000;

    /** Adds one finished request. */
    void note(bool failed, duration latency);
};

/** A backend server as an entry node knows it. */
struct backend_entry {
    backend_server_id id;
    service_id service;
    node_id node; ///< The node beside it.
    data_centre_id dataCentre;
    std::uint32_t slots = 1;
    backend_condition condition = backend_condition::cold;
    handle<backend_stats> stats;
};

/** Whether a service had requests at this node of late. */
struct service_activity : counted<service_activity> {
    std::atomic<bool> hasRequests { false };
};

/** The backend servers of one service. */
struct service_view : counted<service_view> {
    std::vector<backend_entry> backends;
    handle<service_activity> activity;
};

/** The backend servers of every service. */
struct fleet_view : counted<fleet_view> {
    std::unordered_map<service_id, handle<const service_view>> services;
};

} // namespace pomelohub
