/** \file
 * Defines the rate filter, which spends a token of the caller's organisation for each request.
 */
#pragma once

#include "request_context.h"
#include "token_leases.h"

namespace pomelohub {

/** Asks authorities for tokens. \param wait whether to wait for one, which must end in a bounded time, or
 * only to start a question for later requests. \return whether a token may be there now. Thread safety: any
 * thread. */
using refill_hook = std::function<bool(const handle<organisation_leases>& leases, bool wait)>;

/** \param leases must outlive the filter. \param clock is read again after a wait. */
request_filter makeRateFilter(token_leases& leases, refill_hook refill, clock_hook clock);

} // namespace pomelohub
