/** \file
 * Defines the route filter, which finds the service by host and its route by method and longest path prefix.
 */
#pragma once

#include "configuration_table.h"
#include "request_context.h"

namespace pomelohub {

/** \param table must outlive the filter. */
request_filter makeRouteFilter(const configuration_table& table);

/** The route of \p routes that matches with the longest prefix, or null. A prefix matches whole path
 * segments. Thread safety: any thread. */
const route* matchRoute(const std::vector<route>& routes, std::string_view method, std::string_view path);

} // namespace pomelohub
