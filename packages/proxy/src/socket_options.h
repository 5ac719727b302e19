/** \file
 * Defines the options of this node's connections.
 */
#pragma once

#include <asio.hpp>

namespace pomelohub {

/** Sends small writes at once. Without the option they are only slower, so a failure is ignored. Thread
 * safety: that of \p socket. */
void sendAtOnce(asio::ip::tcp::socket& socket);

/** For connections that this node opens over HTTP/1.1: sends small writes at once, and ends the connection
 * when the other side shows no life: something between the two ends may have lost track of a connection
 * without a reset. A failure to set an option is ignored, as the connection works without it. Thread safety:
 * that of \p socket. */
void watchSocket(asio::ip::tcp::socket& socket);

} // namespace pomelohub
