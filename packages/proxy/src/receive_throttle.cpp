#include "receive_throttle.h"

namespace pomelohub {

namespace {

    /** Between checks for messages that have stalled, while others are paused. */
    constexpr duration checkInterval = std::chrono::milliseconds(100);

} // namespace

receive_throttle::receive_throttle(
    asio::io_context& context, memory_account& account, growth_policy policy, clock_hook clock)
    : m_controller(account, policy)
    , m_clock(std::move(clock))
    , m_timer(context)
    , m_reliefHook(account.addReliefHook([this, &context] {
        asio::post(context, [this] { m_controller.resumePaused(m_clock().monotonic); });
    }))
{
}

// Messages that the event loop still holds release their bytes later.
receive_throttle::~receive_throttle() { m_controller.account().removeReliefHook(m_reliefHook); }

growth receive_throttle::recordGrowth(
    growing_message& message, std::size_t bytes, std::optional<std::size_t> remainingBytes)
{
    auto now = m_clock().monotonic;
    auto next = m_controller.recordGrowth(message, bytes, remainingBytes, now);
    // What many small messages hold is released by ending those that have stalled.
    if (m_controller.account().isExhausted())
        m_connections.endForMemory(now);
    if (next == growth::pause && !m_isChecking)
        checkPaused();
    return next;
}

void receive_throttle::checkPaused()
{
    m_isChecking = m_controller.hasPaused();
    if (!m_isChecking)
        return;
    m_timer.startAfter(checkInterval, [this] {
        auto now = m_clock().monotonic;
        endStalledConnections(now);
        m_controller.resumePaused(now);
        checkPaused();
    });
}

/** Ends connections that have stalled while the account is exhausted and that helps. */
void receive_throttle::endStalledConnections(instant now)
{
    while (isExhausted()) {
        auto before = m_controller.account().heldBytes();
        if (!m_connections.endForMemory(now) || m_controller.account().heldBytes() >= before)
            return;
    }
}

} // namespace pomelohub
