/** \file
 * Defines http_server, which accepts HTTP/1.1 connections, reads pipelined requests, and writes the answers
 * in their order. What a request means is for the handler to say.
 */
#pragma once

#include "connection_acceptor.h"
#include "http_reader.h"
#include "rcu_cell.h"

#include <asio.hpp>
#include <boost/intrusive/list.hpp>

#include <deque>

namespace pomelohub {

class http_server_connection;

/** Where the answer to one request goes. Thread safety: the thread of its connection. */
class http_responder : public counted<http_responder> {
public:
    explicit http_responder(handle<http_server_connection> connection, bool bodiless, instant receivedAt);
    ~http_responder();

    /** Sends the answer once those before it are sent. Only the first call counts. */
    void respond(http_message answer);

    /** Closes the connection without an answer, for callers that must not take it for a complete one. */
    void abort();

    /** Called once if the caller leaves before the answer; clear it to break reference cycles. */
    std::function<void()> cancelled;

    instant receivedAt() const { return m_receivedAt; }
    bool isCancelled() const { return m_isCancelled; }

private:
    friend class http_server_connection;

    handle<http_server_connection> m_connection;
    std::optional<http_message> m_answer;
    instant m_receivedAt;
    bool m_isBodiless;
    bool m_isCancelled = false;
    bool m_closesAfter = false;
    bool m_isAborted = false;
};

using http_handler = std::function<void(http_message&&, handle<http_responder>)>;

struct http_server_limits {
    http_reader_limits reader;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
    std::size_t maxConnections = 3000; ///< Leaves descriptors for other uses.
    std::size_t maxPipelined = 64; ///< Requests of one connection that are worked on at once.
};

/** Listens on one address. Thread safety: one thread, that of its executor. */
class http_server {
public:
    struct hooks {
        http_handler handler;
        std::function<http_server_limits()> limits; ///< Asked for each new connection.
        clock_hook clock;
        /** Asked for the execution context of each new connection; unset for that of the server. */
        std::function<asio::io_context*()> placeConnection;
    };

    http_server(asio::io_context& context, hooks hooks);

    /** \return an error text when the address cannot be bound. */
    std::optional<std::string> listen(const asio::ip::tcp::endpoint& address);

    /** Announces with each further answer that its connection ends. Thread safety: any thread. */
    void startDraining() { m_isDraining = true; }
    bool isDraining() const { return m_isDraining; }

    /** Requests without an answer. Thread safety: any thread. */
    std::size_t pendingCount() const { return m_pending; }

private:
    friend class http_server_connection;

    void take(asio::ip::tcp::socket socket);

    hooks m_hooks;
    connection_acceptor m_acceptor;
    std::atomic<bool> m_isDraining { false };
    std::atomic<std::size_t> m_connections { 0 };
    std::atomic<std::size_t> m_pending { 0 };
};

} // namespace pomelohub
