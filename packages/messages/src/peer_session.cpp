#include "peer_session.h"

#include "parse_number.h"

namespace pomelohub {

namespace {

    constexpr std::int32_t connectionWindow = 16 * 1024 * 1024;
    constexpr std::uint32_t streamWindow = 256 * 1024;
    constexpr std::size_t maxOutputBatch = 64 * 1024;
    constexpr std::chrono::milliseconds keepaliveCheckInterval { 250 };

    nghttp2_nv toField(const std::string& name, const std::string& value)
    {
        auto bytes = [](const std::string& text) {
            return const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(text.data()));
        };
        return { bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
    }

    std::vector<nghttp2_nv> toFields(const std::vector<header_field>& headers)
    {
        std::vector<nghttp2_nv> fields;
        fields.reserve(headers.size());
        for (const auto& [name, value] : headers)
            fields.push_back(toField(name, value));
        return fields;
    }

    peer_session& sessionOf(void* self) { return *static_cast<peer_session*>(self); }

} // namespace

std::vector<header_field> toHeaders(const request_error& error)
{
    return { { std::string(verdictHeader), std::string(toText(error.outcome)) },
        { std::string(reasonHeader), std::string(toText(error.reason)) },
        { std::string(detailHeader), error.detail },
        { std::string(retryAfterHeader), std::to_string(error.retryAfter.count()) } };
}

std::optional<request_error> refusalFromHeaders(const std::vector<header_field>& headers)
{
    auto outcome = executionFromText(headerValue(headers, verdictHeader).value_or(""));
    auto reason = refusalReasonFromText(headerValue(headers, reasonHeader).value_or(""));
    if (!outcome || !reason)
        return std::nullopt;
    auto retryAfter
        = parseNumber<std::int64_t>(headerValue(headers, retryAfterHeader).value_or("0")).value_or(0);
    return request_error { *outcome, *reason, headerValue(headers, detailHeader).value_or(""),
        std::chrono::milliseconds(retryAfter) };
}

peer_session::peer_session(tls_stream stream, handle<tls_contexts> contexts, session_role role, node_id peer,
    session_limits limits, clock_hook clock)
    : m_stream(std::move(stream))
    , m_contexts(std::move(contexts))
    , m_role(role)
    , m_peer(std::move(peer))
    , m_limits(limits)
    , m_clock(std::move(clock))
    , m_keepaliveTimer(m_stream.get_executor())
{
    createSession();
}

peer_session::~peer_session() { nghttp2_session_del(m_session); }

void peer_session::createSession()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrameReceived);
    nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, onFrameSending);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClosed);
    nghttp2_option* option = nullptr;
    nghttp2_option_new(&option);
    // The flow-control window is opened again only when the reader of a body consumes bytes, so that a slow
    // reader applies back pressure to the writer.
    nghttp2_option_set_no_auto_window_update(option, 1);
    if (m_role == session_role::client)
        nghttp2_session_client_new2(&m_session, callbacks, this, option);
    else
        nghttp2_session_server_new2(&m_session, callbacks, this, option);
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(callbacks);
}

void peer_session::start(incoming_hook incoming, std::function<void()> closed)
{
    m_onIncoming = std::move(incoming);
    m_onClosed = std::move(closed);
    onStrand([](peer_session& self) {
        self.m_lastReceived = self.m_lastActive = self.m_clock().monotonic;
        self.sendSettings();
        self.read();
        self.flush();
        self.scheduleKeepaliveCheck();
    });
}

void peer_session::sendSettings()
{
    std::array<nghttp2_settings_entry, 3> entries { {
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_limits.maxStreams },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindow },
        { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(m_limits.maxHeadBytes) },
    } };
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, connectionWindow);
}

void peer_session::onStrand(std::function<void(peer_session&)> task)
{
    asio::post(m_stream.get_executor(),
        [self = handle<peer_session>(this), task = std::move(task)] { task(*self); });
}

peer_session::stream_state* peer_session::find(std::int32_t streamId)
{
    auto found = m_streams.find(streamId);
    return found == m_streams.end() ? nullptr : &found->second;
}

void peer_session::submit(const handle<exchange>& outgoing)
{
    onStrand([outgoing](peer_session& self) { self.submitOnStrand(outgoing); });
}

void peer_session::submitOnStrand(const handle<exchange>& outgoing)
{
    if (m_isClosed || m_isClosing) {
        outgoing->refuse({ execution::notRun, refusal_reason::pathFailed, "the connection was closed", {} });
        return;
    }
    auto now = m_clock().monotonic;
    auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(outgoing->deadline() - now);
    const auto& head = outgoing->request();
    std::vector<header_field> headers { { ":method", head.method }, { ":scheme", "https" },
        { ":authority", m_peer.text() }, { ":path", head.path } };
    headers.insert(headers.end(), head.headers.begin(), head.headers.end());
    headers.emplace_back(std::string(timeLeftHeader), std::to_string(timeLeft.count()));
    nghttp2_data_provider body { { 0 }, onReadBody };
    auto fields = toFields(headers);
    auto streamId = nghttp2_submit_request(m_session, nullptr, fields.data(), fields.size(), &body, nullptr);
    if (streamId < 0) {
        outgoing->refuse({ execution::notRun, refusal_reason::pathFailed, nghttp2_strerror(streamId), {} });
        return;
    }
    m_streams[streamId] = { outgoing, outgoing->responseBodyHandle(), outgoing->requestBodyHandle(), {}, 0,
        false, false, false };
    installBodyHooks(streamId);
    outgoing->setCancelHook([self = handle<peer_session>(this), streamId] {
        self->onStrand([streamId](peer_session& session) {
            nghttp2_submit_rst_stream(session.m_session, NGHTTP2_FLAG_NONE, streamId, NGHTTP2_CANCEL);
            session.flush();
        });
    });
    m_lastActive = now;
    flush();
}

void peer_session::installBodyHooks(std::int32_t streamId)
{
    auto* stream = find(streamId);
    stream->outgoingBody->setReadableHook([self = handle<peer_session>(this), streamId] {
        self->onStrand([streamId](peer_session& session) {
            nghttp2_session_resume_data(session.m_session, streamId);
            session.flush();
        });
    });
    stream->incomingBody->setConsumedHook([self = handle<peer_session>(this), streamId](std::size_t bytes) {
        self->onStrand([streamId, bytes](peer_session& session) {
            nghttp2_session_consume(session.m_session, streamId, bytes);
            session.flush();
        });
    });
}

int peer_session::onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* self)
{
    auto& session = sessionOf(self);
    if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
        session.m_streams.try_emplace(frame->hd.stream_id);
    return 0;
}

int peer_session::onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
    std::size_t nameLength, const std::uint8_t* value, std::size_t valueLength, std::uint8_t, void* self)
{
    return sessionOf(self).handleHeader(frame->hd.stream_id,
        std::string(reinterpret_cast<const char*>(name), nameLength),
        std::string(reinterpret_cast<const char*>(value), valueLength));
}

int peer_session::handleHeader(std::int32_t streamId, std::string name, std::string value)
{
    auto* stream = find(streamId);
    if (!stream)
        return 0;
    stream->headBytes += name.size() + value.size();
    if (stream->headBytes > m_limits.maxHeadBytes)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    stream->head.emplace_back(std::move(name), std::move(value));
    return 0;
}

int peer_session::onFrameReceived(nghttp2_session*, const nghttp2_frame* frame, void* self)
{
    auto& session = sessionOf(self);
    bool endsStream = frame->hd.flags & NGHTTP2_FLAG_END_STREAM;
    if (frame->hd.type == NGHTTP2_HEADERS)
        session.handleHeadComplete(frame->hd.stream_id, endsStream);
    else if (frame->hd.type == NGHTTP2_DATA && endsStream) {
        if (auto* stream = session.find(frame->hd.stream_id)) {
            stream->isIncomingEnded = true;
            stream->incomingBody->finish();
        }
    } else if (frame->hd.type == NGHTTP2_GOAWAY)
        session.m_isClosing = true;
    else if (frame->hd.type == NGHTTP2_PING && frame->hd.flags & NGHTTP2_FLAG_ACK)
        session.m_pingSentAt = {};
    return 0;
}

void peer_session::handleHeadComplete(std::int32_t streamId, bool endsStream)
{
    auto* stream = find(streamId);
    if (!stream)
        return;
    if (m_role == session_role::server && !stream->boundExchange)
        startIncoming(streamId);
    else if (m_role == session_role::client && !stream->hasResponse)
        handleResponse(streamId);
    stream = find(streamId);
    if (stream && endsStream) {
        stream->isIncomingEnded = true;
        stream->incomingBody->finish();
    }
}

void peer_session::startIncoming(std::int32_t streamId)
{
    auto* stream = find(streamId);
    request_head head;
    head.method = headerValue(stream->head, ":method").value_or("");
    head.path = headerValue(stream->head, ":path").value_or("");
    auto timeLeft
        = parseNumber<std::int64_t>(headerValue(stream->head, timeLeftHeader).value_or("")).value_or(0);
    std::erase_if(stream->head, [](const header_field& field) { return field.first.starts_with(':'); });
    removeHeader(stream->head, timeLeftHeader);
    head.headers = std::move(stream->head);
    auto now = m_clock().monotonic;
    handle<exchange> incoming(new exchange(std::move(head), now + std::chrono::milliseconds(timeLeft)));
    stream->boundExchange = incoming;
    stream->incomingBody = incoming->requestBodyHandle();
    stream->outgoingBody = incoming->responseBodyHandle();
    installBodyHooks(streamId);
    incoming->setResponseHook([self = handle<peer_session>(this), streamId] {
        self->onStrand([streamId](peer_session& session) { session.sendResponse(streamId); });
    });
    m_lastActive = now;
    m_onIncoming(incoming, m_peer);
}

void peer_session::sendResponse(std::int32_t streamId)
{
    auto* stream = find(streamId);
    if (!stream || m_isClosed)
        return;
    auto response = *stream->boundExchange->response();
    std::vector<header_field> headers;
    if (response) {
        headers.emplace_back(":status", std::to_string(response->status));
        headers.insert(headers.end(), response->headers.begin(), response->headers.end());
    } else {
        headers = toHeaders(response.error());
        headers.insert(headers.begin(), { ":status", std::to_string(httpStatus(response.error().reason)) });
    }
    nghttp2_data_provider body { { 0 }, onReadBody };
    auto fields = toFields(headers);
    nghttp2_submit_response(m_session, streamId, fields.data(), fields.size(), response ? &body : nullptr);
    flush();
}

void peer_session::handleResponse(std::int32_t streamId)
{
    auto* stream = find(streamId);
    stream->hasResponse = true;
    if (auto refusal = refusalFromHeaders(stream->head)) {
        auto boundExchange = detach(streamId);
        boundExchange->refuse(*refusal);
        return;
    }
    response_head head;
    head.status = static_cast<int>(
        parseNumber<std::int64_t>(headerValue(stream->head, ":status").value_or("")).value_or(0));
    std::erase_if(stream->head, [](const header_field& field) { return field.first.starts_with(':'); });
    head.headers = std::move(stream->head);
    stream->boundExchange->respond(std::move(head));
}

handle<exchange> peer_session::detach(std::int32_t streamId)
{
    // A retry may reuse the body pipes as soon as the refusal is known, so this stream must not use them any
    // more.
    auto node = m_streams.extract(streamId);
    auto& stream = node.mapped();
    stream.outgoingBody->clearHooks();
    stream.incomingBody->clearHooks();
    stream.boundExchange->setCancelHook(nullptr);
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, streamId, NGHTTP2_CANCEL);
    return stream.boundExchange;
}

int peer_session::onFrameSending(nghttp2_session*, const nghttp2_frame* frame, void* self)
{
    if (frame->hd.type != NGHTTP2_HEADERS)
        return 0;
    if (auto* stream = sessionOf(self).find(frame->hd.stream_id))
        stream->isHeadSent = true;
    return 0;
}

int peer_session::onData(nghttp2_session*, std::uint8_t, std::int32_t streamId, const std::uint8_t* data,
    std::size_t length, void* self)
{
    auto& session = sessionOf(self);
    auto* stream = session.find(streamId);
    if (stream && stream->incomingBody)
        stream->incomingBody->writeUnbounded({ reinterpret_cast<const char*>(data), length });
    else
        nghttp2_session_consume(session.m_session, streamId, length);
    return 0;
}

ssize_t peer_session::onReadBody(nghttp2_session*, std::int32_t streamId, std::uint8_t* buffer,
    std::size_t length, std::uint32_t* flags, nghttp2_data_source*, void* self)
{
    auto* stream = sessionOf(self).find(streamId);
    if (!stream)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    auto part = stream->outgoingBody->poll(reinterpret_cast<char*>(buffer), length);
    if (part.state == pipe_state::failed)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    if (part.state == pipe_state::ended)
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    else if (part.bytes == 0)
        return NGHTTP2_ERR_DEFERRED;
    return static_cast<ssize_t>(part.bytes);
}

int peer_session::onStreamClosed(nghttp2_session*, std::int32_t streamId, std::uint32_t errorCode, void* self)
{
    sessionOf(self).handleStreamClosed(streamId, errorCode);
    return 0;
}

request_error peer_session::closedStreamError(const stream_state& stream, std::uint32_t errorCode) const
{
    bool wasNeverProcessed = !stream.isHeadSent || errorCode == NGHTTP2_REFUSED_STREAM;
    return { wasNeverProcessed ? execution::notRun : execution::mayHaveRun, refusal_reason::pathFailed,
        "the stream to " + m_peer.text() + " ended before the answer did", {} };
}

void peer_session::handleStreamClosed(std::int32_t streamId, std::uint32_t errorCode)
{
    auto found = m_streams.find(streamId);
    if (found == m_streams.end())
        return;
    auto stream = std::move(found->second);
    m_streams.erase(found);
    m_lastActive = m_clock().monotonic;
    if (!stream.boundExchange)
        return;
    stream.outgoingBody->clearHooks();
    stream.incomingBody->clearHooks();
    auto error = closedStreamError(stream, errorCode);
    if (m_role == session_role::client) {
        stream.boundExchange->setCancelHook(nullptr);
        if (!stream.hasResponse || !stream.isIncomingEnded)
            stream.boundExchange->refuse(error);
        return;
    }
    stream.incomingBody->fail(error);
    if (errorCode != NGHTTP2_NO_ERROR)
        stream.boundExchange->cancel();
}

void peer_session::read()
{
    m_stream.async_read_some(asio::buffer(m_input),
        [self = handle<peer_session>(this)](const asio::error_code& error, std::size_t bytes) {
            if (error || self->m_isClosed)
                return self->close();
            self->m_lastReceived = self->m_clock().monotonic;
            auto consumedBytes = nghttp2_session_mem_recv(
                self->m_session, reinterpret_cast<const std::uint8_t*>(self->m_input.data()), bytes);
            if (consumedBytes < 0)
                return self->close();
            self->flush();
            self->read();
        });
}

void peer_session::flush()
{
    if (m_isClosed || m_isWriting)
        return;
    m_output.clear();
    while (m_output.size() < maxOutputBatch) {
        const std::uint8_t* data = nullptr;
        auto bytes = nghttp2_session_mem_send(m_session, &data);
        if (bytes < 0)
            return close();
        if (bytes == 0)
            break;
        m_output.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(bytes));
    }
    if (!m_output.empty())
        return write();
    bool isDone = !nghttp2_session_want_read(m_session) && !nghttp2_session_want_write(m_session);
    if (isDone || (m_isClosing && m_streams.empty()))
        close();
}

void peer_session::write()
{
    m_isWriting = true;
    m_writing.swap(m_output);
    asio::async_write(m_stream, asio::buffer(m_writing),
        [self = handle<peer_session>(this)](const asio::error_code& error, std::size_t) {
            self->m_isWriting = false;
            if (error)
                return self->close();
            self->flush();
        });
}

void peer_session::scheduleKeepaliveCheck()
{
    m_keepaliveTimer.startAfter(keepaliveCheckInterval, [self = handle<peer_session>(this)] {
        if (self->m_isClosed)
            return;
        self->checkKeepalive(self->m_clock().monotonic);
        if (!self->m_isClosed)
            self->scheduleKeepaliveCheck();
    });
}

void peer_session::checkKeepalive(instant now)
{
    bool isPinging = m_pingSentAt != instant {};
    if (isPinging && now - m_pingSentAt > m_limits.pingTimeout)
        return close();
    if (m_streams.empty()) {
        if (m_role == session_role::client && now - m_lastActive > m_limits.connectionIdleTimeout)
            close();
        return;
    }
    if (isPinging || now - m_lastReceived < m_limits.keepaliveInterval)
        return;
    m_pingSentAt = now;
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    flush();
}

void peer_session::shutDown()
{
    onStrand([](peer_session& self) {
        self.m_isClosing = true;
        nghttp2_submit_goaway(self.m_session, NGHTTP2_FLAG_NONE,
            nghttp2_session_get_last_proc_stream_id(self.m_session), NGHTTP2_NO_ERROR, nullptr, 0);
        self.flush();
    });
}

void peer_session::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_isClosing = true;
    m_keepaliveTimer.cancel();
    asio::error_code ignored;
    m_stream.lowest_layer().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.lowest_layer().close(ignored);
    while (!m_streams.empty())
        handleStreamClosed(m_streams.begin()->first, NGHTTP2_CONNECT_ERROR);
    m_onIncoming = nullptr;
    if (auto closed = std::exchange(m_onClosed, nullptr))
        closed();
}

} // namespace pomelohub
