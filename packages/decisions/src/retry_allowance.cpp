#include "retry_allowance.h"

#include <algorithm>

namespace pomelohub {

namespace {

    /** Of the agreed share and reserve; the rest is for repeats that nodes cannot count, such as the calls of
     * a repeated request. */
    constexpr double usedShare = 0.85;
    /** Of the reserve that may be held for use at once; the rest comes with time. */
    constexpr double heldShare = 0.4;

} // namespace

retry_allowance::retry_allowance(retry_limits limits, std::size_t holders)
    : m_limits(limits)
    , m_holders(static_cast<double>(std::max<std::size_t>(holders, 1)))
{
}

double retry_allowance::mostHeld(std::size_t nodes) const
{
    auto parts = static_cast<double>(std::max<std::size_t>(nodes, 1)) * m_holders;
    return std::max(1.0, m_limits.reserve * heldShare / parts);
}

retry_allowance::account& retry_allowance::accrue(const service_id& service, std::size_t nodes, instant now)
{
    auto parts = static_cast<double>(std::max<std::size_t>(nodes, 1)) * m_holders;
    auto most = mostHeld(nodes);
    auto [found, isNew] = m_accounts.try_emplace(service);
    auto& account = found->second;
    auto inWindow = std::max(0.0, m_limits.reserve * usedShare - parts * most);
    if (isNew) {
        // Where there are more nodes than repeats in the reserve, each must earn its first.
        account.level = parts * most <= m_limits.reserve * usedShare ? most : 0;
    } else {
        auto windows = std::chrono::duration<double>(now - account.accruedAt) / m_limits.window;
        account.level = std::min(most, account.level + windows * inWindow / parts);
    }
    account.accruedAt = now;
    return account;
}

void retry_allowance::noteRequest(const service_id& service, std::size_t nodes, instant now)
{
    auto& account = accrue(service, nodes, now);
    account.level = std::min(mostHeld(nodes) + 1, account.level + m_limits.share * usedShare);
}

bool retry_allowance::tryTake(const service_id& service, std::size_t nodes, instant now)
{
    auto& account = accrue(service, nodes, now);
    if (account.level < 1)
        return false;
    account.level -= 1;
    return true;
}

} // namespace pomelohub
