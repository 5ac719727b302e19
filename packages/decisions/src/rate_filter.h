/** \file
 * Defines the rate limit filter, which takes one token of the caller's organisation for each request.
 */
#pragma once

#include "request_context.h"
#include "token_leases.h"

namespace pomelohub {

/** Requests tokens from the authorities where \p leases run low. \param wait whether to block until a
 * response arrives, for a bounded time, or to return at once and leave the tokens to later requests. \return
 * whether a token may be available now. Thread safety: any thread. */
using refill_hook = std::function<bool(const handle<organisation_leases>& leases, bool wait)>;

/** Precondition: the authentication filter ran before. \param leases must outlive the filter. \param clock is
 * read again after each wait. */
request_filter makeRateFilter(token_leases& leases, refill_hook refill, clock_hook clock);

} // namespace pomelohub
