/** \file
 * Defines http_server, which accepts HTTP/1.1 connections, reads pipelined requests, passes them to a
 * handler, and writes the responses in the order of the requests.
 */
#pragma once

#include "connection_acceptor.h"
#include "http_reader.h"
#include "receive_throttle.h"

#include <asio.hpp>
#include <boost/intrusive/list.hpp>

#include <deque>

namespace pomelohub {

class http_server_connection;

/** Takes the response to one request. Thread safety: only used on the thread of its connection. */
class http_responder : public ref_counted<http_responder> {
public:
    explicit http_responder(handle<http_server_connection> connection, bool isBodiless, instant receivedAt);
    ~http_responder();

    /** Sends \p response after those to earlier requests on the connection. Calls after the first are
     * ignored. */
    void respond(http_message response);

    /** Closes the connection without a response, so that the client doesn't take an incomplete result for a
     * complete one. */
    void abort();

    /** Called at most once, if the connection closes before the response. Clear it to break reference cycles.
     */
    std::function<void()> onCancelled;

    instant receivedAt() const { return m_receivedAt; }
    bool isCancelled() const { return m_isCancelled; }

private:
    friend class http_server_connection;

    handle<http_server_connection> m_connection;
    std::optional<http_message> m_response;
    instant m_receivedAt;
    memory_charge m_headCharge; ///< Of the request.
    bool m_isBodiless;
    bool m_isCancelled = false;
    bool m_isLastResponse = false;
    bool m_isAborted = false;
};

using http_handler = std::function<void(http_message&&, handle<http_responder>)>;

struct http_server_limits {
    http_reader_limits reader;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
    std::size_t maxConnections
        = 3000; ///< Leaves file descriptors for other uses; a further one ends a stalled one or is closed.
    std::size_t maxPipelinedRequests = 64; ///< Pending requests per connection; reading pauses at this limit.
};

/** Listens on one address. Thread safety: only used on the thread of its execution context, unless a member
 * says otherwise. */
class http_server {
public:
    struct hooks {
        http_handler handler;
        std::function<http_server_limits()> limits; ///< Called for each new connection.
        clock_hook clock;
        /** Returns the execution context for the next connection. If unset, connections use that of the
         * server. */
        std::function<asio::io_context*()> selectContext;
        /** Returns what limits the memory of messages on the calling thread, which is that of a new
         * connection. It must outlive the connection. If unset, memory is not limited. */
        std::function<receive_throttle*()> throttle = nullptr;
        /** A request was given up and refused before it was received whole, because this process holds too
         * many bytes. May be unset. */
        std::function<void(http_message&& partialRequest)> onRequestGivenUp = nullptr;
        /** A connection was closed before its response was sent whole: the client has not taken any of it for
         * the idle timeout, or this process holds too many bytes. May be unset. */
        std::function<void(std::size_t unsentBytes)> onResponseGivenUp = nullptr;
        /** A connection that had made no progress for \p stalled was closed, because connections or memory
         * are used up. \param bodyBytes of the request that had been received in part. May be unset. */
        std::function<void(duration stalled, std::size_t bodyBytes)> onConnectionGivenUp = nullptr;
    };

    http_server(asio::io_context& context, hooks hooks);

    /** Binds \p address and starts to accept connections. \return an error message if that fails. */
    std::optional<std::string> listen(const asio::ip::tcp::endpoint& address);

    /** From now on, responses carry "Connection: close" and end their connection. Thread safety: any thread.
     */
    void startDraining() { m_isDraining = true; }
    bool isDraining() const { return m_isDraining; }

    /** Number of requests not responded to yet. Thread safety: any thread. */
    std::size_t pendingCount() const { return m_pending; }

    /** Number of connections whose clients have not been sent all of their responses, or that wait for the
     * client to close after the last one. Thread safety: any thread. */
    std::size_t deliveringCount() const { return m_delivering; }

private:
    friend class http_server_connection;

    void startConnection(asio::ip::tcp::socket socket);

    hooks m_hooks;
    connection_acceptor m_acceptor;
    std::atomic<bool> m_isDraining { false };
    std::atomic<std::size_t> m_connections { 0 };
    std::atomic<std::size_t> m_pending { 0 };
    std::atomic<std::size_t> m_delivering { 0 };
};

} // namespace pomelohub
