#include "peer_link.h"

#include "socket_options.h"

#include <algorithm>
#include <charconv>

namespace pomelohub {

namespace {

    using tcp = asio::ip::tcp;

    /** HTTP/2 flow control windows in bytes: unread data allowed on one stream and on the connection. */
    constexpr std::int32_t streamWindowBytes = 256 << 10;
    constexpr std::int32_t connectionWindowBytes = 16 << 20;
    constexpr std::uint32_t maxConcurrentStreams = 4096;
    /** Resets of streams that a link takes. Refused offers and cancelled calls reset theirs, and peers are
     * nodes of the fleet, so the library's limits against attacks, 1000 and 33 a second, do not fit. */
    constexpr std::uint64_t maxResetBurst = 1'000'000;
    constexpr std::uint64_t maxResetsPerSecond = 100'000;
    constexpr std::size_t maxWriteBytes = 256 << 10; ///< Bytes collected before one write to the socket.
    constexpr duration minCheckInterval = std::chrono::milliseconds(1); ///< Between checks of the keepalive.

    constexpr std::string_view kindField = "kind";
    constexpr std::string_view lengthField = "payload-bytes";
    constexpr std::string_view kindOffer = "offer";
    constexpr std::string_view kindRequest = "request";
    constexpr std::string_view kindGrant = "grant";
    constexpr std::string_view kindReply = "reply";

    nghttp2_nv makeHeader(std::string_view name, std::string_view value)
    {
        // nghttp2 copies the name and the value and does not modify them, so the const_cast is safe.
        auto bytes = [](std::string_view text) {
            return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
        };
        return { bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
    }

    /** \param length the text of the size of the payload; must outlive the result. */
    std::vector<nghttp2_nv> makeHeaders(
        std::string_view kind, std::string_view length, const std::vector<http_field>& fields)
    {
        std::vector<nghttp2_nv> headers;
        headers.reserve(fields.size() + 2);
        headers.push_back(makeHeader(kindField, kind));
        if (!length.empty())
            headers.push_back(makeHeader(lengthField, length));
        for (const auto& [name, value] : fields)
            headers.push_back(makeHeader(name, value));
        return headers;
    }

    /** Copies the next part of \p payload, which is freed after its last part. */
    ssize_t copyPayload(
        outgoing_payload& payload, std::uint8_t* buffer, std::size_t length, std::uint32_t* flags)
    {
        std::size_t copied = 0;
        std::size_t partStart = 0;
        for (std::string_view part : { std::string_view(payload.first), payload.second.view() }) {
            auto position = payload.sentBytes + copied;
            if (position < partStart + part.size() && copied < length) {
                auto rest = part.substr(position - partStart, length - copied);
                std::copy(rest.begin(), rest.end(), buffer + copied);
                copied += rest.size();
            }
            partStart += part.size();
        }
        payload.sentBytes += copied;
        if (payload.sentBytes == payload.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            payload.isSent = true;
            payload.clear();
        }
        return static_cast<ssize_t>(copied);
    }

    std::uint64_t parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

} // namespace

std::string_view peer_message::value(std::string_view name) const
{
    for (const auto& each : fields) {
        if (each.name == name)
            return each.value;
    }
    return {};
}

std::uint64_t peer_message::number(std::string_view name) const { return parseNumber(value(name)); }

duration peer_message::time(std::string_view name) const
{
    return std::chrono::microseconds(static_cast<std::int64_t>(number(name)));
}

std::string timeFieldText(duration time)
{
    auto nonNegative = std::max(time, duration::zero());
    return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(nonNegative).count());
}

void outgoing_payload::clear()
{
    first = {};
    second = {};
    sentBytes = 0;
}

/** Callbacks of the nghttp2 session. */
struct peer_link::callbacks {
    static peer_link& linkOf(void* user) { return *static_cast<peer_link*>(user); }

    static int onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        auto& link = linkOf(user);
        if (link.m_isClient || frame->headers.cat != NGHTTP2_HCAT_REQUEST)
            return 0;
        handle<peer_request> request(new peer_request);
        request->m_link = &link;
        request->m_stream = frame->hd.stream_id;
        link.initializeIncoming(*request);
        link.m_requests.emplace(frame->hd.stream_id, request);
        link.recordStreamStart();
        return 0;
    }

    static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
        std::size_t nameLength, const std::uint8_t* value, std::size_t valueLength, std::uint8_t, void* user)
    {
        auto& link = linkOf(user);
        http_field field { { reinterpret_cast<const char*>(name), nameLength },
            { reinterpret_cast<const char*>(value), valueLength } };
        if (link.m_isClient) {
            auto found = link.m_calls.find(frame->hd.stream_id);
            if (found == link.m_calls.end() || found->second->m_isEnded)
                return 0;
            if (field.name == kindField)
                found->second->m_isReplyStarted = field.value == kindReply;
            else if (field.name == lengthField)
                found->second->m_incoming.announcedBytes = parseNumber(field.value);
            else
                found->second->m_reply.fields.push_back(std::move(field));
            return 0;
        }
        auto found = link.m_requests.find(frame->hd.stream_id);
        if (found == link.m_requests.end())
            return 0;
        if (field.name == kindField)
            found->second->isOffer = field.value == kindOffer;
        else if (field.name == lengthField)
            found->second->m_incoming.announcedBytes = parseNumber(field.value);
        else
            found->second->message.fields.push_back(std::move(field));
        return 0;
    }

    static int onData(nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* data,
        std::size_t length, void* user)
    {
        auto& link = linkOf(user);
        std::string_view bytes(reinterpret_cast<const char*>(data), length);
        // Only the windows of streams hold senders back, so that no stream can block the others.
        nghttp2_session_consume_connection(link.m_session, length);
        if (link.m_isClient) {
            auto found = link.m_calls.find(stream);
            if (found != link.m_calls.end() && !found->second->m_isEnded) {
                auto call = found->second;
                link.receive(stream, call->m_reply.payload, call->m_incoming, bytes);
                return 0;
            }
        } else {
            auto found = link.m_requests.find(stream);
            if (found != link.m_requests.end() && !found->second->m_isReplied && !found->second->m_isEnded) {
                auto request = found->second;
                link.receive(stream, request->message.payload, request->m_incoming, bytes);
                return 0;
            }
        }
        nghttp2_session_consume_stream(link.m_session, stream, length);
        return 0;
    }

    static int onFrameReceived(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        auto& link = linkOf(user);
        bool isEnd = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        if (frame->hd.type == NGHTTP2_GOAWAY)
            link.m_isRetired = true; // The session closes the streams that the server has not accepted.
        if (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA)
            return 0;
        if (link.m_isClient)
            handleReplyFrame(link, frame->hd.stream_id, isEnd);
        else
            handleRequestFrame(link, frame->hd.stream_id, frame->hd.type == NGHTTP2_HEADERS, isEnd);
        return 0;
    }

    static void handleReplyFrame(peer_link& link, std::int32_t stream, bool isEnd)
    {
        auto found = link.m_calls.find(stream);
        if (found == link.m_calls.end() || found->second->m_isEnded)
            return;
        auto call = found->second;
        if (!call->m_isReplyStarted) {
            if (call->m_hooks.onGranted && !isEnd)
                call->m_hooks.onGranted();
            return;
        }
        if (!isEnd)
            return;
        if (!call->m_payload.isSent)
            link.reset(stream); // The server has refused the request, also if it had granted it before.
        auto hooks = endCall(*call);
        if (hooks.onReply)
            hooks.onReply(std::move(call->m_reply));
    }

    static void handleRequestFrame(peer_link& link, std::int32_t stream, bool isHeaders, bool isEnd)
    {
        auto found = link.m_requests.find(stream);
        if (found == link.m_requests.end())
            return;
        auto request = found->second;
        if (isEnd)
            link.finishReceiving(request->m_incoming);
        if (!request->m_isDelivered && (isEnd || (isHeaders && request->isOffer))) {
            request->m_isDelivered = true;
            link.m_hooks.onRequest(request);
            if (!isEnd)
                return;
        }
        if (isEnd && request->isOffer && request->onPayloadComplete) {
            auto committed = std::move(request->onPayloadComplete);
            request->onPayloadComplete = nullptr;
            committed();
        }
    }

    /** A request that was submitted before the GOAWAY frame of the server was read never leaves. */
    static int onFrameNotSent(nghttp2_session*, const nghttp2_frame* frame, int, void* user)
    {
        auto& link = linkOf(user);
        bool isRequest = frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST;
        if (auto found = link.m_calls.find(frame->hd.stream_id); isRequest && found != link.m_calls.end())
            found->second->m_isCommitted = false;
        return 0;
    }

    static int onStreamClose(nghttp2_session*, std::int32_t stream, std::uint32_t code, void* user)
    {
        auto& link = linkOf(user);
        if (auto found = link.m_requests.find(stream); found != link.m_requests.end()) {
            auto request = found->second;
            link.m_requests.erase(found);
            endRequest(*request);
        }
        if (auto found = link.m_calls.find(stream); found != link.m_calls.end()) {
            auto call = found->second;
            link.m_calls.erase(found);
            // The server has not received the request whole, so it has not run.
            if (code == NGHTTP2_REFUSED_STREAM)
                call->m_isCommitted = false;
            failCall(*call);
        }
        return 0;
    }

    static void endRequest(peer_request& request)
    {
        request.m_isEnded = true;
        if (auto link = std::exchange(request.m_link, nullptr))
            link->finishReceiving(request.m_incoming);
        request.message.payload = {};
        request.m_incoming.charge.resize(0);
        request.m_payload.clear();
        auto cancelled = std::move(request.onCancelled);
        request.onCancelled = nullptr;
        request.onPayloadComplete = nullptr;
        if (cancelled)
            cancelled();
    }

    /** Ends the call for its owner and frees what it has not sent. The stream may remain open. \return the
     * hooks; calls after the first return none. */
    static peer_call::hooks endCall(peer_call& call)
    {
        call.m_isEnded = true;
        if (auto link = std::exchange(call.m_link, nullptr))
            link->finishReceiving(call.m_incoming);
        call.m_incoming.charge.resize(0);
        call.m_payload.clear();
        return std::exchange(call.m_hooks, {});
    }

    static void failCall(peer_call& call)
    {
        auto hooks = endCall(call);
        if (hooks.onFailure)
            hooks.onFailure(call.m_isCommitted ? peer_call_failure::streamLost : peer_call_failure::notSent);
    }

    static ssize_t readCallPayload(nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t length,
        std::uint32_t* flags, nghttp2_data_source* source, void*)
    {
        auto& call = *static_cast<peer_call*>(source->ptr);
        if (call.m_isEnded)
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE; // Resets the stream.
        if (!call.m_isCommitted)
            return NGHTTP2_ERR_DEFERRED;
        return copyPayload(call.m_payload, buffer, length, flags);
    }

    static ssize_t readReplyPayload(nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t length,
        std::uint32_t* flags, nghttp2_data_source* source, void*)
    {
        auto& request = *static_cast<peer_request*>(source->ptr);
        if (request.m_isEnded)
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        return copyPayload(request.m_payload, buffer, length, flags);
    }

    static nghttp2_session_callbacks* make()
    {
        nghttp2_session_callbacks* newCallbacks = nullptr;
        nghttp2_session_callbacks_new(&newCallbacks);
        nghttp2_session_callbacks_set_on_begin_headers_callback(newCallbacks, onBeginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(newCallbacks, onHeader);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(newCallbacks, onData);
        nghttp2_session_callbacks_set_on_frame_recv_callback(newCallbacks, onFrameReceived);
        nghttp2_session_callbacks_set_on_frame_not_send_callback(newCallbacks, onFrameNotSent);
        nghttp2_session_callbacks_set_on_stream_close_callback(newCallbacks, onStreamClose);
        return newCallbacks;
    }
};

void peer_call::commit()
{
    m_isCommitted = true;
    if (auto link = m_link)
        link->resume(m_stream);
}

void peer_call::cancel()
{
    auto link = m_link;
    peer_link::callbacks::endCall(*this);
    if (link && m_stream >= 0)
        link->reset(m_stream);
}

void peer_request::grant()
{
    if (!m_link)
        return;
    auto headers = makeHeaders(kindGrant, {}, {});
    nghttp2_submit_headers(
        m_link->m_session, NGHTTP2_FLAG_NONE, m_stream, nullptr, headers.data(), headers.size(), nullptr);
    m_link->writePending();
}

std::string peer_request::takePayload()
{
    m_incoming.charge.resize(0);
    return std::exchange(message.payload, {});
}

void peer_request::reply(peer_message message)
{
    onCancelled = nullptr;
    onPayloadComplete = nullptr;
    if (!m_link || std::exchange(m_isReplied, true))
        return;
    m_payload.first = std::move(message.payload);
    m_payload.second = std::move(message.body);
    takePayload();
    auto link = m_link;
    link->submitReply(*this, message.fields);
}

peer_link::peer_link(tcp::socket socket, bool isClient, peer_link_policy policy, hooks hooks)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_isClient(isClient)
    , m_policy(policy)
    , m_hooks(std::move(hooks))
{
    static nghttp2_session_callbacks* const sessionCallbacks = callbacks::make();
    nghttp2_option* option = nullptr;
    nghttp2_option_new(&option);
    // The streams carry project-specific messages rather than HTTP semantics, so HTTP checks are off.
    nghttp2_option_set_no_http_messaging(option, 1);
    nghttp2_option_set_no_auto_window_update(option, 1);
    nghttp2_option_set_stream_reset_rate_limit(option, maxResetBurst, maxResetsPerSecond);
    if (isClient)
        nghttp2_session_client_new2(&m_session, sessionCallbacks, this, option);
    else
        nghttp2_session_server_new2(&m_session, sessionCallbacks, this, option);
    nghttp2_option_del(option);
    m_lastReceived = m_hooks.clock().monotonic;
}

peer_link::~peer_link() { nghttp2_session_del(m_session); }

handle<peer_link> peer_link::makeClient(asio::io_context& context, peer_link_policy policy, hooks hooks)
{
    return handle<peer_link>(new peer_link(tcp::socket(context), true, policy, std::move(hooks)));
}

handle<peer_link> peer_link::makeServer(tcp::socket socket, peer_link_policy policy, hooks hooks)
{
    return handle<peer_link>(new peer_link(std::move(socket), false, policy, std::move(hooks)));
}

void peer_link::startSession()
{
    setNoDelay(m_socket);
    std::array settings {
        nghttp2_settings_entry { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxConcurrentStreams },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes },
    };
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
    m_isConnected = true;
    m_lastReceived = m_hooks.clock().monotonic;
    m_lastUsed = m_lastReceived;
    writePending();
    readNext();
}

void peer_link::connect(const tcp::endpoint& server)
{
    handle<peer_link> self(this);
    m_timer.startAfter(m_policy.connectTimeout, [self] { self->close(); });
    m_socket.async_connect(server, [self](std::error_code error) {
        if (self->m_isClosed)
            return;
        if (error) {
            self->close();
            return;
        }
        self->startSession();
        self->checkKeepalive();
    });
}

void peer_link::start()
{
    startSession();
    checkKeepalive();
}

handle<peer_call> peer_link::call(peer_message message, bool isOffer, peer_call::hooks hooks)
{
    handle<peer_call> call(new peer_call);
    call->m_link = this;
    call->m_hooks = std::move(hooks);
    call->m_payload.first = std::move(message.payload);
    call->m_payload.second = std::move(message.body);
    call->m_isCommitted = !isOffer;
    initializeIncoming(*call);
    submitCall(*call, message.fields, isOffer);
    return call;
}

void peer_link::submitCall(peer_call& call, const std::vector<http_field>& fields, bool isOffer)
{
    if (acceptsCalls()) {
        auto length = std::to_string(call.m_payload.size());
        auto headers = makeHeaders(isOffer ? kindOffer : kindRequest, length, fields);
        nghttp2_data_provider provider { { .ptr = &call }, callbacks::readCallPayload };
        call.m_stream
            = nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    }
    if (call.m_stream < 0) {
        // The failure is reported asynchronously, so that the caller has the handle before its hook runs.
        asio::post(m_socket.get_executor(), [failedCall = handle<peer_call>(&call)] {
            failedCall->m_isCommitted = false;
            callbacks::failCall(*failedCall);
        });
        return;
    }
    m_calls.emplace(call.m_stream, &call);
    recordStreamStart();
    writePending();
}

void peer_link::submitReply(peer_request& request, const std::vector<http_field>& fields)
{
    auto length = std::to_string(request.m_payload.size());
    auto headers = makeHeaders(kindReply, length, fields);
    nghttp2_data_provider provider { { .ptr = &request }, callbacks::readReplyPayload };
    nghttp2_submit_response(m_session, request.m_stream, headers.data(), headers.size(), &provider);
    writePending();
}

void peer_link::resume(std::int32_t stream)
{
    nghttp2_session_resume_data(m_session, stream);
    writePending();
}

void peer_link::reset(std::int32_t stream, std::uint32_t code)
{
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, code);
    writePending();
}

template <typename T> void peer_link::initializeIncoming(T& stream)
{
    if (!m_hooks.throttle)
        return;
    stream.m_incoming.charge = m_hooks.throttle->makeCharge(byte_holder::peerMessage);
    // The link closes or forgets the stream before either of them is destroyed.
    stream.m_incoming.growth.setHooks(
        { [this, raw = &stream] { acknowledge(raw->m_stream, raw->m_incoming); },
            [this, raw = &stream] { giveUp(raw->m_stream); } });
}

void peer_link::receive(
    std::int32_t stream, std::string& payload, incoming_payload& incoming, std::string_view bytes)
{
    payload.append(bytes);
    incoming.charge.resize(payload.size());
    incoming.unacknowledgedBytes += bytes.size();
    auto next = growth::proceed;
    if (m_hooks.throttle) {
        auto remaining = incoming.announcedBytes - std::min(payload.size(), incoming.announcedBytes);
        next = m_hooks.throttle->recordGrowth(incoming.growth, payload.size(), remaining);
    }
    if (next == growth::proceed)
        acknowledge(stream, incoming);
}

/** Lets the sender go on. */
void peer_link::acknowledge(std::int32_t stream, incoming_payload& incoming)
{
    if (m_isClosed)
        return;
    nghttp2_session_consume_stream(m_session, stream, std::exchange(incoming.unacknowledgedBytes, 0));
    writePending();
}

/** Ends a stream whose payload cannot be held. */
void peer_link::giveUp(std::int32_t stream)
{
    handle<peer_link> self(this);
    if (auto found = m_requests.find(stream); found != m_requests.end()) {
        auto request = found->second;
        reset(stream, NGHTTP2_REFUSED_STREAM);
        callbacks::endRequest(*request);
    }
    if (auto found = m_calls.find(stream); found != m_calls.end()) {
        auto call = found->second;
        reset(stream);
        callbacks::failCall(*call);
    }
}

void peer_link::finishReceiving(incoming_payload& incoming)
{
    if (m_hooks.throttle)
        m_hooks.throttle->finish(incoming.growth);
}

void peer_link::readNext()
{
    m_socket.async_read_some(
        asio::buffer(m_input), [self = handle<peer_link>(this)](std::error_code error, std::size_t length) {
            if (self->m_isClosed)
                return;
            if (error) {
                self->close();
                return;
            }
            self->recordReceived();
            self->m_isInsideSession = true;
            auto consumed = nghttp2_session_mem_recv(self->m_session, self->m_input.data(), length);
            self->m_isInsideSession = false;
            if (self->m_isClosed)
                return;
            if (consumed < 0) {
                self->close();
                return;
            }
            self->writePending();
            // The session ends itself after an error of the protocol; calls must not wait for it.
            bool hasEnded = !nghttp2_session_want_read(self->m_session)
                && !nghttp2_session_want_write(self->m_session) && !self->m_isWriting;
            if (hasEnded && self->m_isRetired && self->streamCount() == 0)
                self->closeUnused();
            else if (hasEnded)
                self->close();
            else if (!self->m_isClosed)
                self->readNext();
        });
}

void peer_link::writePending()
{
    // The nghttp2 send and receive functions must not be called from its callbacks.
    if (m_isWriting || m_isInsideSession || !m_isConnected || m_isClosed)
        return;
    m_output.clear();
    m_isInsideSession = true;
    while (m_output.size() < maxWriteBytes && !m_isClosed) {
        const std::uint8_t* data = nullptr;
        auto length = nghttp2_session_mem_send(m_session, &data);
        if (length <= 0)
            break;
        m_output.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(length));
    }
    m_isInsideSession = false;
    if (m_output.empty() || m_isClosed)
        return;
    m_isWriting = true;
    asio::async_write(m_socket, asio::buffer(m_output),
        [self = handle<peer_link>(this)](std::error_code error, std::size_t) {
            self->m_isWriting = false;
            if (self->m_isClosed)
                return;
            if (error)
                self->close();
            else
                self->writePending();
        });
}

void peer_link::recordReceived()
{
    m_lastReceived = m_hooks.clock().monotonic;
    m_pingSentAt.reset();
    setUnresponsive(false);
}

void peer_link::setUnresponsive(bool isUnresponsive)
{
    if (m_isUnresponsive == isUnresponsive)
        return;
    m_isUnresponsive = isUnresponsive;
    if (m_hooks.onUnresponsiveChanged)
        m_hooks.onUnresponsiveChanged(isUnresponsive);
}

duration peer_link::pingIntervalFor(std::size_t streams) const
{
    if (m_isClient)
        return streams > 0 ? m_policy.pingInterval : m_policy.idlePingInterval;
    return streams > 0 ? 2 * m_policy.pingInterval : duration::max();
}

instant peer_link::idleEnd() const
{
    return m_lastUsed + (m_isClient ? m_policy.idleTimeout : 3 * m_policy.idleTimeout);
}

void peer_link::recordStreamStart()
{
    if (!m_isConnected || m_isClosed)
        return;
    m_lastUsed = m_hooks.clock().monotonic;
    // On a link that was idle the next check may be far away.
    if (m_nextCheck > m_lastUsed + pingIntervalFor(1))
        scheduleKeepalive(m_lastUsed);
}

void peer_link::checkKeepalive()
{
    if (m_isClosed)
        return;
    auto now = m_hooks.clock().monotonic;
    if (m_pingSentAt && now - *m_pingSentAt >= m_policy.keepaliveTimeout) {
        close();
        return;
    }
    if (m_pingSentAt && now - *m_pingSentAt >= m_policy.unresponsiveAfter)
        setUnresponsive(true);
    if (streamCount() > 0) {
        m_lastUsed = now;
    } else if (!m_pingSentAt && now >= idleEnd()) {
        closeUnused();
        return;
    }
    if (!m_pingSentAt && now - m_lastReceived >= pingIntervalFor(streamCount())) {
        m_pingSentAt = now;
        nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
        writePending();
    }
    scheduleKeepalive(now);
}

void peer_link::scheduleKeepalive(instant now)
{
    if (m_pingSentAt) {
        auto limit = m_isUnresponsive ? m_policy.keepaliveTimeout : m_policy.unresponsiveAfter;
        m_nextCheck = *m_pingSentAt + limit;
    } else {
        auto interval = pingIntervalFor(streamCount());
        m_nextCheck = interval == duration::max() ? idleEnd() : m_lastReceived + interval;
        if (streamCount() == 0)
            m_nextCheck = std::min(m_nextCheck, idleEnd());
    }
    m_nextCheck = std::max(m_nextCheck, now + minCheckInterval);
    m_timer.startAt(m_nextCheck, [self = handle<peer_link>(this)] { self->checkKeepalive(); });
}

// Hooks may cancel other calls; neither that nor a new call on a closed link changes the maps.
void peer_link::endStreams()
{
    for (const auto& [stream, call] : m_calls)
        callbacks::failCall(*call);
    for (const auto& [stream, request] : m_requests)
        callbacks::endRequest(*request);
}

void peer_link::closeUnused()
{
    if (m_hooks.onIdle)
        m_hooks.onIdle();
    close();
}

void peer_link::close()
{
    if (m_isClosed)
        return;
    handle<peer_link> self(this);
    m_isClosed = true;
    std::error_code ignored; // A socket that fails to close needs no further handling.
    m_socket.close(ignored);
    m_timer.cancel();
    // On a link that never connected, no payload was sent, so the calls fail as not sent.
    if (!m_isConnected) {
        for (const auto& [stream, call] : m_calls)
            call->m_isCommitted = false;
    }
    endStreams();
    auto onClosed = std::move(m_hooks.onClosed);
    m_hooks.onClosed = nullptr;
    if (onClosed)
        onClosed();
}

} // namespace pomelohub
