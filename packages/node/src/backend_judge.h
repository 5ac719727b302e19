/** \file
 * Defines backend_judge, the entry node's side of gray failures: it judges the backend servers of active
 * services, asks for permits to eject suspects, and returns them when permits lapse.
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
        node_id self, gray_failure_policy policy, backend_registry& registry, decision_hook decided);

    /** Closes a window tick. Call it at a steady interval. \return questions to the authorities. */
    std::vector<ejection_request> tick(const present& now);

    /** Ejects what \p permit allows. \param asked when the question was sent. */
    void takePermit(const ejection_permit& permit, instant asked, const present& now);

    /** Forgets backend servers that nobody announces any more. */
    void trim();

private:
    void noteReturned(const present& now);

    node_id m_self;
    gray_failure_detector m_detector;
    backend_registry& m_registry;
    decision_hook m_decided;
    std::set<backend_server_id> m_ejected; ///< For the log; requests look at the permit's end themselves.
    std::map<service_id, instant> m_nextAsk;
};

} // namespace pomelohub
