/** \file
 * Defines the authentication filter, which finds the organisation of a key and takes the key out of the
 * request, so that nothing behind it can see the key.
 */
#pragma once

#include "configuration_table.h"
#include "request_context.h"

namespace pomelohub {

/** \param table must outlive the filter. */
request_filter makeAuthenticationFilter(const configuration_table& table);

/** Whether the key that admitted \p context still belongs to its organisation. True on open routes. Cheap
 * enough for each chunk of a stream. Thread safety: any thread. */
bool isKeyInForce(const configuration_table& table, const request_context& context);

} // namespace pomelohub
