#include "idempotency_filter.h"

#include "idempotency_store.h"

namespace pomelohub {

request_filter makeIdempotencyFilter()
{
    return [](request_context& context, const present&) -> result<void> {
        if (!context.isIdempotencyKeyRequired())
            return {};
        if (context.idempotencyKey.empty())
            return notRun(refusal_reason::idempotencyKeyMissing, "the route needs an Idempotency-Key");
        if (!issueTimeOf(context.idempotencyKey))
            return notRun(
                refusal_reason::idempotencyKeyInvalid, "the Idempotency-Key is not a version 7 UUID");
        return {};
    };
}

} // namespace pomelohub
