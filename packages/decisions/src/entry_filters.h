/** \file
 * Defines the filter chain of the entry node, which is the node that receives a request from its caller.
 */
#pragma once

#include "authentication_filter.h"
#include "deadline_filter.h"
#include "idempotency_filter.h"
#include "quarantine_filter.h"
#include "rate_filter.h"
#include "readiness_filter.h"
#include "route_filter.h"

namespace pomelohub {

/** Dependencies of the filters. The references must outlive the chain. */
struct entry_filter_dependencies {
    const configuration_table& table;
    token_leases& leases;
    const crash_quarantine& quarantine;
    readiness_hook readiness;
    refill_hook refill;
    clock_hook clock;
    timeout_limits deadlines;
};

/** Builds the chain that every request passes at its entry node. Later filters rely on the results of
 * earlier ones. */
inline request_chain makeEntryChain(const entry_filter_dependencies& dependencies)
{
    request_chain chain;
    chain.add("readiness", makeReadinessFilter(dependencies.readiness))
        .add("deadline", makeDeadlineFilter(dependencies.deadlines))
        .add("route", makeRouteFilter(dependencies.table))
        .add("authentication", makeAuthenticationFilter(dependencies.table))
        .add("quarantine", makeQuarantineFilter(dependencies.quarantine))
        .add("idempotency", makeIdempotencyFilter())
        .add("rate", makeRateFilter(dependencies.leases, dependencies.refill, dependencies.clock));
    return chain;
}

} // namespace pomelohub
