#include "body_pipe.h"

#include <algorithm>
#include <cstring>

namespace pomelohub {

body_pipe::body_pipe(std::size_t capacity)
    : m_capacity(capacity)
{
}

bool body_pipe::write(std::string_view bytes, instant deadline)
{
    std::unique_lock lock(m_mutex);
    while (!bytes.empty()) {
        auto hasRoom
            = [&] { return m_isReaderClosed || m_failure || m_buffer.size() - m_readOffset < m_capacity; };
        if (!m_changed.wait_until(lock, deadline, hasRoom) || m_isReaderClosed || m_failure)
            return false;
        auto part = bytes.substr(0, m_capacity - (m_buffer.size() - m_readOffset));
        m_buffer.append(part);
        bytes.remove_prefix(part.size());
        notifyReader(lock);
    }
    return true;
}

void body_pipe::writeUnbounded(std::string_view bytes)
{
    std::unique_lock lock(m_mutex);
    if (!m_isReaderClosed)
        m_buffer.append(bytes);
    notifyReader(lock);
}

void body_pipe::finish()
{
    std::unique_lock lock(m_mutex);
    m_isFinished = true;
    notifyReader(lock);
}

void body_pipe::fail(request_error error)
{
    std::unique_lock lock(m_mutex);
    if (m_isFinished || m_failure)
        return;
    m_failure = std::move(error);
    notifyReader(lock);
}

void body_pipe::notifyReader(std::unique_lock<std::mutex>& lock)
{
    m_changed.notify_all();
    if (!m_isReaderWaiting || !m_onReadable)
        return;
    m_isReaderWaiting = false;
    auto hook = m_onReadable;
    lock.unlock();
    hook();
    lock.lock();
}

pipe_read body_pipe::readBuffered(char* out, std::size_t size)
{
    auto bytes = std::min(size, m_buffer.size() - m_readOffset);
    std::memcpy(out, m_buffer.data() + m_readOffset, bytes);
    auto newBytes = recordRead({ out, bytes });
    m_readOffset += bytes;
    if (m_readOffset == m_buffer.size()) {
        m_buffer.clear();
        m_readOffset = 0;
    }
    if (bytes > 0)
        return { bytes, newBytes, pipe_state::open };
    if (m_failure)
        return { 0, 0, pipe_state::failed };
    return { 0, 0, m_isFinished ? pipe_state::ended : pipe_state::open };
}

std::size_t body_pipe::recordRead(std::string_view bytes)
{
    if (m_readTotal + bytes.size() <= rewindLimit)
        m_replayBytes.append(bytes);
    else
        m_replayBytes = std::string();
    m_readTotal += bytes.size();
    auto newBytes = m_readTotal > m_consumedTotal ? m_readTotal - m_consumedTotal : 0;
    m_consumedTotal += newBytes;
    return newBytes;
}

bool body_pipe::rewind()
{
    std::lock_guard lock(m_mutex);
    if (m_readTotal > rewindLimit)
        return false;
    m_buffer = m_replayBytes + m_buffer.substr(m_readOffset);
    m_readOffset = 0;
    m_replayBytes.clear();
    m_readTotal = 0;
    m_isReaderWaiting = true;
    return true;
}

pipe_read body_pipe::read(char* out, std::size_t size, instant deadline)
{
    std::unique_lock lock(m_mutex);
    auto isReady = [&] { return m_readOffset < m_buffer.size() || m_isFinished || m_failure; };
    if (!m_changed.wait_until(lock, deadline, isReady))
        return { 0, 0, pipe_state::timedOut };
    auto result = readBuffered(out, size);
    m_changed.notify_all();
    lock.unlock();
    notifyConsumed(result.newBytes);
    return result;
}

pipe_read body_pipe::poll(char* out, std::size_t size)
{
    std::unique_lock lock(m_mutex);
    auto result = readBuffered(out, size);
    if (result.bytes == 0 && result.state == pipe_state::open)
        m_isReaderWaiting = true;
    m_changed.notify_all();
    lock.unlock();
    notifyConsumed(result.newBytes);
    return result;
}

void body_pipe::notifyConsumed(std::size_t bytes)
{
    std::function<void(std::size_t)> hook;
    {
        std::lock_guard lock(m_mutex);
        hook = m_onConsumed;
    }
    if (bytes > 0 && hook)
        hook(bytes);
}

void body_pipe::closeReader()
{
    std::size_t dropped = 0;
    {
        std::lock_guard lock(m_mutex);
        m_isReaderClosed = true;
        dropped = m_buffer.size() - m_readOffset;
        m_buffer.clear();
        m_readOffset = 0;
        m_changed.notify_all();
    }
    notifyConsumed(dropped);
}

request_error body_pipe::failure() const
{
    std::lock_guard lock(m_mutex);
    return m_failure.value_or(request_error { execution::mayHaveRun, refusal_reason::pathFailed, "", {} });
}

void body_pipe::setReadableHook(std::function<void()> hook)
{
    std::unique_lock lock(m_mutex);
    m_onReadable = std::move(hook);
    if (m_readOffset < m_buffer.size() || m_isFinished || m_failure)
        notifyReader(lock);
}

void body_pipe::setConsumedHook(std::function<void(std::size_t)> hook)
{
    std::lock_guard lock(m_mutex);
    m_onConsumed = std::move(hook);
}

void body_pipe::clearHooks()
{
    std::function<void()> readable;
    std::function<void(std::size_t)> consumed;
    std::lock_guard lock(m_mutex);
    readable.swap(m_onReadable);
    consumed.swap(m_onConsumed);
}

} // namespace pomelohub
