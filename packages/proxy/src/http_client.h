/** \file
 * Defines http_client_connection, a client-side HTTP/1.1 connection that sends one request at a time.
 */
#pragma once

#include "http_reader.h"
#include "receive_throttle.h"

#include <asio.hpp>
#include <tl/expected.hpp>

namespace pomelohub {

/** How far a request got before it failed. */
enum class http_call_failure {
    notConnected, ///< The connection could not be established, so no byte of the request was sent.
    noResponse, ///< The request was sent, but the response timed out or the connection closed before its
                ///< first byte.
    invalidResponse, ///< The response was malformed or incomplete.
    memoryExhausted, ///< The response was given up because this process holds too many bytes.
};

using http_call_result = tl::expected<http_message, http_call_failure>;
using http_call_callback = std::function<void(http_call_result)>;
using http_open_callback = std::function<void(std::error_code)>;

/** The caller must hold a handle while a call is in progress. Thread safety: only used on the thread of its
 * execution context. */
class http_client_connection : public ref_counted<http_client_connection> {
public:
    /** \param throttle if set, limits the memory of responses; it must outlive the connection. */
    http_client_connection(
        asio::io_context& context, http_reader_limits limits, receive_throttle* throttle = nullptr);
    ~http_client_connection();
    http_client_connection(const http_client_connection&) = delete;
    http_client_connection& operator=(const http_client_connection&) = delete;

    /** Sends \p request, connecting first if necessary. \p done is called once with the response or the
     * failure, unless the call is cancelled. \param timeout is for the response and starts when the request
     * is sent. \param silenceTimeout if set, \p timeout is for the first byte of the response only, and this
     * is the maximum time between two parts of it. Precondition: no other call is in progress. */
    void call(const asio::ip::tcp::endpoint& server, const http_message& request, duration connectTimeout,
        duration timeout, http_call_callback done, std::optional<duration> silenceTimeout = std::nullopt);

    /** Connects without sending anything. \p done is called once, with asio::error::timed_out after \p
     * timeout, unless the connection is cancelled. Precondition: it isn't open, and no call is in progress.
     */
    void open(const asio::ip::tcp::endpoint& server, duration timeout, http_open_callback done);

    /** Closes the connection. A call in progress is abandoned and its callback is not called. */
    void cancel();

    /** Called when an idle connection is closed, or receives data outside of a response. */
    std::function<void()> onIdleClosed;

    bool isOpen() const { return m_isOpen; }

    /** Number of bytes received for the current call, or for the last one when there is none. */
    std::size_t receivedBytes() const { return m_receivedBytes; }

    /** Whether the response to the last call has announced its length. Precondition: a part of it was
     * received. */
    bool hasResponseLength() const { return m_reader && m_reader->remainingBodyBytes().has_value(); }

    /** Whether another request may be sent on this connection. */
    bool isReusable() const { return m_isOpen && m_isKeepAlive && !m_isWriting; }

    /** The idle timeout from the Keep-Alive field of the last response, if any. */
    std::optional<std::chrono::seconds> keepAliveTimeout() const { return m_keepAliveTimeout; }

private:
    void connect(const asio::ip::tcp::endpoint& server, duration timeout);
    void send();
    void readMore();
    void finishOpening(std::error_code error);
    void onRead(std::error_code error, std::size_t length);
    void continueReading();
    void onWritten(std::error_code error);
    bool parseInput(std::string_view input);
    void onStreamEnd(http_message&& response);
    void finishAtStreamEnd();
    void onResponse(http_message&& response, bool isLastInput);
    void fail(http_call_failure failure);
    void finish(http_call_result result);
    void startTimer(duration timeout, http_call_failure failure);
    void finishRequestBody();
    void close();

    asio::ip::tcp::socket m_socket;
    one_shot_timer
        m_timer; ///< Of the present step: connecting, waiting for the response, finishing the body.
    http_reader_limits m_limits;
    std::optional<http_reader> m_reader;
    std::array<char, 16'384> m_input {};
    std::string m_requestHead;
    message_body m_requestBody;
    receive_throttle* m_throttle;
    growing_message m_growth; ///< The response.
    http_call_callback m_done;
    http_open_callback m_opened; ///< Set while open() is in progress.
    duration m_timeout {};
    std::optional<duration> m_silenceTimeout;
    std::uint64_t m_closeCount = 0; ///< Tells the handlers of a socket that was closed since.
    bool m_isOpen = false;
    bool m_isReading = false;
    bool m_isKeepAlive = true;
    bool m_isHeadRequest = false;
    bool m_isWriting = false;
    bool m_hasWriteFailed = false;
    bool m_mayFillWindow = false; ///< The request may be larger than the receive window of the server.
    bool m_hasStreamEnded = false; ///< The server has ended its side of the connection, in order.
    std::size_t m_receivedBytes = 0;
    std::size_t m_interimCount = 0; ///< Responses with a status below 200 to the current call.
    std::optional<std::chrono::seconds> m_keepAliveTimeout;
    std::optional<http_message> m_response; ///< Complete, once the stream has ended in order.
};

} // namespace pomelohub
