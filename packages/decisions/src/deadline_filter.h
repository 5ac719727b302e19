/** \file
 * Defines the deadline filter, which turns the caller's timeout into a deadline within the node's limits.
 */
#pragma once

#include "request_context.h"

namespace pomelohub {

struct deadline_limits {
    std::chrono::milliseconds usual = std::chrono::seconds(30);
    std::chrono::milliseconds longest = std::chrono::minutes(10);
};

request_filter makeDeadlineFilter(deadline_limits limits);

} // namespace pomelohub
