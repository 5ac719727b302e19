/** \file
 * Defines receive_throttle, which applies the decisions of a growth_controller on the event loop of one
 * thread.
 */
#pragma once

#include "growth_controller.h"
#include "message_body.h"
#include "one_shot_timer.h"
#include "open_connections.h"

namespace pomelohub {

/** Thread safety: the thread of its execution context. */
class receive_throttle {
public:
    /** The account must outlive the throttle, which keeps a relief hook there. Precondition: that of
     * memory_account::addReliefHook(). */
    receive_throttle(
        asio::io_context& context, memory_account& account, growth_policy policy, clock_hook clock);
    ~receive_throttle();
    receive_throttle(const receive_throttle&) = delete;
    receive_throttle& operator=(const receive_throttle&) = delete;

    /** A charge of the account for bytes of \p holder. */
    memory_charge makeCharge(byte_holder holder) { return { &m_controller.account(), holder }; }

    /** An empty body whose bytes are counted. */
    message_body makeBody(byte_holder holder) { return message_body(makeCharge(holder)); }

    /** As growth_controller::recordGrowth(). */
    growth recordGrowth(
        growing_message& message, std::size_t bytes, std::optional<std::size_t> remainingBytes);

    /** Whether the process holds as many bytes as it may. */
    bool isExhausted() { return m_controller.account().isExhausted(); }

    /** As growth_controller::finish(). */
    void finish(growing_message& message) { m_controller.finish(message, m_clock().monotonic); }

    /** The connections that wait for their callers on this thread. */
    open_connections& connections() { return m_connections; }

    /** As open_connections::endForConnection(). */
    bool endConnectionForAnother() { return m_connections.endForConnection(m_clock().monotonic); }

    /** As growth_controller::recordUnsent(). */
    void recordUnsent(unsent_message& message, std::size_t bytes, bool isStalled)
    {
        m_controller.recordUnsent(message, bytes, isStalled);
    }

private:
    void checkPaused();
    void endStalledConnections(instant now);

    growth_controller m_controller;
    open_connections m_connections;
    clock_hook m_clock;
    one_shot_timer m_timer;
    std::size_t m_reliefHook;
    bool m_isChecking = false;
};

/** An empty body whose bytes \p throttle counts, or nobody if it is null. */
inline message_body makeBody(receive_throttle* throttle, byte_holder holder)
{
    return throttle ? throttle->makeBody(holder) : message_body();
}

} // namespace pomelohub
