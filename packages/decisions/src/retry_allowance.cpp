#include "retry_allowance.h"

#include <algorithm>

namespace pomelohub {

namespace {

    /** Of the agreed share and reserve; the rest is for what nodes count late or estimate. */
    constexpr double usedShare = 0.85;
    constexpr double usedReserve = 0.8;
    /** Of the used reserve that may be taken at once; the rest comes with time. */
    constexpr double burstShare = 0.5;
    /** Repeats that a node may save up from its own requests. */
    constexpr double mostEarned = 2;
    /** Marks the names of reserves. Names of organisations that begin like it would be taken for one, so it
     * holds a character that no name in a configuration may have. */
    constexpr std::string_view reservePrefix = "\nreserve:";

} // namespace

handle<const organisation_limits> reserveOf(const retry_limits& limits, const service_id& service)
{
    handle<organisation_limits> reserve(new organisation_limits);
    reserve->id = organisation_id(std::string(reservePrefix) + service.text());
    auto used = limits.reserve * usedReserve;
    reserve->burst = used * burstShare;
    reserve->tokensPerSecond = used * (1 - burstShare) / std::chrono::duration<double>(limits.window).count();
    return reserve;
}

std::optional<service_id> reservedServiceOf(const organisation_id& id)
{
    if (!id.text().starts_with(reservePrefix))
        return std::nullopt;
    return service_id(id.text().substr(reservePrefix.size()));
}

retry_allowance::retry_allowance(retry_limits limits)
    : m_limits(limits)
{
}

void retry_allowance::noteRequest(const service_id& service)
{
    auto& level = m_levels[service];
    level = std::min(mostEarned, level + m_limits.share * usedShare);
}

bool retry_allowance::tryTake(const service_id& service)
{
    auto& level = m_levels[service];
    if (level < 1)
        return false;
    level -= 1;
    return true;
}

} // namespace pomelohub
