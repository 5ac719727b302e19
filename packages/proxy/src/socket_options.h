/** \file
 * Defines functions that set TCP options on this node's connections.
 */
#pragma once

#include <asio.hpp>

namespace pomelohub {

/** Sets TCP_NODELAY, so that small writes are sent immediately. A failure is ignored, since it only adds
 * latency. Thread safety: that of \p socket. */
void setNoDelay(asio::ip::tcp::socket& socket);

/** Bounds what the kernel holds of a connection that is not read, which counts as memory of the instance. A
 * failure is ignored. Thread safety: that of \p socket. */
void limitReceiveBuffer(asio::ip::tcp::socket& socket);

/** Sets TCP_NODELAY, TCP keepalive and TCP_USER_TIMEOUT on an outgoing HTTP/1.1 connection. They close a
 * connection whose peer has become unreachable, for example because a device on the path dropped its state
 * without sending a reset. A failure to set an option is ignored, since the connection works without it.
 * Thread safety: that of \p socket. */
void enableKeepAlive(asio::ip::tcp::socket& socket);

/** Sets TCP_USER_TIMEOUT again, or clears it if \p isLimited is false. The kernel also counts the time in
 * which the receiver takes no more data, so the limit is not for data that may fill its window. A failure is
 * ignored, as above. Thread safety: that of \p socket. */
void limitUnacknowledgedTime(asio::ip::tcp::socket& socket, bool isLimited);

} // namespace pomelohub
