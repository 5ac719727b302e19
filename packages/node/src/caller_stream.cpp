#include "caller_stream.h"

#include <arpa/inet.h>
#include <poll.h>

#include <cstring>

namespace pomelohub {

caller_stream::caller_stream(socket_t socket, stream_limits limits, clock_hook clock)
    : m_socket(socket)
    , m_limits(limits)
    , m_clock(std::move(clock))
{
}

caller_stream::~caller_stream() { ::close(m_socket); }

void caller_stream::beginHead()
{
    m_isInHead = true;
    m_isOverLimit = false;
    m_headBytes = 0;
    m_headDeadline = m_clock().monotonic + m_limits.headTimeout;
}

bool caller_stream::waitFor(short events, duration timeout) const
{
    auto millis = std::max<std::int64_t>(0, std::chrono::ceil<std::chrono::milliseconds>(timeout).count());
    pollfd entry { m_socket, events, 0 };
    return ::poll(&entry, 1, static_cast<int>(millis)) > 0;
}

bool caller_stream::is_readable() const { return hasBuffered() || waitFor(POLLIN, m_limits.idleTimeout); }

bool caller_stream::is_writable() const { return waitFor(POLLOUT, m_limits.idleTimeout); }

bool caller_stream::fill()
{
    auto timeout = m_isInHead ? m_headDeadline - m_clock().monotonic : m_limits.idleTimeout;
    if (timeout <= duration::zero() || !waitFor(POLLIN, timeout))
        return false;
    // The buffer exists only while a request is read, so that idle connections use little memory.
    m_buffer.resize(bufferBytes);
    auto bytes = ::recv(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
    m_start = 0;
    m_end = bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
    return bytes > 0;
}

ssize_t caller_stream::read(char* out, std::size_t size)
{
    if (!hasBuffered() && !fill())
        return 0;
    auto bytes = std::min(size, m_end - m_start);
    std::memcpy(out, m_buffer.data() + m_start, bytes);
    m_start += bytes;
    if (m_start == m_end)
        m_buffer = std::vector<char>();
    if (!m_isInHead)
        return static_cast<ssize_t>(bytes);
    m_headBytes += bytes;
    m_isOverLimit = m_headBytes > m_limits.maxHeadBytes;
    return m_isOverLimit ? -1 : static_cast<ssize_t>(bytes);
}

ssize_t caller_stream::write(const char* data, std::size_t size)
{
    if (!is_writable())
        return -1;
    return ::send(m_socket, data, size, MSG_NOSIGNAL);
}

static void readAddress(const sockaddr_storage& address, std::string& ip, int& port)
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (address.ss_family == AF_INET) {
        const auto& v4 = reinterpret_cast<const sockaddr_in&>(address);
        inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        port = ntohs(v4.sin_port);
    } else {
        const auto& v6 = reinterpret_cast<const sockaddr_in6&>(address);
        inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        port = ntohs(v6.sin6_port);
    }
    ip = text.data();
}

void caller_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address {};
    socklen_t length = sizeof(address);
    if (getpeername(m_socket, reinterpret_cast<sockaddr*>(&address), &length) == 0)
        readAddress(address, ip, port);
}

void caller_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address {};
    socklen_t length = sizeof(address);
    if (getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &length) == 0)
        readAddress(address, ip, port);
}

} // namespace pomelohub
