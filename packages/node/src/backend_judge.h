/** \file
 * Defines backend_judge, which detects gray failures at an entry node: it evaluates the backend servers of
 * active services, requests permits to eject the suspects, and returns them to service when the permits
 * expire.
 */
#pragma once

#include "backend_registry.h"
#include "decision_history.h"
#include "ejection_budget.h"
#include "gray_failure_detector.h"

namespace pomelohub {

/** Thread safety: one thread at a time. */
class backend_judge {
public:
    /** \param registry must outlive this object. */
    backend_judge(
        node_id self, gray_failure_policy policy, backend_registry& registry, decision_hook onDecision);

    /** Ends one step of the detector's window. Call it periodically. \return the requests for permits to send
     * to the authorities. */
    std::vector<ejection_request> tick(const present& now);

    /** Ejects the backend servers that \p permit allows. \param requestedAt when the request for the permit
     * was sent; the permit's lifetime counts from then. */
    void applyPermit(const ejection_permit& permit, instant requestedAt, const present& now);

    /** Discards the state of backend servers that no member announces any more. */
    void trim();

private:
    void recordExpiredPermits(const present& now);

    node_id m_self;
    gray_failure_detector m_detector;
    backend_registry& m_registry;
    decision_hook m_onDecision;
    std::set<backend_server_id> m_ejected; ///< For the log only: requests check backend_stats::ejectedUntil.
    std::map<service_id, instant> m_nextRequestAt;
};

} // namespace pomelohub
