#include "rate_filter.h"

namespace pomelohub {

namespace {

    /** Maximum refills that a request waits for before it is refused: one for each partition of the rate. */
    constexpr std::uint32_t maxRefills = ratePartitions;
    constexpr std::chrono::milliseconds retryAfter { 1000 };

    bool refillAndSpend(
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
        auto organisationLeases = leases.leasesFor(context.caller()->id);
        if (trySpend(*organisationLeases, now.monotonic)) {
            refill(organisationLeases, false);
            return {};
        }
        if (refillAndSpend(organisationLeases, refill, clock))
            return {};
        return notRun(refusal_reason::rateExceeded, "the organisation's rate is used up", retryAfter);
    };
}

} // namespace pomelohub
