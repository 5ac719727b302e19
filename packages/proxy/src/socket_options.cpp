#include "socket_options.h"

#include "core_types.h"

#include <netinet/tcp.h>

namespace pomelohub {

namespace {

    /** An idle connection is probed after keepAliveIdle and closed if there is no response within another
     * keepAliveInterval. The sum must stay below the three seconds within which nodes must resume reading the
     * operators' log after their connections have stopped responding. */
    constexpr std::chrono::seconds keepAliveIdle { 1 };
    constexpr std::chrono::seconds keepAliveInterval { 1 };
    constexpr int keepAliveProbes = 1;
    /** A connection is closed if sent data is not acknowledged within this time. */
    constexpr std::chrono::milliseconds userTimeout { 1500 };

    /** The kernel doubles it for its own use. */
    constexpr int receiveBufferBytes = 64 << 10;

    void setTcpOption(asio::ip::tcp::socket& socket, int option, std::int64_t value)
    {
        auto number = static_cast<int>(value);
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &number, sizeof(number));
    }

} // namespace

void setNoDelay(asio::ip::tcp::socket& socket)
{
    std::error_code ignored; // Without the option, small writes are only slower.
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void limitReceiveBuffer(asio::ip::tcp::socket& socket)
{
    std::error_code ignored; // Without the option, the kernel grows the buffer of a fast connection.
    socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
}

void enableKeepAlive(asio::ip::tcp::socket& socket)
{
    setNoDelay(socket);
    std::error_code ignored; // The connection works without these options.
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setTcpOption(socket, TCP_KEEPIDLE, keepAliveIdle.count());
    setTcpOption(socket, TCP_KEEPINTVL, keepAliveInterval.count());
    setTcpOption(socket, TCP_KEEPCNT, keepAliveProbes);
    limitUnacknowledgedTime(socket, true);
}

void limitUnacknowledgedTime(asio::ip::tcp::socket& socket, bool isLimited)
{
    setTcpOption(socket, TCP_USER_TIMEOUT, isLimited ? userTimeout.count() : 0);
}

} // namespace pomelohub
