/** \file
 * Defines the quarantine filter, which refuses a request when equal ones have crashed backend servers.
 */
#pragma once

#include "crash_quarantine.h"
#include "request_context.h"

namespace pomelohub {

/** Precondition: the route and authentication filters ran before. \param quarantine must outlive the filter.
 */
request_filter makeQuarantineFilter(const crash_quarantine& quarantine);

} // namespace pomelohub
