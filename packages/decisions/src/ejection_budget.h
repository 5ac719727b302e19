/** \file
 * Defines ejection_budget, the authority's side of ejection: it grants permits to eject backend servers of a
 * service as long as the capacity floor is kept. Permits lapse by themselves.
 */
#pragma once

#include "resource.h"

#include <map>
#include <span>

namespace pomelohub {

struct ejection_policy {
    duration permitLifetime = std::chrono::seconds(10);
    /** Entry nodes that must complain of a backend server; a single one may have a bad path to it. */
    std::uint32_t witnesses = 2;
    /** How long a complaint counts. */
    duration complaintLifetime = std::chrono::seconds(3);
    /** Share of a service that may be out at once, in hundredths, whatever its floor. */
    std::uint32_t largestShare = 50;
};

/** An entry node's complaint about backend servers of one service. */
struct ejection_request {
    service_id service;
    node_id witness;
    std::vector<backend_server_id> suspects;
};

/** Backend servers that may be left out for \p lifetime, counted from before the request was sent. */
struct ejection_permit {
    std::vector<backend_server_id> ejected;
    std::chrono::milliseconds lifetime { 0 };
};

/** What the authority knows of a service's capacity. */
struct service_capacity {
    std::uint32_t backendServers = 0; ///< In use or ejected, not draining.
    std::uint32_t floor = 0;
    std::uint32_t entryNodes = 0; ///< That could complain.
};

/** The budgets of the services in the slots that this node holds. Precondition: the caller checked at the
 * same present time that this node may use the slot and has held it for a permit's lifetime. Thread safety:
 * one thread at a time. */
class ejection_budget {
public:
    explicit ejection_budget(ejection_policy policy);

    /** Notes the complaint and grants what the budget allows. Requests without suspects learn of the
     * permits that others obtained. */
    ejection_permit request(const ejection_request& request, const service_capacity& capacity, instant now);

private:
    struct complaint {
        std::map<node_id, instant> witnesses;
        instant permittedUntil {};
    };
    using complaints = std::map<backend_server_id, complaint>;

    std::uint32_t allowance(const service_capacity& capacity) const;
    void note(complaints& known, const ejection_request& request, instant now) const;
    bool isProven(const complaint& complaint, const service_capacity& capacity) const;

    ejection_policy m_policy;
    std::map<service_id, complaints> m_services;
};

/** Hash that places the budget of \p service in a slot. */
std::uint64_t ejectionHashOf(const service_id& service);

} // namespace pomelohub
