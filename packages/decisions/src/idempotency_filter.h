/** \file
 * Defines the idempotency filter, which asks for a usable key on routes that are not idempotent.
 */
#pragma once

#include "request_context.h"

namespace pomelohub {

request_filter makeIdempotencyFilter();

} // namespace pomelohub
