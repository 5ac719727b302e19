/** \file
 * Defines connection_acceptor, which takes connections at one address for as long as it lives.
 */
#pragma once

#include "core_types.h"

#include <asio.hpp>

#include <optional>

namespace pomelohub {

/** Thread safety: the thread of its execution context. */
class connection_acceptor {
public:
    struct hooks {
        std::function<void(asio::ip::tcp::socket)> accepted;
        /** A connection could not be taken; the next try follows after a pause. */
        std::function<void(std::error_code)> failed;
        /** Asked for the execution context of each new connection; unset for that of the acceptor. */
        std::function<asio::io_context*()> placeConnection;
    };

    connection_acceptor(asio::io_context& context, hooks hooks);

    /** \return an error text when the address cannot be bound. */
    std::optional<std::string> listen(const asio::ip::tcp::endpoint& address);

private:
    void accept();
    void retryLater();

    asio::io_context& m_context;
    hooks m_hooks;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
};

} // namespace pomelohub
