#include "http_client.h"

#include "socket_options.h"

#include <charconv>

namespace pomelohub {

namespace {

    using tcp = asio::ip::tcp;

    /** How long a server may take for the rest of a body that it has answered already. */
    constexpr duration restOfBodyTime = std::chrono::seconds(5);

    /** The idle time that a "Keep-Alive: timeout=N" field announces. */
    std::optional<std::chrono::seconds> idleTimeOf(const http_message& answer)
    {
        constexpr std::string_view name = "timeout=";
        auto value = answer.field("keep-alive");
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
    duration connectTimeout, duration timeout, http_call_hook done)
{
    m_done = std::move(done);
    m_output = requestText(request);
    m_timeout = timeout;
    m_isHead = request.method == "HEAD";
    m_hasReceived = false;
    if (m_isOpen)
        send();
    else
        connect(server, connectTimeout);
}

void http_client_connection::startTimer(duration timeout, http_call_failure failure)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = handle<http_client_connection>(this), failure](std::error_code error) {
        if (!error)
            self->fail(failure);
    });
}

void http_client_connection::connect(const tcp::endpoint& server, duration timeout)
{
    startTimer(timeout, http_call_failure::notConnected);
    m_socket.async_connect(server, [self = handle<http_client_connection>(this)](std::error_code error) {
        if (!self->m_done)
            return;
        if (error) {
            self->fail(http_call_failure::notConnected);
            return;
        }
        watchSocket(self->m_socket);
        self->m_isOpen = true;
        self->m_keepsConnection = true;
        self->m_reader.emplace(HTTP_RESPONSE, self->m_limits,
            http_reader::hooks {
                [raw = self.get()](http_message&& answer) { raw->takeAnswer(std::move(answer)); }, nullptr,
                [raw = self.get()] { return raw->m_isHead; } });
        self->send();
        self->readMore();
    });
}

void http_client_connection::send()
{
    m_isWriting = true;
    startTimer(m_timeout, http_call_failure::noAnswer);
    asio::async_write(m_socket, asio::buffer(m_output),
        // An answer may come before the request is sent whole, so a failed write waits for the reader.
        [self = handle<http_client_connection>(this)](std::error_code, std::size_t) {
            self->m_isWriting = false;
            if (!self->m_done && !self->m_keepsConnection)
                self->close();
        });
}

void http_client_connection::readMore()
{
    if (m_isReading || !m_isOpen)
        return;
    m_isReading = true;
    m_socket.async_read_some(asio::buffer(m_input),
        [self = handle<http_client_connection>(this)](
            std::error_code error, std::size_t length) { self->onRead(error, length); });
}

void http_client_connection::onRead(std::error_code error, std::size_t length)
{
    m_isReading = false;
    if (!m_isOpen)
        return;
    if (!error && !m_done) {
        // Bytes after a complete answer belong to no request.
        close();
        if (ended)
            ended();
        return;
    }
    if (error) {
        if (!m_done) {
            close();
            if (ended)
                ended();
            return;
        }
        // An answer without a length ends with its connection, but not with a reset of it.
        if (error == asio::error::eof && m_reader->finish() && m_answer) {
            m_keepsConnection = false;
            auto answer = std::move(*m_answer);
            close();
            finish(std::move(answer));
            return;
        }
        fail(m_hasReceived ? http_call_failure::badAnswer : http_call_failure::noAnswer);
        return;
    }
    m_hasReceived = true;
    if (m_reader->read({ m_input.data(), length }) != http_read_error::none && !m_answer) {
        fail(http_call_failure::badAnswer);
        return;
    }
    if (m_answer) {
        bool isClean = !m_reader->isInMessage();
        m_keepsConnection = m_keepsConnection && isClean;
        auto answer = std::move(*m_answer);
        m_answer.reset();
        m_timer.cancel();
        if (m_isWriting)
            finishWriting();
        else if (!m_keepsConnection)
            close();
        else
            readMore();
        finish(std::move(answer));
        return;
    }
    readMore();
}

// The server answered early and still reads: it gets the rest of the body and nothing else.
void http_client_connection::finishWriting()
{
    m_keepsConnection = false;
    m_timer.expires_after(restOfBodyTime);
    m_timer.async_wait([self = handle<http_client_connection>(this)](std::error_code error) {
        if (!error)
            self->close();
    });
}

void http_client_connection::takeAnswer(http_message&& answer)
{
    constexpr int firstFinalStatus = 200;
    if (answer.status < firstFinalStatus)
        return;
    if (m_answer) {
        m_keepsConnection = false; // A second answer that nobody asked for.
        return;
    }
    m_keepsConnection = answer.keepsConnection;
    m_idleTime = idleTimeOf(answer);
    m_answer = std::move(answer);
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
    m_isOpen = false;
    m_timer.cancel();
    std::error_code ignored; // Nothing is left to do for a socket that cannot be closed.
    m_socket.close(ignored);
}

void http_client_connection::cancel()
{
    m_done = nullptr;
    close();
}

} // namespace pomelohub
