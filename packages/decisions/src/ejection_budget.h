/** \file
 * Defines ejection_budget, the authority's side of outlier ejection. It grants permits to eject backend
 * servers of a service while enough others stay in use to meet the capacity floor. Permits expire on their
 * own.
 */
#pragma once

#include "resource.h"

#include <map>
#include <span>

namespace pomelohub {

struct ejection_policy {
    duration permitLifetime = std::chrono::seconds(10);
    /** Minimum number of entry nodes that must report a backend server before it is ejected, since a single
     * node may just have a bad network path to it. */
    std::uint32_t minReporters = 2;
    /** Time for which a report counts. */
    duration reportLifetime = std::chrono::seconds(3);
    /** Maximum share of a service that may be ejected at once, in percent, even where its capacity floor
     * would allow more. */
    std::uint32_t maxEjectionPercent = 50;
};

/** An entry node's report that backend servers of one service are suspect. */
struct ejection_request {
    service_id service;
    node_id reporter;
    std::vector<backend_server_id> suspects;
};

/** Backend servers that may be ejected for \p lifetime, which the entry node counts from the time at which it
 * sent the request. */
struct ejection_permit {
    std::vector<backend_server_id> ejected;
    std::chrono::milliseconds lifetime { 0 };
};

/** The capacity of a service as the authority knows it. */
struct service_capacity {
    std::uint32_t backendServers = 0; ///< In use or ejected, but not draining.
    std::uint32_t minInUse = 0; ///< Backend servers that must stay in use.
    std::uint32_t entryNodes = 0; ///< Entry nodes that are alive and can report.
};

/** The ejection budgets of the services whose slots this node holds. Precondition: the caller checked, for
 * the same point in time, that this node may use the slot and has held it for at least the lifetime
 * of a permit, so that the permits of an earlier holder have expired. Thread safety: one thread at a time. */
class ejection_budget {
public:
    explicit ejection_budget(ejection_policy policy);

    /** Records the reports of \p request and grants the permits that the budget allows. \return all permits
     * of the service in force, those that other entry nodes obtained included; a request without suspects
     * serves to learn of these. */
    ejection_permit request(const ejection_request& request, const service_capacity& capacity, instant now);

private:
    struct suspect_state {
        std::map<node_id, instant> reporters;
        instant ejectedUntil {};
    };
    using suspect_map = std::map<backend_server_id, suspect_state>;

    std::uint32_t maxEjections(const service_capacity& capacity) const;
    void recordReports(suspect_map& suspects, const ejection_request& request, instant now) const;
    bool hasEnoughReporters(const suspect_state& suspect, const service_capacity& capacity) const;

    ejection_policy m_policy;
    std::map<service_id, suspect_map> m_services;
};

/** Hash by which the budget of \p service is assigned to a slot. */
std::uint64_t ejectionHashOf(const service_id& service);

} // namespace pomelohub
