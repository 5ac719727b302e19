/** \file
 * Defines one_shot_timer, a timer whose callback runs only for its current wait.
 */
#pragma once

#include "core_types.h"
#include "rcu_cell.h"

#include <asio.hpp>

namespace pomelohub {

/** A timer with at most one wait. The callback of a wait that was replaced or cancelled never runs, not even
 * if the wait had ended before and its handler was already queued: asio reports success for such a handler,
 * so its error code cannot tell. A process that was suspended finds its timers expired and its sockets ready
 * at once, in which case that order is common. Thread safety: the thread of its executor. */
class one_shot_timer {
public:
    using callback = std::function<void()>;

    explicit one_shot_timer(const asio::any_io_executor& executor);
    explicit one_shot_timer(asio::io_context& context);

    /** Cancels the wait; the timer may be destroyed inside its own callback. */
    ~one_shot_timer();
    one_shot_timer(const one_shot_timer&) = delete;
    one_shot_timer& operator=(const one_shot_timer&) = delete;

    /** Replaces the wait by one for \p time from now on. \p onExpired keeps what it captures alive until it
     * has run, or until the loop has handled the end of the wait. */
    void startAfter(duration time, callback onExpired);

    /** Replaces the wait by one until \p end. */
    void startAt(instant end, callback onExpired);

    void cancel();

private:
    /** Outlives the timer while a handler is queued. */
    struct wait_state : ref_counted<wait_state> {
        std::uint64_t current = 0; ///< Number of the current wait.
    };

    void wait(callback onExpired);

    asio::steady_timer m_timer;
    handle<wait_state> m_state;
};

} // namespace pomelohub
