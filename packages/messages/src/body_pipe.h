/** \file
 * Defines body_pipe, a bounded byte stream between a blocking library thread and the event loop. Its mutex
 * is locked on the path of a request and therefore held only while bytes are copied.
 */
#pragma once

#include "rcu_cell.h"
#include "request_error.h"

#include <condition_variable>
#include <mutex>

namespace pomelohub {

enum class pipe_state {
    open,
    ended, ///< The writer has finished and all bytes were read.
    failed,
    timedOut,
};

struct pipe_read {
    std::size_t bytes = 0;
    std::size_t newBytes = 0; ///< The part of these bytes that was not already read before a rewind().
    pipe_state state = pipe_state::open;
};

/** Thread safety: one writer and one reader, each on any thread. Hooks are called on the thread of the
 * opposite side, without holding the lock, and must not block. */
class body_pipe : public ref_counted<body_pipe> {
public:
    static constexpr std::size_t defaultCapacity = 256 * 1024;
    static constexpr std::size_t rewindLimit = 64 * 1024; ///< Maximum number of bytes kept for rewind().

    explicit body_pipe(std::size_t capacity = defaultCapacity);

    /** Writes all of \p bytes, waiting while the pipe is full. \return false when the reader has closed the
     * pipe, the pipe has failed or \p deadline has passed. */
    bool write(std::string_view bytes, instant deadline);

    /** Writes without waiting and regardless of the capacity. The caller bounds the amount of data by its own
     * flow control, such as an HTTP/2 window. */
    void writeUnbounded(std::string_view bytes);

    void finish();
    void fail(request_error error);

    /** Waits until there are bytes to read, the writer has finished or the pipe has failed.
     * \return pipe_state::timedOut when \p deadline passes first. */
    pipe_read read(char* out, std::size_t size, instant deadline);

    /** Reads the available bytes without waiting. When it returns no bytes and pipe_state::open, the readable
     * hook is called once there is more to read. */
    pipe_read poll(char* out, std::size_t size);

    /** Makes all bytes that were read available again, for another reader. \return false when more than
     * rewindLimit bytes were read, as they are no longer kept. */
    bool rewind();

    /** Closes the reading end. Unread bytes and all that is written afterwards are discarded. */
    void closeReader();

    /** The error that the pipe failed with. Precondition: a read returned pipe_state::failed. */
    request_error failure() const;

    /** Sets the hook that is called when bytes, the end or a failure can be read after poll() found nothing,
     * or before the first poll(). If that is already so, calls it at once on the calling thread. Set before
     * use. */
    void setReadableHook(std::function<void()> hook);

    /** Sets the hook that is called with the number of bytes read for the first time or discarded by
     * closeReader(). Set before use. */
    void setConsumedHook(std::function<void(std::size_t)> hook);

    /** Removes both hooks, which may hold references to their owners. */
    void clearHooks();

private:
    pipe_read readBuffered(char* out, std::size_t size);
    void notifyReader(std::unique_lock<std::mutex>& lock);
    void notifyConsumed(std::size_t bytes);
    std::size_t recordRead(std::string_view bytes);

    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_buffer;
    std::size_t m_readOffset = 0;
    std::string m_replayBytes; ///< The bytes read so far, as long as they fit in rewindLimit.
    std::size_t m_readTotal = 0; ///< Bytes read since the start or the last rewind().
    std::size_t m_consumedTotal = 0; ///< Bytes reported to the consumed hook.
    bool m_isFinished = false;
    bool m_isReaderClosed = false;
    bool m_isReaderWaiting = true;
    std::optional<request_error> m_failure;
    std::function<void()> m_onReadable;
    std::function<void(std::size_t)> m_onConsumed;
};

} // namespace pomelohub
