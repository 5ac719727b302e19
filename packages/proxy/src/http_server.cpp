#include "http_server.h"

#include "socket_options.h"

namespace pomelohub {

namespace {

    using tcp = asio::ip::tcp;

    constexpr std::size_t readBufferBytes = 16'384;
    constexpr std::size_t readBytesUnderPressure = 4'096; ///< While the memory for messages is used up.
    /** What the kernel sets aside for a socket with the receive buffer of limitReceiveBuffer(). */
    constexpr std::size_t receiveBufferBytes = 128 << 10;
    constexpr std::size_t maxUnsentBytes = 1
        << 20; ///< Reading pauses while the client doesn't read its responses.
    /** How long input is still read and discarded after the connection has been shut down for writing.
     * Closing a socket with unread input resets the connection, and the client could lose the last response.
     */
    constexpr duration lingerTimeout = std::chrono::milliseconds(500);

    /** A client that takes no byte of its response for this long does not keep memory from others. */
    constexpr duration stallTime = std::chrono::seconds(1);

    constexpr std::size_t largeResponseBytes = 64 << 10; ///< Buffers above it are freed after use.

    int statusFor(http_read_error error)
    {
        switch (error) {
        case http_read_error::headersTooLarge:
            return 431;
        case http_read_error::bodyTooLarge:
            return 413;
        default:
            return 400;
        }
    }

} // namespace

/** Server side of one connection. */
class http_server_connection : public ref_counted<http_server_connection> {
public:
    http_server_connection(http_server& server, tcp::socket socket, http_server_limits limits)
        : m_server(server)
        , m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_limits(limits)
        , m_reader(HTTP_REQUEST, limits.reader,
              { nullptr, [this] { return makeBody(m_throttle, byte_holder::callerRequest); } })
    {
        ++m_server.m_connections;
        m_growth.allowHoldingBack(receiveBufferBytes);
        m_growth.setHooks({ [this] { resumeReading(); }, [this] { giveUpRequest(); } });
        m_unsentMessage.end = [this] { giveUpResponse(); };
        m_openConnection.end = [this] { giveUpConnection(); };
    }

    ~http_server_connection() { --m_server.m_connections; }

    http_server_connection(const http_server_connection&) = delete;
    http_server_connection& operator=(const http_server_connection&) = delete;

    void start()
    {
        if (m_server.m_hooks.throttle) {
            m_throttle = m_server.m_hooks.throttle();
            m_unsentCharge = m_throttle->makeCharge(byte_holder::unsentResponse);
            m_headCharge = m_throttle->makeCharge(byte_holder::callerRequest);
        }
        recordActivity();
        recordWaiting();
        checkTimeouts();
        readMore();
    }

    void flush()
    {
        while (!m_pending.empty() && (m_pending.front()->m_response || m_pending.front()->m_isAborted)) {
            auto responder = m_pending.front();
            m_pending.pop_front();
            setDelivering(true); // Before the request is no longer pending, so that it always counts.
            --m_server.m_pending;
            if (responder->m_isAborted) {
                closeConnection();
                return;
            }
            bool isLastResponse = responder->m_isLastResponse || m_server.isDraining();
            m_unsent += serializeResponse(*responder->m_response, isLastResponse, responder->m_isBodiless);
            responder->m_response.reset();
            if (isLastResponse) {
                m_isClosing = true;
                cancelPending();
            }
        }
        if (m_isWriting)
            recordUnsent();
        writeMore();
        readMore();
    }

private:
    void recordActivity() { m_lastActivity = m_server.m_hooks.clock().monotonic; }

    /** Records whether the connection waits for its client and may be ended in favour of others. */
    void recordWaiting()
    {
        if (!m_throttle)
            return;
        bool isWaiting = !m_isClosed && !m_isClosing && m_pending.empty() && !m_isWriting && m_unsent.empty();
        if (!isWaiting) {
            m_throttle->connections().recordBusy(m_openConnection);
            return;
        }
        auto wait = connection_wait::restOfRequest;
        if (m_growth.isPaused())
            wait = connection_wait::memory;
        else if (m_hasServedRequest && !m_reader.isInMessage())
            wait = connection_wait::nextRequest;
        m_throttle->connections().recordWaiting(m_openConnection, wait, m_lastActivity);
    }

    void handleRequest(http_message&& message)
    {
        if (m_throttle)
            m_throttle->finish(m_growth);
        bool isLast = !message.isKeepAlive;
        handle<http_responder> responder(
            new http_responder(this, message.method == "HEAD", m_server.m_hooks.clock().monotonic));
        responder->m_isLastResponse = isLast;
        if (m_throttle) {
            responder->m_headCharge = m_throttle->makeCharge(byte_holder::callerRequest);
            responder->m_headCharge.resize(headBytesOf(message));
        }
        m_isDiscardingInput = m_isDiscardingInput || isLast;
        m_pending.push_back(responder);
        ++m_server.m_pending;
        m_hasServedRequest = true;
        recordWaiting();
        m_server.m_hooks.handler(std::move(message), responder);
    }

    void sendContinue()
    {
        if (!m_pending.empty() || m_isClosing)
            return; // Earlier responses must go out first; the client sends the body after its own timeout.
        m_unsent += "HTTP/1.1 100 Continue\r\n\r\n";
        writeMore();
    }

    bool isDiscarding() const { return m_isDiscardingInput || m_isClosing; }

    bool isUnderPressure() const { return m_throttle && m_throttle->isExhausted(); }

    bool mayRead() const
    {
        return !m_isClosed && !isDiscarding() && !m_growth.isPaused()
            && m_pending.size() < m_limits.maxPipelinedRequests && m_unsent.size() < maxUnsentBytes;
    }

    /** Whether requests may be taken from the input now: one at a time while the memory for messages is used
     * up. */
    bool mayTakeRequests() const { return mayRead() && (m_pending.empty() || !isUnderPressure()); }

    // Reading continues while requests are pending, to detect that the client disconnects. After the last
    // request, input is discarded until the connection is closed. A response that is ready at once calls this
    // while its request is being handled; parseInput() goes on when the handler has returned.
    void readMore()
    {
        if (m_isUsingInput || m_isClosed)
            return;
        if (!m_unparsed.empty() && !parseInput())
            return;
        if (m_isUsingInput || m_isClosed || !(isDiscarding() || mayRead()))
            return;
        m_isUsingInput = true;
        m_socket.async_read_some(
            asio::buffer(m_input, isUnderPressure() ? readBytesUnderPressure : m_input.size()),
            [self = handle<http_server_connection>(this)](
                std::error_code error, std::size_t length) { self->onRead(error, length); });
    }

    void onRead(std::error_code error, std::size_t length)
    {
        m_isUsingInput = false;
        if (m_isClosed)
            return;
        if (error) {
            closeConnection();
            return;
        }
        if (!isDiscarding()) {
            recordActivity();
            m_unparsed = { m_input.data(), length };
        }
        readMore();
    }

    /** Handles the requests in the unparsed input, as far as the connection takes them. \return whether more
     * input may be read. */
    bool parseInput()
    {
        m_isUsingInput = true;
        while (!m_unparsed.empty() && mayTakeRequests()) {
            bool wasInHead = m_reader.isInHead();
            auto result = m_reader.read(m_unparsed);
            m_unparsed.remove_prefix(result.consumedBytes);
            if (!wasInHead && m_reader.isInHead())
                m_headStartedAt = m_server.m_hooks.clock().monotonic;
            if (result.message)
                handleRequest(std::move(*result.message));
            else if (result.error != http_read_error::none)
                respondWithError(statusFor(result.error), "the request cannot be read");
            else if (m_reader.takeContinueExpectation())
                sendContinue();
        }
        if (isDiscarding())
            m_unparsed = {};
        m_isUsingInput = false;
        recordHead();
        bool mayReceive = m_unparsed.empty() && mayReceiveMore();
        recordWaiting();
        return mayReceive;
    }

    void resumeReading()
    {
        recordActivity();
        recordWaiting();
        readMore();
    }

    /** Whether the memory of the process allows to receive more of the present request, which is given up
     * otherwise or received later. */
    bool mayReceiveMore()
    {
        if (!m_throttle || m_isClosed || !m_reader.isInMessage() || isDiscarding())
            return true;
        auto next = m_throttle->recordGrowth(
            m_growth, m_reader.headBytes() + m_reader.bodyBytes(), m_reader.remainingBodyBytes());
        return next == growth::proceed;
    }

    void recordHead() { m_headCharge.resize(m_isClosed ? 0 : m_reader.headBytes()); }

    /** Refuses a request of which only a part was received, so that it has not run. */
    void giveUpRequest()
    {
        if (m_server.m_hooks.onRequestGivenUp)
            m_server.m_hooks.onRequestGivenUp(m_reader.takePartialMessage());
        m_reader.takePartialMessage();
        respondWithError(503, "this node cannot hold the request at present");
        readMore();
    }

    /** Closes the connection, which has made no progress for the longest time, in favour of others. */
    void giveUpConnection()
    {
        if (m_server.m_hooks.onConnectionGivenUp)
            m_server.m_hooks.onConnectionGivenUp(
                m_server.m_hooks.clock().monotonic - m_lastActivity, m_reader.bodyBytes());
        closeConnection();
    }

    /** Closes the connection before the response was sent whole. The client sees that it is incomplete. */
    void giveUpResponse()
    {
        if (m_server.m_hooks.onResponseGivenUp)
            m_server.m_hooks.onResponseGivenUp(unsentBytes());
        closeConnection();
    }

    void respondWithError(int status, std::string_view detail)
    {
        m_isDiscardingInput = true;
        if (m_throttle)
            m_throttle->finish(m_growth);
        handle<http_responder> responder(new http_responder(this, false, m_server.m_hooks.clock().monotonic));
        responder->m_isLastResponse = true;
        m_pending.push_back(responder);
        ++m_server.m_pending;
        auto response = makeResponse(status, std::string(detail) + "\n", "text/plain");
        if (status == 503)
            response.fields.push_back({ "Retry-After", "1" });
        responder->respond(std::move(response));
    }

    std::size_t unsentBytes() const { return m_unsent.size() + m_writing.size() - m_writtenBytes; }

    void setDelivering(bool isDelivering)
    {
        if (isDelivering == std::exchange(m_isDelivering, isDelivering))
            return;
        if (isDelivering)
            ++m_server.m_delivering;
        else
            --m_server.m_delivering;
    }

    void recordUnsent()
    {
        if (!m_throttle)
            return;
        m_unsentCharge.resize(m_isClosed ? 0 : m_unsent.size() + m_writing.size());
        m_throttle->recordUnsent(m_unsentMessage, m_isClosed ? 0 : unsentBytes(), m_isStalled);
    }

    void writeMore()
    {
        if (m_isWriting || m_isClosed)
            return;
        if (m_unsent.empty()) {
            if (m_isClosing)
                startLinger();
            else
                setDelivering(false);
            recordWaiting();
            return;
        }
        m_writing.swap(m_unsent);
        m_writtenBytes = 0;
        m_lastProgress = m_server.m_hooks.clock().monotonic;
        writeRest();
        recordUnsent();
        if (unsentBytes() > largeResponseBytes)
            scheduleCheck(m_lastProgress);
    }

    /** Writes what is left of m_writing, part by part, to see whether the client takes it. */
    void writeRest()
    {
        m_isWriting = true;
        recordWaiting();
        m_socket.async_write_some(asio::buffer(m_writing) + m_writtenBytes,
            [self = handle<http_server_connection>(this)](
                std::error_code error, std::size_t length) { self->onWritten(error, length); });
    }

    void onWritten(std::error_code error, std::size_t length)
    {
        m_isWriting = false;
        if (m_isClosed)
            return;
        if (error) {
            closeConnection();
            return;
        }
        recordActivity();
        m_lastProgress = m_lastActivity;
        m_writtenBytes += length;
        bool wasStalled = std::exchange(m_isStalled, false);
        if (m_writtenBytes < m_writing.size()) {
            if (wasStalled)
                recordUnsent();
            writeRest();
            return;
        }
        if (m_writing.capacity() > largeResponseBytes)
            m_writing = {};
        m_writing.clear();
        m_writtenBytes = 0;
        recordUnsent();
        writeMore();
        readMore();
    }

    void startLinger()
    {
        if (m_isLingering)
            return;
        m_isLingering = true;
        std::error_code ignored; // The client may have closed the connection already.
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        m_timer.startAfter(
            lingerTimeout, [self = handle<http_server_connection>(this)] { self->closeConnection(); });
        readMore();
    }

    void checkTimeouts()
    {
        if (m_isClosed || m_isLingering)
            return;
        auto now = m_server.m_hooks.clock().monotonic;
        bool isIdle = m_pending.empty() && m_unsent.empty() && !m_isWriting;
        bool isHeadDue = m_reader.isInHead() && !m_growth.isPaused() && !m_isDiscardingInput;
        if (isHeadDue && now - m_headStartedAt >= m_limits.headerTimeout)
            respondWithError(408, "the head of the request took too long");
        else if (isIdle && now - m_lastActivity >= m_limits.idleTimeout) {
            closeConnection();
            return;
        }
        if (m_isWriting && now - m_lastProgress >= m_limits.idleTimeout) {
            giveUpResponse();
            return;
        }
        if (m_isWriting && !m_isStalled && now - m_lastProgress >= stallTime) {
            m_isStalled = true;
            recordUnsent();
        }
        scheduleCheck(now);
    }

    void scheduleCheck(instant now)
    {
        auto next = m_reader.isInHead() ? m_headStartedAt + m_limits.headerTimeout
                                        : m_lastActivity + m_limits.idleTimeout;
        if (m_isWriting)
            next = std::min(next, m_lastProgress + (m_isStalled ? m_limits.idleTimeout : stallTime));
        constexpr duration minCheckInterval = std::chrono::milliseconds(200);
        m_timer.startAfter(std::max(next - now, minCheckInterval),
            [self = handle<http_server_connection>(this)] { self->checkTimeouts(); });
    }

    void cancelPending()
    {
        auto dropped = std::move(m_pending);
        m_pending.clear();
        m_server.m_pending -= dropped.size();
        for (const auto& responder : dropped) {
            responder->m_isCancelled = true;
            auto cancelled = std::move(responder->onCancelled);
            responder->onCancelled = nullptr;
            responder->m_connection = nullptr;
            if (cancelled)
                cancelled();
        }
    }

    void closeConnection()
    {
        if (m_isClosed)
            return;
        handle<http_server_connection> self(this);
        m_isClosed = true;
        std::error_code ignored; // The socket is discarded anyway.
        m_socket.close(ignored);
        m_timer.cancel();
        if (m_throttle) {
            recordUnsent();
            recordWaiting();
            m_throttle->finish(m_growth);
        }
        m_reader.takePartialMessage();
        recordHead();
        cancelPending();
        setDelivering(false);
    }

    http_server& m_server;
    tcp::socket m_socket;
    one_shot_timer m_timer;
    http_server_limits m_limits;
    http_reader m_reader;
    std::array<char, readBufferBytes> m_input {};
    std::string_view m_unparsed; ///< Of m_input: received, but not parsed yet.
    receive_throttle* m_throttle = nullptr;
    growing_message m_growth; ///< The request that is being received.
    unsent_message m_unsentMessage; ///< All responses that are being sent.
    open_connection m_openConnection;
    memory_charge m_unsentCharge;
    memory_charge m_headCharge; ///< Of the request that is being received.
    std::string m_unsent;
    std::string m_writing;
    std::size_t m_writtenBytes = 0; ///< Of m_writing.
    std::deque<handle<http_responder>> m_pending;
    instant m_lastActivity {};
    instant m_headStartedAt {};
    instant m_lastProgress {}; ///< When the client last took a part of a response, or the response began.
    bool m_hasServedRequest = false; ///< A whole request has been received.
    bool m_isUsingInput = false; ///< By a read that is in progress, or by parseInput().
    bool m_isWriting = false;
    bool m_isDelivering = false;
    bool m_isStalled = false; ///< The client has not taken any byte for a while.
    bool m_isDiscardingInput = false;
    bool m_isClosing = false;
    bool m_isLingering = false;
    bool m_isClosed = false;
};

http_responder::http_responder(handle<http_server_connection> connection, bool isBodiless, instant receivedAt)
    : m_connection(std::move(connection))
    , m_receivedAt(receivedAt)
    , m_isBodiless(isBodiless)
{
}

http_responder::~http_responder() = default;

void http_responder::respond(http_message response)
{
    if (!m_connection || m_response || m_isAborted)
        return;
    m_response = std::move(response);
    onCancelled = nullptr;
    auto connection = std::move(m_connection);
    m_connection = nullptr;
    connection->flush();
}

void http_responder::abort()
{
    if (!m_connection)
        return;
    m_isAborted = true;
    onCancelled = nullptr;
    auto connection = std::move(m_connection);
    m_connection = nullptr;
    connection->flush();
}

http_server::http_server(asio::io_context& context, hooks hooks)
    : m_hooks(std::move(hooks))
    , m_acceptor(context,
          { [this](tcp::socket socket) { startConnection(std::move(socket)); }, nullptr,
              m_hooks.selectContext })
{
}

std::optional<std::string> http_server::listen(const tcp::endpoint& address)
{
    return m_acceptor.listen(address);
}

void http_server::startConnection(tcp::socket socket)
{
    auto limits = m_hooks.limits();
    bool isFull = m_connections >= limits.maxConnections;
    setNoDelay(socket);
    limitReceiveBuffer(socket);
    auto executor = socket.get_executor();
    handle<http_server_connection> connection(new http_server_connection(*this, std::move(socket), limits));
    asio::dispatch(executor, [this, connection, isFull] {
        // A connection that is not started is closed.
        auto* throttle = isFull && m_hooks.throttle ? m_hooks.throttle() : nullptr;
        if (!isFull || (throttle && throttle->endConnectionForAnother()))
            connection->start();
    });
}

} // namespace pomelohub
