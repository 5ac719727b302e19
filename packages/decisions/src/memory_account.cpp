#include "memory_account.h"

namespace pomelohub {

namespace {

    constexpr std::array<std::string_view, byteHolderCount> holderNames { "caller_request",
        "backend_response", "peer_message", "unsent_response", "receive_buffer" };

    constexpr double pauseFraction = 0.15;
    constexpr double maxFraction = 0.35;
    constexpr double mostlyGrowingFraction = 0.75;
    constexpr double connectionFraction = 0.25;
    constexpr std::size_t connectionBytes = 20 << 10; ///< A read buffer, and the state of the connection.

    std::size_t fractionOf(std::size_t bytes, double fraction)
    {
        return static_cast<std::size_t>(static_cast<double>(bytes) * fraction);
    }

} // namespace

std::string_view toText(byte_holder holder) { return holderNames.at(static_cast<std::size_t>(holder)); }

memory_limits memory_limits::forProcess(std::size_t processBytes)
{
    return { fractionOf(processBytes, pauseFraction), fractionOf(processBytes, maxFraction),
        fractionOf(processBytes, connectionFraction) / connectionBytes };
}

memory_account::memory_account(memory_limits limits)
    : m_limits(limits)
{
}

void memory_account::add(byte_holder holder, std::size_t bytes)
{
    m_byHolder.at(static_cast<std::size_t>(holder)).fetch_add(bytes, std::memory_order_relaxed);
    m_total.fetch_add(bytes, std::memory_order_relaxed);
}

void memory_account::remove(byte_holder holder, std::size_t bytes)
{
    m_byHolder.at(static_cast<std::size_t>(holder)).fetch_sub(bytes, std::memory_order_relaxed);
    auto before = m_total.fetch_sub(bytes, std::memory_order_relaxed);
    auto fallsBelow = [=](std::size_t limit) { return before >= limit && before - bytes < limit; };
    if (!fallsBelow(m_limits.pauseBytes) && !fallsBelow(m_limits.maxBytes))
        return;
    for (const auto& hook : m_onRelieved) {
        if (hook)
            hook();
    }
}

std::size_t memory_account::addReliefHook(std::function<void()> onRelieved)
{
    m_onRelieved.push_back(std::move(onRelieved));
    return m_onRelieved.size() - 1;
}

bool memory_account::isMostlyGrowing() const
{
    return m_growing.load(std::memory_order_relaxed) >= fractionOf(heldBytes(), mostlyGrowingFraction);
}

std::size_t memory_account::heldBytes(byte_holder holder) const
{
    return m_byHolder.at(static_cast<std::size_t>(holder)).load(std::memory_order_relaxed);
}

} // namespace pomelohub
