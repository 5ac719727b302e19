/** \file
 * Defines useExclusivePort, which turns off the port sharing between processes (SO_REUSEPORT) that
 * cpp-httplib enables by default.
 */
#pragma once

#include <httplib.h>

namespace pomelohub {

/** Makes a second process fail to bind the port of \p server. A process that restarts can still bind the port
 * again at once. Precondition: the server is not bound yet. */
inline void useExclusivePort(httplib::Server& server)
{
    server.set_socket_options([](socket_t socket) {
        int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    });
}

} // namespace pomelohub
