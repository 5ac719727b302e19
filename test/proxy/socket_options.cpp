/** \file
 * A connection whose other side shows no life must end by itself: the path may have lost track of it.
 */
#include "socket_options.h"

#include "loopback.h"

#include <doctest/doctest.h>

#include <netinet/tcp.h>

using namespace pomelohub;

namespace {

int tcpOption(tcp::socket& socket, int option)
{
    int value = 0;
    socklen_t size = sizeof(value);
    REQUIRE(::getsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, &size) == 0);
    return value;
}

} // namespace

TEST_CASE("Silence ends an idle connection within three seconds, and unacknowledged bytes end it sooner")
{
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket socket(context);
    socket.connect(acceptor.local_endpoint());
    enableKeepAlive(socket);
    asio::socket_base::keep_alive keepsAlive;
    socket.get_option(keepsAlive);
    CHECK(keepsAlive.value());
    auto idleSeconds
        = tcpOption(socket, TCP_KEEPIDLE) + tcpOption(socket, TCP_KEEPINTVL) * tcpOption(socket, TCP_KEEPCNT);
    CHECK(idleSeconds < 3);
    auto unacknowledgedMs = tcpOption(socket, TCP_USER_TIMEOUT);
    CHECK(unacknowledgedMs > 0);
    CHECK(unacknowledgedMs < 3000);
    asio::ip::tcp::no_delay sendsAtOnce;
    socket.get_option(sendsAtOnce);
    CHECK(sendsAtOnce.value());
}
