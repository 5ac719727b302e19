/** \file
 * Defines the route filter, which looks up the service by host and its route by method and longest matching
 * path prefix.
 */
#pragma once

#include "configuration_table.h"
#include "request_context.h"

namespace pomelohub {

/** \param table must outlive the filter. */
request_filter makeRouteFilter(const configuration_table& table);

/** Returns the matching route of \p routes with the longest path prefix, or null. Prefixes match whole path
 * segments only. Thread safety: any thread. */
const route* matchRoute(const std::vector<route>& routes, std::string_view method, std::string_view path);

} // namespace pomelohub
