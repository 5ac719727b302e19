/** \file
 * Defines the deadline filter, which turns the caller's timeout into a deadline that stays within the limits
 * of the node.
 */
#pragma once

#include "request_context.h"

namespace pomelohub {

struct timeout_limits {
    std::chrono::milliseconds defaultTimeout = std::chrono::seconds(30); ///< If the caller sets none.
    std::chrono::milliseconds maxTimeout = std::chrono::minutes(10); ///< A longer timeout is cut to this one.
};

request_filter makeDeadlineFilter(timeout_limits limits);

} // namespace pomelohub
