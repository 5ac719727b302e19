/** \file
 * Defines the idempotency filter, which requires a valid Idempotency-Key header on routes that are not
 * idempotent.
 */
#pragma once

#include "request_context.h"

namespace pomelohub {

/** Precondition: the route filter ran before. */
request_filter makeIdempotencyFilter();

} // namespace pomelohub
