/** \file
 * Defines connection_acceptor, which listens on one address and accepts connections until it is destroyed.
 */
#pragma once

#include "one_shot_timer.h"

#include <asio.hpp>

#include <optional>

namespace pomelohub {

/** Thread safety: only used on the thread of its execution context. */
class connection_acceptor {
public:
    struct hooks {
        /** Called with each new connection, on the thread of the acceptor. */
        std::function<void(asio::ip::tcp::socket)> onAccepted;
        /** Called when accept() fails; the acceptor retries after a delay. May be unset. */
        std::function<void(std::error_code)> onFailure;
        /** Returns the execution context for the next connection. If unset, connections use that of the
         * acceptor. */
        std::function<asio::io_context*()> selectContext;
    };

    connection_acceptor(asio::io_context& context, hooks hooks);

    /** Binds \p address and starts to accept connections. \return an error message if that fails. */
    std::optional<std::string> listen(const asio::ip::tcp::endpoint& address);

private:
    void accept();
    void scheduleRetry();

    asio::io_context& m_context;
    hooks m_hooks;
    asio::ip::tcp::acceptor m_acceptor;
    one_shot_timer m_retryTimer;
};

} // namespace pomelohub
