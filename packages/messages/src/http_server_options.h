/** \file
 * Defines useExclusivePort, which keeps cpp-httplib from sharing a port between two processes, as it does by
 * default.
 */
#pragma once

#include <httplib.h>

namespace pomelohub {

/** A second process that binds the port of \p server fails, while a restart after the end of the first does
 * not. Precondition: the server is not bound yet. */
inline void useExclusivePort(httplib::Server& server)
{
    server.set_socket_options([](socket_t socket) {
        int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    });
}

} // namespace pomelohub
