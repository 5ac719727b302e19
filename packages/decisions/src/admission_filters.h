/** \file
 * Defines the admission filters of the sidecar node of a backend server. Only this node admits requests to
 * that server, so an outdated fleet view at another node can cost an extra hop but never cause a limit to be
 * exceeded.
 */
#pragma once

#include "filter_chain.h"
#include "fleet_view.h"

namespace pomelohub {

/** A request as the admission filters see it. */
struct admission_context {
    request_id id;
    organisation_id organisation;
    instant deadline {};
    backend_condition condition = backend_condition::warm;
};

using admission_chain = filter_chain<admission_context>;

/** Queries that the filters make for each request. Thread safety: called from any thread. */
struct admission_hooks {
    std::function<bool()> isDataCentreInService;
    std::function<bool()> isNodeLeaving;
};

/** Builds the chain. It checks, in this order, the data centre, draining and the deadline. */
admission_chain makeAdmissionChain(const admission_hooks& hooks);

} // namespace pomelohub
