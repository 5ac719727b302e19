/** \file
 * Defines body_pipe, a bounded stream of bytes between a blocking library thread and the event loop. It holds
 * the only lock on the path of a request, and only while bytes are copied.
 */
#pragma once

#include "rcu_cell.h"
#include "request_error.h"

#include <condition_variable>
#include <mutex>

namespace pomelohub {

enum class pipe_state {
    open,
    ended, ///< All bytes were read and the writer finished.
    failed,
    timedOut,
};

struct pipe_read {
    std::size_t bytes = 0;
    std::size_t fresh = 0; ///< Of them, those that were not read before a rewind.
    pipe_state state = pipe_state::open;
};

/** Thread safety: one writer and one reader, each on any thread. Hooks are called on the thread of the other
 * side, without the lock, and must not block. */
class body_pipe : public ref_counted<body_pipe> {
public:
    static constexpr std::size_t usualCapacity = 256 * 1024;
    static constexpr std::size_t rewindLimit = 64 * 1024; ///< Bytes that are kept for rewind().

    explicit body_pipe(std::size_t capacity = usualCapacity);

    /** Waits for room and writes all of \p bytes. \return false when the reader has gone, the pipe failed or
     * \p deadline passed. */
    bool write(std::string_view bytes, instant deadline);

    /** Writes without waiting; flow control elsewhere bounds what is offered. */
    void offer(std::string_view bytes);

    void finish();
    void fail(request_error why);

    /** Waits for bytes or the end. */
    pipe_read read(char* out, std::size_t size, instant deadline);

    /** Reads what is there. State open with no bytes means that the readable hook will be called. */
    pipe_read poll(char* out, std::size_t size);

    /** Puts back all that was read, for another reader. \return false when too much was read to be kept. */
    bool rewind();

    /** The reader needs no more. */
    void closeReader();

    /** Why the pipe failed. Precondition: a read returned pipe_state::failed. */
    request_error failure() const;

    /** Called when there is something to read after poll() found nothing. Set before use. */
    void setReadableHook(std::function<void()> hook);

    /** Called with the number of bytes that were read. Set before use. */
    void setConsumedHook(std::function<void(std::size_t)> hook);

    /** Lets go of both hooks, which may hold counts of their owners. */
    void dropHooks();

private:
    pipe_read take(char* out, std::size_t size);
    void notifyReader(std::unique_lock<std::mutex>& lock);
    void notifyConsumed(std::size_t bytes);
    std::size_t noteTaken(std::string_view bytes);

    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_buffer;
    std::size_t m_start = 0;
    std::string m_taken; ///< What was read, while it is short enough to be kept.
    std::size_t m_takenTotal = 0; ///< Since the start or the last rewind.
    std::size_t m_consumedTotal = 0; ///< Reported to the consumed hook.
    bool m_finished = false;
    bool m_readerClosed = false;
    bool m_readerWaits = true;
    std::optional<request_error> m_failure;
    std::function<void()> m_readable;
    std::function<void(std::size_t)> m_consumed;
};

} // namespace pomelohub
