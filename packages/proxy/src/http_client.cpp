#include "http_client.h"

#include "socket_options.h"

#include <charconv>

namespace pomelohub {

namespace {

    using tcp = asio::ip::tcp;

    /** How long a server that responds early may take to read the rest of the request body. */
    constexpr duration remainingBodyTimeout = std::chrono::seconds(5);

    /** The idle timeout from a "Keep-Alive: timeout=N" field. */
    std::optional<std::chrono::seconds> parseKeepAliveTimeout(const http_message& response)
    {
        constexpr std::string_view name = "timeout=";
        auto value = response.field("keep-alive");
        auto at = value ? value->find(name) : std::string_view::npos;
        if (at == std::string_view::npos)
            return std::nullopt;
        auto digits = value->substr(at + name.size());
        int seconds = 0;
        if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc {})
            return std::nullopt;
        return std::chrono::seconds(seconds);
    }

} // namespace

http_client_connection::http_client_connection(asio::io_context& context, http_reader_limits limits)
    : m_socket(context)
    , m_timer(context)
    , m_limits(limits)
{
}

http_client_connection::~http_client_connection() = default;

void http_client_connection::call(const tcp::endpoint& server, const http_message& request,
    duration connectTimeout, duration timeout, http_call_callback done,
    std::optional<duration> silenceTimeout)
{
    m_done = std::move(done);
    m_output = serializeRequest(request);
    m_timeout = timeout;
    m_silenceTimeout = silenceTimeout;
    m_isHeadRequest = request.method == "HEAD";
    m_receivedBytes = 0;
    if (m_isOpen)
        send();
    else
        connect(server, connectTimeout);
}

void http_client_connection::startTimer(duration timeout, http_call_failure failure)
{
    m_timer.startAfter(timeout, [self = handle<http_client_connection>(this), failure] {
        self->m_opened ? self->finishOpening(asio::error::timed_out) : self->fail(failure);
    });
}

void http_client_connection::connect(const tcp::endpoint& server, duration timeout)
{
    startTimer(timeout, http_call_failure::notConnected);
    auto attempt = m_closeCount;
    m_socket.async_connect(
        server, [self = handle<http_client_connection>(this), attempt](std::error_code error) {
            if (attempt != self->m_closeCount)
                return;
            if (error) {
                self->m_opened ? self->finishOpening(error) : self->fail(http_call_failure::notConnected);
                return;
            }
            enableKeepAlive(self->m_socket);
            self->m_isOpen = true;
            self->m_isKeepAlive = true;
            self->m_reader.emplace(HTTP_RESPONSE, self->m_limits,
                http_reader::hooks {
                    [raw = self.get()](http_message&& response) { raw->onResponse(std::move(response)); },
                    nullptr, [raw = self.get()] { return raw->m_isHeadRequest; } });
            if (self->m_opened)
                self->finishOpening({});
            else
                self->send();
            self->readMore();
        });
}

void http_client_connection::open(const tcp::endpoint& server, duration timeout, http_open_callback done)
{
    m_opened = std::move(done);
    connect(server, timeout);
}

void http_client_connection::finishOpening(std::error_code error)
{
    handle<http_client_connection> self(this);
    if (error)
        close();
    m_timer.cancel();
    std::exchange(m_opened, nullptr)(error);
}

void http_client_connection::send()
{
    m_isWriting = true;
    startTimer(m_timeout, http_call_failure::noResponse);
    asio::async_write(m_socket, asio::buffer(m_output),
        // The server may respond before it has read the whole request, so a write error is ignored here and
        // the outcome is left to the reader.
        [self = handle<http_client_connection>(this), attempt = m_closeCount](std::error_code, std::size_t) {
            if (attempt != self->m_closeCount)
                return;
            self->m_isWriting = false;
            if (!self->m_done && !self->m_isKeepAlive)
                self->close();
        });
}

void http_client_connection::readMore()
{
    if (m_isReading || !m_isOpen)
        return;
    m_isReading = true;
    m_socket.async_read_some(asio::buffer(m_input),
        [self = handle<http_client_connection>(this), attempt = m_closeCount](
            std::error_code error, std::size_t length) {
            if (attempt == self->m_closeCount)
                self->onRead(error, length);
        });
}

void http_client_connection::onRead(std::error_code error, std::size_t length)
{
    m_isReading = false;
    if (!error && !m_done) {
        // Data after a complete response belongs to no request.
        close();
        if (onIdleClosed)
            onIdleClosed();
        return;
    }
    if (error) {
        if (!m_done) {
            close();
            if (onIdleClosed)
                onIdleClosed();
            return;
        }
        // A response without a length ends when the server closes the connection; a reset truncates it.
        if (error == asio::error::eof && m_reader->finish() && m_response) {
            m_isKeepAlive = false;
            auto response = std::move(*m_response);
            close();
            finish(std::move(response));
            return;
        }
        fail(m_receivedBytes > 0 ? http_call_failure::invalidResponse : http_call_failure::noResponse);
        return;
    }
    m_receivedBytes += length;
    if (m_reader->read({ m_input.data(), length }) != http_read_error::none && !m_response) {
        fail(http_call_failure::invalidResponse);
        return;
    }
    if (m_response) {
        bool isClean = !m_reader->isInMessage();
        m_isKeepAlive = m_isKeepAlive && isClean;
        auto response = std::move(*m_response);
        m_response.reset();
        m_timer.cancel();
        if (m_isWriting)
            finishRequestBody();
        else if (!m_isKeepAlive)
            close();
        else
            readMore();
        finish(std::move(response));
        return;
    }
    if (m_silenceTimeout)
        startTimer(*m_silenceTimeout, http_call_failure::invalidResponse);
    readMore();
}

// The server responded before it had read the whole request. The rest of the body is still sent, but the
// connection is not reused.
void http_client_connection::finishRequestBody()
{
    m_isKeepAlive = false;
    m_timer.startAfter(
        remainingBodyTimeout, [self = handle<http_client_connection>(this)] { self->close(); });
}

void http_client_connection::onResponse(http_message&& response)
{
    constexpr int firstFinalStatus = 200;
    if (response.status < firstFinalStatus)
        return;
    if (m_response) {
        m_isKeepAlive = false; // An unsolicited second response.
        return;
    }
    m_isKeepAlive = response.isKeepAlive;
    m_keepAliveTimeout = parseKeepAliveTimeout(response);
    m_response = std::move(response);
}

void http_client_connection::fail(http_call_failure failure)
{
    close();
    finish(tl::unexpected(failure));
}

void http_client_connection::finish(http_call_result result)
{
    if (!m_done)
        return;
    handle<http_client_connection> self(this);
    auto done = std::move(m_done);
    m_done = nullptr;
    done(std::move(result));
}

void http_client_connection::close()
{
    ++m_closeCount;
    m_isOpen = false;
    m_isReading = false;
    m_isWriting = false;
    m_timer.cancel();
    std::error_code ignored; // The socket is discarded anyway.
    m_socket.close(ignored);
}

void http_client_connection::cancel()
{
    m_done = nullptr;
    m_opened = nullptr;
    close();
}

} // namespace pomelohub
