#include "socket_options.h"

#include "core_types.h"

#include <netinet/tcp.h>

namespace pomelohub {

namespace {

    /** An idle connection is probed after this, and ends when one more interval brings no answer: together
     * below the three seconds within which nodes must follow the operators again after connections went
     * silent. */
    constexpr std::chrono::seconds probeAfter { 1 };
    constexpr std::chrono::seconds probeInterval { 1 };
    constexpr int probes = 1;
    /** Sent bytes that stay unacknowledged for so long end the connection. */
    constexpr std::chrono::milliseconds unacknowledgedLimit { 1500 };

    void setTcpOption(asio::ip::tcp::socket& socket, int option, std::int64_t value)
    {
        auto number = static_cast<int>(value);
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &number, sizeof(number));
    }

} // namespace

void sendAtOnce(asio::ip::tcp::socket& socket)
{
    std::error_code ignored; // Small writes are only slower then.
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void watchSocket(asio::ip::tcp::socket& socket)
{
    sendAtOnce(socket);
    std::error_code ignored; // The connection works without these options.
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setTcpOption(socket, TCP_KEEPIDLE, probeAfter.count());
    setTcpOption(socket, TCP_KEEPINTVL, probeInterval.count());
    setTcpOption(socket, TCP_KEEPCNT, probes);
    setTcpOption(socket, TCP_USER_TIMEOUT, unacknowledgedLimit.count());
}

} // namespace pomelohub
