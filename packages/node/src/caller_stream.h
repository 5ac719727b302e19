/** \file
 * Defines caller_stream, the byte stream through which cpp-httplib reads and writes one caller's connection.
 * It limits the size and duration of a request's head and the time without progress.
 */
#pragma once

#include "core_types.h"
#include "rcu_cell.h"

#include <httplib.h>

#include <vector>

namespace pomelohub {

struct stream_limits {
    std::size_t maxHeadBytes = 32 * 1024;
    duration headTimeout = std::chrono::seconds(5);
    duration idleTimeout = std::chrono::seconds(20);
};

/** Bytes read beyond the end of a request are kept for the next one. Thread safety: one thread at a time. */
class caller_stream : public httplib::Stream, public ref_counted<caller_stream> {
public:
    /** \param socket is owned and closed by this object. */
    caller_stream(socket_t socket, stream_limits limits, clock_hook clock);
    ~caller_stream() override;
    caller_stream(const caller_stream&) = delete;
    caller_stream& operator=(const caller_stream&) = delete;

    /** Starts the size and time limits of the head of a new request. */
    void beginHead();

    /** Marks the head as read. The size of the body is not limited here. */
    void endHead() { m_isInHead = false; }

    /** Whether the buffer already holds bytes of the next request. */
    bool hasBuffered() const { return m_start < m_end; }

    /** Whether the head exceeded its limits. */
    bool isHeadOverLimit() const { return m_isOverLimit; }

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* out, std::size_t size) override;
    ssize_t write(const char* data, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return m_socket; }

private:
    static constexpr std::size_t bufferBytes = 8 * 1024;

    bool waitFor(short events, duration timeout) const;
    bool fill();

    socket_t m_socket;
    stream_limits m_limits;
    clock_hook m_clock;
    std::vector<char> m_buffer;
    std::size_t m_start = 0;
    std::size_t m_end = 0;
    std::size_t m_headBytes = 0;
    instant m_headDeadline {};
    bool m_isInHead = true;
    bool m_isOverLimit = false;
};

} // namespace pomelohub
