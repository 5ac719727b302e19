/** \file
 * Defines interrupted_request, a request that got no complete response from its backend server.
 */
#pragma once

#include "crash_quarantine.h"

namespace pomelohub {

struct interrupted_request {
    request_id id;
    crashed_run run; ///< If the backend server has crashed; \c crashedAt is when the connection broke.
};

} // namespace pomelohub
