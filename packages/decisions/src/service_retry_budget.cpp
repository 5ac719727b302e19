#include "service_retry_budget.h"

#include <algorithm>

namespace pomelohub {

namespace {

    /** Fractions of the agreed ratio and reserve that are used; the rest is a margin for retries that nodes
     * count late or only estimate. */
    constexpr double usedRatio = 0.85;
    constexpr double usedReserveFraction = 0.8;
    /** Fraction of the used reserve that may be taken at once; the rest refills over the window. */
    constexpr double reserveBurstFraction = 0.5;
    /** Maximum number of retries that a node may accumulate from its own requests. */
    constexpr double maxEarnedRetries = 2;
    /** Prefix of the ids of reserves. It contains a character that no name in a configuration may have, so
     * that no organisation is taken for a reserve. */
    constexpr std::string_view reservePrefix = "\nreserve:";

} // namespace

handle<const organisation_limits> retryReserveOf(
    const service_retry_limits& limits, const service_id& service)
{
    handle<organisation_limits> reserve(new organisation_limits);
    reserve->id = organisation_id(std::string(reservePrefix) + service.text());
    auto used = limits.reserve * usedReserveFraction;
    reserve->burst = used * reserveBurstFraction;
    reserve->tokensPerSecond
        = used * (1 - reserveBurstFraction) / std::chrono::duration<double>(limits.window).count();
    return reserve;
}

std::optional<service_id> serviceOfRetryReserve(const organisation_id& id)
{
    if (!id.text().starts_with(reservePrefix))
        return std::nullopt;
    return service_id(id.text().substr(reservePrefix.size()));
}

service_retry_budget::service_retry_budget(service_retry_limits limits)
    : m_limits(limits)
{
}

void service_retry_budget::recordRequest(const service_id& service)
{
    auto& earned = m_earnedRetries[service];
    earned = std::min(maxEarnedRetries, earned + m_limits.ratio * usedRatio);
}

bool service_retry_budget::tryAcquire(const service_id& service)
{
    auto& earned = m_earnedRetries[service];
    if (earned < 1)
        return false;
    earned -= 1;
    return true;
}

} // namespace pomelohub
