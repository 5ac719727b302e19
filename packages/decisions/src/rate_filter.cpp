#include "rate_filter.h"

namespace pomelohub {

namespace {

    /** How often a request asks before it is refused: each part of the rate once. */
    constexpr std::uint32_t maxRefills = rateParts;
    constexpr std::chrono::milliseconds retrySoon { 1000 };

    bool spendWithRefills(
        const handle<organisation_leases>& leases, const refill_hook& refill, const clock_hook& clock)
    {
        for (std::uint32_t i = 0; i < maxRefills; ++i) {
            if (!refill(leases, true))
                return false;
            if (trySpend(*leases, clock().monotonic))
                return true;
        }
        return false;
    }

} // namespace

request_filter makeRateFilter(token_leases& leases, refill_hook refill, clock_hook clock)
{
    return [&leases, refill = std::move(refill), clock = std::move(clock)](
               request_context& context, const present& now) -> result<void> {
        if (!context.caller())
            return {};
        auto held = leases.of(context.caller()->id);
        if (trySpend(*held, now.monotonic)) {
            refill(held, false);
            return {};
        }
        if (spendWithRefills(held, refill, clock))
            return {};
        return notRun(refusal_reason::rateExceeded, "the organisation's rate is used up", retrySoon);
    };
}

} // namespace pomelohub
