/** \file
 * Defines the authentication filter, which looks up the organisation of an API key and removes the key from
 * the request, so that later filters and backend servers cannot see it.
 */
#pragma once

#include "configuration_table.h"
#include "request_context.h"

namespace pomelohub {

/** Precondition: the route filter ran before. \param table must outlive the filter. */
request_filter makeAuthenticationFilter(const configuration_table& table);

/** Whether the API key of \p context still belongs to the organisation that it was admitted for. True on
 * routes that need no key. Cheap enough to call for each chunk of a stream. Thread safety: any thread. */
bool isApiKeyValid(const configuration_table& table, const request_context& context);

} // namespace pomelohub
