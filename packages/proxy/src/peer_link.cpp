#include "peer_link.h"

#include "socket_options.h"

#include <algorithm>
#include <charconv>

namespace pomelohub {

namespace {

    using tcp = asio::ip::tcp;

    /** Bytes that may be under way on one stream and on the link before the reader must take them. */
    constexpr std::int32_t streamWindow = 1 << 20;
    constexpr std::int32_t linkWindow = 16 << 20;
    constexpr std::uint32_t maxStreams = 4096;
    constexpr std::size_t maxWrite = 256 << 10; ///< Bytes gathered for one write.

    constexpr std::string_view kindField = "kind";
    constexpr std::string_view kindOffer = "offer";
    constexpr std::string_view kindRequest = "request";
    constexpr std::string_view kindGrant = "grant";
    constexpr std::string_view kindReply = "reply";

    nghttp2_nv makePair(std::string_view name, std::string_view value)
    {
        // The library copies both without changing them.
        auto bytes = [](std::string_view text) {
            return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
        };
        return { bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
    }

    std::vector<nghttp2_nv> makePairs(std::string_view kind, const std::vector<http_field>& fields)
    {
        std::vector<nghttp2_nv> pairs;
        pairs.reserve(fields.size() + 1);
        pairs.push_back(makePair(kindField, kind));
        for (const auto& [name, value] : fields)
            pairs.push_back(makePair(name, value));
        return pairs;
    }

    ssize_t copyPayload(const std::string& payload, std::size_t& sent, std::uint8_t* buffer,
        std::size_t length, std::uint32_t* flags)
    {
        auto count = std::min(length, payload.size() - sent);
        std::copy_n(payload.data() + sent, count, buffer);
        sent += count;
        if (sent == payload.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(count);
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

std::uint64_t peer_message::number(std::string_view name) const
{
    auto text = value(name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

duration peer_message::time(std::string_view name) const
{
    return std::chrono::microseconds(static_cast<std::int64_t>(number(name)));
}

std::string timeFieldText(duration time)
{
    auto span = std::max(time, duration::zero());
    return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(span).count());
}

void peer_call::commit()
{
    m_isCommitted = true;
    if (m_link)
        m_link->resume(m_stream);
}

void peer_call::cancel()
{
    m_hooks = {};
    auto link = std::move(m_link);
    m_link = nullptr;
    if (!link || m_stream < 0)
        return;
    auto stream = m_stream;
    link->reset(stream);
    link->m_calls.erase(stream);
}

void peer_request::grant()
{
    if (!m_link)
        return;
    auto pairs = makePairs(kindGrant, {});
    nghttp2_submit_headers(
        m_link->m_session, NGHTTP2_FLAG_NONE, m_stream, nullptr, pairs.data(), pairs.size(), nullptr);
    m_link->writeMore();
}

void peer_request::reply(peer_message message)
{
    cancelled = nullptr;
    committed = nullptr;
    if (!m_link)
        return;
    m_payload = std::move(message.payload);
    m_link->submitReply(*this, message.fields);
}

/** What nghttp2 calls. */
struct peer_link::callbacks {
    static peer_link& linkOf(void* user) { return *static_cast<peer_link*>(user); }

    static int onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        auto& link = linkOf(user);
        if (link.m_isAsking || frame->headers.cat != NGHTTP2_HCAT_REQUEST)
            return 0;
        handle<peer_request> request(new peer_request);
        request->m_link = &link;
        request->m_stream = frame->hd.stream_id;
        link.m_requests.emplace(frame->hd.stream_id, request);
        return 0;
    }

    static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
        std::size_t nameLength, const std::uint8_t* value, std::size_t valueLength, std::uint8_t, void* user)
    {
        auto& link = linkOf(user);
        http_field field { { reinterpret_cast<const char*>(name), nameLength },
            { reinterpret_cast<const char*>(value), valueLength } };
        if (link.m_isAsking) {
            auto found = link.m_calls.find(frame->hd.stream_id);
            if (found == link.m_calls.end())
                return 0;
            if (field.name == kindField)
                found->second->m_isReplyStarted = field.value == kindReply;
            else
                found->second->m_reply.fields.push_back(std::move(field));
            return 0;
        }
        auto found = link.m_requests.find(frame->hd.stream_id);
        if (found == link.m_requests.end())
            return 0;
        if (field.name == kindField)
            found->second->isOffer = field.value == kindOffer;
        else
            found->second->message.fields.push_back(std::move(field));
        return 0;
    }

    static int onData(nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* data,
        std::size_t length, void* user)
    {
        auto& link = linkOf(user);
        std::string_view bytes(reinterpret_cast<const char*>(data), length);
        if (link.m_isAsking) {
            if (auto found = link.m_calls.find(stream); found != link.m_calls.end())
                found->second->m_reply.payload.append(bytes);
        } else if (auto found = link.m_requests.find(stream); found != link.m_requests.end()) {
            found->second->message.payload.append(bytes);
        }
        return 0;
    }

    static int onFrame(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        auto& link = linkOf(user);
        bool isEnd = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        if (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA)
            return 0;
        if (link.m_isAsking)
            takeReplyFrame(link, frame->hd.stream_id, isEnd);
        else
            takeRequestFrame(link, frame->hd.stream_id, frame->hd.type == NGHTTP2_HEADERS, isEnd);
        return 0;
    }

    static void takeReplyFrame(peer_link& link, std::int32_t stream, bool isEnd)
    {
        auto found = link.m_calls.find(stream);
        if (found == link.m_calls.end())
            return;
        auto call = found->second;
        if (!call->m_isReplyStarted) {
            if (call->m_hooks.granted && !isEnd)
                call->m_hooks.granted();
            return;
        }
        if (!isEnd)
            return;
        if (!call->m_isCommitted)
            link.reset(stream); // The other side refused the offer and needs no payload.
        link.m_calls.erase(stream);
        call->m_link = nullptr;
        auto hooks = std::move(call->m_hooks);
        call->m_hooks = {};
        if (hooks.replied)
            hooks.replied(std::move(call->m_reply));
    }

    static void takeRequestFrame(peer_link& link, std::int32_t stream, bool isHeaders, bool isEnd)
    {
        auto found = link.m_requests.find(stream);
        if (found == link.m_requests.end())
            return;
        auto request = found->second;
        if (!request->m_isArrived && (isEnd || (isHeaders && request->isOffer))) {
            request->m_isArrived = true;
            link.m_hooks.requested(request);
            if (!isEnd)
                return;
        }
        if (isEnd && request->isOffer && request->committed) {
            auto committed = std::move(request->committed);
            request->committed = nullptr;
            committed();
        }
    }

    static int onStreamClose(nghttp2_session*, std::int32_t stream, std::uint32_t, void* user)
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
            failCall(*call);
        }
        return 0;
    }

    static void endRequest(peer_request& request)
    {
        request.m_link = nullptr;
        auto cancelled = std::move(request.cancelled);
        request.cancelled = nullptr;
        request.committed = nullptr;
        if (cancelled)
            cancelled();
    }

    static void failCall(peer_call& call)
    {
        call.m_link = nullptr;
        auto hooks = std::move(call.m_hooks);
        call.m_hooks = {};
        if (hooks.failed)
            hooks.failed(call.m_isCommitted ? peer_failure::lost : peer_failure::notSent);
    }

    static ssize_t readCall(nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t length,
        std::uint32_t* flags, nghttp2_data_source* source, void*)
    {
        auto& call = *static_cast<peer_call*>(source->ptr);
        if (!call.m_isCommitted)
            return NGHTTP2_ERR_DEFERRED;
        return copyPayload(call.m_payload, call.m_sent, buffer, length, flags);
    }

    static ssize_t readReply(nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t length,
        std::uint32_t* flags, nghttp2_data_source* source, void*)
    {
        auto& request = *static_cast<peer_request*>(source->ptr);
        return copyPayload(request.m_payload, request.m_sent, buffer, length, flags);
    }

    static nghttp2_session_callbacks* make()
    {
        nghttp2_session_callbacks* all = nullptr;
        nghttp2_session_callbacks_new(&all);
        nghttp2_session_callbacks_set_on_begin_headers_callback(all, onBeginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(all, onHeader);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(all, onData);
        nghttp2_session_callbacks_set_on_frame_recv_callback(all, onFrame);
        nghttp2_session_callbacks_set_on_stream_close_callback(all, onStreamClose);
        return all;
    }
};

peer_link::peer_link(tcp::socket socket, bool isAsking, peer_link_policy policy, hooks hooks)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_isAsking(isAsking)
    , m_policy(policy)
    , m_hooks(std::move(hooks))
{
    static nghttp2_session_callbacks* const sessionCallbacks = callbacks::make();
    nghttp2_option* option = nullptr;
    nghttp2_option_new(&option);
    // Streams carry messages of our own, not HTTP.
    nghttp2_option_set_no_http_messaging(option, 1);
    if (isAsking)
        nghttp2_session_client_new2(&m_session, sessionCallbacks, this, option);
    else
        nghttp2_session_server_new2(&m_session, sessionCallbacks, this, option);
    nghttp2_option_del(option);
    m_lastReceived = m_hooks.clock().monotonic;
}

peer_link::~peer_link() { nghttp2_session_del(m_session); }

handle<peer_link> peer_link::makeAsking(asio::io_context& context, peer_link_policy policy, hooks hooks)
{
    return handle<peer_link>(new peer_link(tcp::socket(context), true, policy, std::move(hooks)));
}

handle<peer_link> peer_link::makeAsked(tcp::socket socket, peer_link_policy policy, hooks hooks)
{
    return handle<peer_link>(new peer_link(std::move(socket), false, policy, std::move(hooks)));
}

void peer_link::startSession()
{
    sendAtOnce(m_socket);
    std::array settings {
        nghttp2_settings_entry { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxStreams },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindow },
    };
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, linkWindow);
    m_isConnected = true;
    m_lastReceived = m_hooks.clock().monotonic;
    writeMore();
    readMore();
}

void peer_link::connect(const tcp::endpoint& server)
{
    handle<peer_link> self(this);
    m_timer.expires_after(m_policy.connectTimeout);
    m_timer.async_wait([self](std::error_code error) {
        if (!error && !self->m_isConnected)
            self->close();
    });
    m_socket.async_connect(server, [self](std::error_code error) {
        if (self->m_isClosed)
            return;
        if (error) {
            self->close();
            return;
        }
        self->startSession();
        self->checkLife();
    });
}

void peer_link::start()
{
    startSession();
    checkLife();
}

handle<peer_call> peer_link::call(peer_message message, bool isOffer, peer_call::hooks hooks)
{
    handle<peer_call> call(new peer_call);
    call->m_link = this;
    call->m_hooks = std::move(hooks);
    call->m_payload = std::move(message.payload);
    call->m_isCommitted = !isOffer;
    submitCall(*call, message.fields, isOffer);
    return call;
}

void peer_link::submitCall(peer_call& call, const std::vector<http_field>& fields, bool isOffer)
{
    auto pairs = makePairs(isOffer ? kindOffer : kindRequest, fields);
    nghttp2_data_provider provider { { .ptr = &call }, callbacks::readCall };
    call.m_stream
        = nghttp2_submit_request(m_session, nullptr, pairs.data(), pairs.size(), &provider, nullptr);
    if (m_isClosed || call.m_stream < 0) {
        // Told later, so that the caller has the handle before its hook runs.
        asio::post(m_socket.get_executor(), [held = handle<peer_call>(&call)] {
            held->m_isCommitted = false;
            callbacks::failCall(*held);
        });
        return;
    }
    m_calls.emplace(call.m_stream, &call);
    writeMore();
}

void peer_link::submitReply(peer_request& request, const std::vector<http_field>& fields)
{
    auto pairs = makePairs(kindReply, fields);
    nghttp2_data_provider provider { { .ptr = &request }, callbacks::readReply };
    nghttp2_submit_response(m_session, request.m_stream, pairs.data(), pairs.size(), &provider);
    writeMore();
}

void peer_link::resume(std::int32_t stream)
{
    nghttp2_session_resume_data(m_session, stream);
    writeMore();
}

void peer_link::reset(std::int32_t stream)
{
    // The data provider points into the call, which must live until the frame is written.
    if (auto found = m_calls.find(stream); found != m_calls.end())
        m_retired.push_back(found->second);
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    writeMore();
}

void peer_link::readMore()
{
    m_socket.async_read_some(
        asio::buffer(m_input), [self = handle<peer_link>(this)](std::error_code error, std::size_t length) {
            if (self->m_isClosed)
                return;
            if (error) {
                self->close();
                return;
            }
            self->noteReceived();
            self->m_isInSession = true;
            auto taken = nghttp2_session_mem_recv(self->m_session, self->m_input.data(), length);
            self->m_isInSession = false;
            if (self->m_isClosed)
                return;
            if (taken < 0) {
                self->close();
                return;
            }
            self->writeMore();
            self->readMore();
        });
}

void peer_link::writeMore()
{
    // nghttp2 must not be entered again from its callbacks.
    if (m_isWriting || m_isInSession || !m_isConnected || m_isClosed)
        return;
    m_output.clear();
    m_isInSession = true;
    while (m_output.size() < maxWrite) {
        const std::uint8_t* data = nullptr;
        auto length = nghttp2_session_mem_send(m_session, &data);
        if (length <= 0)
            break;
        m_output.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(length));
    }
    m_isInSession = false;
    if (m_output.size() < maxWrite)
        m_retired.clear();
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
                self->writeMore();
        });
}

void peer_link::noteReceived()
{
    m_lastReceived = m_hooks.clock().monotonic;
    m_pingSentAt.reset();
    setSilent(false);
}

void peer_link::setSilent(bool isSilent)
{
    if (m_isSilent == isSilent)
        return;
    m_isSilent = isSilent;
    if (m_hooks.silenceChanged)
        m_hooks.silenceChanged(isSilent);
}

void peer_link::checkLife()
{
    if (m_isClosed)
        return;
    auto now = m_hooks.clock().monotonic;
    if (m_pingSentAt && now - *m_pingSentAt >= m_policy.deadAfter) {
        close();
        return;
    }
    if (m_pingSentAt && now - *m_pingSentAt >= m_policy.silentAfter)
        setSilent(true);
    auto interval = streamCount() > 0 ? m_policy.pingInterval : m_policy.idlePingInterval;
    if (!m_pingSentAt && now - m_lastReceived >= interval) {
        m_pingSentAt = now;
        nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
        writeMore();
    }
    m_timer.expires_after(m_policy.pingInterval);
    m_timer.async_wait([self = handle<peer_link>(this)](std::error_code error) {
        if (!error)
            self->checkLife();
    });
}

void peer_link::failCalls()
{
    auto calls = std::move(m_calls);
    m_calls.clear();
    for (const auto& [stream, call] : calls)
        callbacks::failCall(*call);
    auto requests = std::move(m_requests);
    m_requests.clear();
    for (const auto& [stream, request] : requests)
        callbacks::endRequest(*request);
}

void peer_link::close()
{
    if (m_isClosed)
        return;
    handle<peer_link> self(this);
    m_isClosed = true;
    std::error_code ignored; // Nothing is left to do for a socket that cannot be closed.
    m_socket.close(ignored);
    m_timer.cancel();
    // Requests on a link that never connected were not sent.
    if (!m_isConnected) {
        for (const auto& [stream, call] : m_calls)
            call->m_isCommitted = false;
    }
    failCalls();
    auto closed = std::move(m_hooks.closed);
    m_hooks.closed = nullptr;
    if (closed)
        closed();
}

} // namespace pomelohub
