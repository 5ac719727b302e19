/** \file
 * Defines http_client_connection, one HTTP/1.1 connection to a server that carries one request at a time.
 */
#pragma once

#include "http_reader.h"
#include "rcu_cell.h"

#include <asio.hpp>
#include <tl/expected.hpp>

namespace pomelohub {

/** Where a request on a connection failed. */
enum class http_call_failure {
    notConnected, ///< No byte of the request left this process.
    noAnswer, ///< The request was sent, but the connection ended or the time passed before any answer.
    badAnswer, ///< What came is no whole answer.
};

using http_call_result = tl::expected<http_message, http_call_failure>;
using http_call_hook = std::function<void(http_call_result)>;

/** Keep a count on it while a call is under way. Thread safety: the thread of its execution context. */
class http_client_connection : public counted<http_client_connection> {
public:
    http_client_connection(asio::io_context& context, http_reader_limits limits);
    ~http_client_connection();
    http_client_connection(const http_client_connection&) = delete;
    http_client_connection& operator=(const http_client_connection&) = delete;

    /** Connects if needed, sends \p request, and hands the answer or failure to \p done, once. Precondition:
     * no other call is under way. */
    void call(const asio::ip::tcp::endpoint& server, const http_message& request, duration connectTimeout,
        duration timeout, http_call_hook done);

    /** Ends the connection; \p done of a call under way is not called. */
    void cancel();

    /** Called when an idle connection ends or brings bytes that nobody asked for. */
    std::function<void()> ended;

    bool isOpen() const { return m_isOpen; }

    /** Whether the server keeps the connection for another request. */
    bool isReusable() const { return m_isOpen && m_keepsConnection && !m_isWriting; }

    /** How long the server keeps it idle, as its last answer said, or nothing. */
    std::optional<std::chrono::seconds> announcedIdleTime() const { return m_idleTime; }

private:
    void connect(const asio::ip::tcp::endpoint& server, duration timeout);
    void send();
    void readMore();
    void onRead(std::error_code error, std::size_t length);
    void takeAnswer(http_message&& answer);
    void fail(http_call_failure failure);
    void finish(http_call_result result);
    void startTimer(duration timeout, http_call_failure failure);
    void finishWriting();
    void close();

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    http_reader_limits m_limits;
    std::optional<http_reader> m_reader;
    std::array<char, 16'384> m_input {};
    std::string m_output;
    http_call_hook m_done;
    duration m_timeout {};
    bool m_isOpen = false;
    bool m_isReading = false;
    bool m_keepsConnection = true;
    bool m_isHead = false;
    bool m_isWriting = false;
    bool m_hasReceived = false;
    std::optional<std::chrono::seconds> m_idleTime;
    std::optional<http_message> m_answer;
};

} // namespace pomelohub
