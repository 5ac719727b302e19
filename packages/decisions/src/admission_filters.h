/** \file
 * Defines the filters of the node beside a backend server. It alone admits work there, so a stale view
 * elsewhere costs a hop and never a limit.
 */
#pragma once

#include "filter_chain.h"
#include "fleet_view.h"

namespace pomelohub {

/** What the node beside a backend server knows of one request. */
struct admission_context {
    request_id id;
    organisation_id organisation;
    instant deadline {};
    backend_condition condition = backend_condition::warm;
};

using admission_chain = filter_chain<admission_context>;

/** Facts that the filters ask for at the time of the request. Thread safety: called from any thread. */
struct admission_facts {
    std::function<bool()> isDataCentreInService;
    std::function<bool()> isNodeLeaving;
};

/** The chain, in order: data centre, drain, deadline. */
admission_chain makeAdmissionChain(const admission_facts& facts);

} // namespace pomelohub
