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

    constexpr std::size_t maxInterimResponses = 100; ///< To one request; more are not a response.

    /** Larger requests may fill the receive window of a server that pauses its reading. */
    constexpr std::size_t maxWindowedRequestBytes = 16 << 10;

    /** Whether \p response is the one that the call waits for, rather than an interim one before it. */
    bool isFinal(const http_message& response)
    {
        constexpr int firstFinalStatus = 200;
        return response.status >= firstFinalStatus;
    }

    /** Whether the server has announced that it reads no further request bytes. */
    bool announcesClose(const http_message& response)
    {
        auto options = response.field("connection");
        return options && equalsIgnoringCase(*options, "close");
    }

} // namespace

http_client_connection::http_client_connection(
    asio::io_context& context, http_reader_limits limits, receive_throttle* throttle)
    : m_socket(context)
    , m_timer(context)
    , m_limits(limits)
    , m_throttle(throttle)
{
    m_growth.setHooks({ [this] { readMore(); }, [this] { fail(http_call_failure::memoryExhausted); } });
}

http_client_connection::~http_client_connection() = default;

void http_client_connection::call(const tcp::endpoint& server, const http_message& request,
    duration connectTimeout, duration timeout, http_call_callback done,
    std::optional<duration> silenceTimeout)
{
    m_done = std::move(done);
    m_requestHead = serializeRequestHead(request);
    m_requestBody = request.body;
    m_timeout = timeout;
    m_silenceTimeout = silenceTimeout;
    m_isHeadRequest = request.method == "HEAD";
    m_receivedBytes = 0;
    m_interimCount = 0;
    m_response.reset();
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
            self->m_mayFillWindow = false;
            self->m_isOpen = true;
            self->m_isKeepAlive = true;
            self->m_reader.emplace(HTTP_RESPONSE, self->m_limits,
                http_reader::hooks { [raw = self.get()] { return raw->m_isHeadRequest; },
                    [raw = self.get()] { return makeBody(raw->m_throttle, byte_holder::backendResponse); } });
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
    m_hasWriteFailed = false;
    m_hasStreamEnded = false;
    // A closed receive window counts as unacknowledged data, so the timeout is for requests that fit it. The
    // others are bounded by the timeout of the call.
    bool mayFillWindow = m_requestHead.size() + m_requestBody.size() > maxWindowedRequestBytes;
    if (mayFillWindow != std::exchange(m_mayFillWindow, mayFillWindow))
        limitUnacknowledgedTime(m_socket, !mayFillWindow);
    startTimer(m_timeout, http_call_failure::noResponse);
    std::array<asio::const_buffer, 2> buffers { asio::buffer(m_requestHead),
        asio::buffer(m_requestBody.view()) };
    asio::async_write(m_socket, buffers,
        [self = handle<http_client_connection>(this), attempt = m_closeCount](
            std::error_code error, std::size_t) {
            if (attempt == self->m_closeCount)
                self->onWritten(error);
        });
}

void http_client_connection::onWritten(std::error_code error)
{
    m_isWriting = false;
    m_requestBody = {};
    // The server may respond before it has read the whole request, so the outcome is left to the reader.
    m_hasWriteFailed = static_cast<bool>(error);
    if (!m_done && !m_isKeepAlive)
        close();
    else if (m_hasStreamEnded)
        finishAtStreamEnd();
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
        auto response = error == asio::error::eof ? m_reader->finish() : std::nullopt;
        if (response && isFinal(*response)) {
            onStreamEnd(std::move(*response));
            return;
        }
        fail(m_receivedBytes > 0 ? http_call_failure::invalidResponse : http_call_failure::noResponse);
        return;
    }
    m_receivedBytes += length;
    if (!parseInput({ m_input.data(), length }))
        return;
    if (m_silenceTimeout)
        startTimer(*m_silenceTimeout, http_call_failure::invalidResponse);
    continueReading();
}

/** \return whether the call goes on, and more input is needed. */
bool http_client_connection::parseInput(std::string_view input)
{
    while (!input.empty()) {
        auto result = m_reader->read(input);
        input.remove_prefix(result.consumedBytes);
        if (result.message && isFinal(*result.message)) {
            // Bytes after the response belong to no request.
            onResponse(std::move(*result.message), input.empty());
            return false;
        }
        m_interimCount += result.message ? 1 : 0;
        if (result.error != http_read_error::none || m_interimCount > maxInterimResponses) {
            fail(http_call_failure::invalidResponse);
            return false;
        }
    }
    return true;
}

/** \param isLastInput whether nothing was received behind the response. */
void http_client_connection::onResponse(http_message&& response, bool isLastInput)
{
    m_isKeepAlive = response.isKeepAlive && isLastInput;
    m_keepAliveTimeout = parseKeepAliveTimeout(response);
    m_timer.cancel();
    if (m_isWriting)
        finishRequestBody();
    else if (!m_isKeepAlive)
        close();
    else
        readMore();
    finish(std::move(response));
}

void http_client_connection::continueReading()
{
    auto next = m_throttle
        ? m_throttle->recordGrowth(m_growth, m_reader->bodyBytes(), m_reader->remainingBodyBytes())
        : growth::proceed;
    if (next == growth::proceed)
        readMore();
}

// A response without a length is whole if the server has ended it in order. After a reset, a pending write
// may take the error, so that the read only sees the end of the stream. Therefore the end counts once the
// request has been written, or while no write has failed if the server has announced that it reads no more.
void http_client_connection::onStreamEnd(http_message&& response)
{
    m_keepAliveTimeout = parseKeepAliveTimeout(response);
    m_response = std::move(response);
    m_hasStreamEnded = true;
    if (!m_isWriting) {
        finishAtStreamEnd();
        return;
    }
    if (!announcesClose(*m_response))
        return; // onWritten() decides.
    // A write that has taken the error has been queued by now, but may not have been handled yet.
    asio::post(
        m_socket.get_executor(), [self = handle<http_client_connection>(this), attempt = m_closeCount] {
            if (attempt == self->m_closeCount)
                self->finishAtStreamEnd();
        });
}

void http_client_connection::finishAtStreamEnd()
{
    if (m_hasWriteFailed) {
        fail(http_call_failure::invalidResponse);
        return;
    }
    auto response = std::move(*m_response);
    m_response.reset();
    close();
    finish(std::move(response));
}

// The server responded before it had read the whole request. The rest of the body is still sent, but the
// connection is not reused.
void http_client_connection::finishRequestBody()
{
    m_isKeepAlive = false;
    m_timer.startAfter(
        remainingBodyTimeout, [self = handle<http_client_connection>(this)] { self->close(); });
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
    if (m_throttle)
        m_throttle->finish(m_growth);
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
    if (m_throttle)
        m_throttle->finish(m_growth);
    if (m_reader)
        m_reader->takePartialMessage();
    m_response.reset();
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
