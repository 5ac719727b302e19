/** \file
 * Defines peer_session, a TLS connection between two nodes that carries each exchange as an HTTP/2 stream.
 */
#pragma once

#include "exchange.h"
#include "one_shot_timer.h"
#include "tls_material.h"

#include <asio.hpp>
#include <nghttp2/nghttp2.h>

#include <map>

namespace pomelohub {

using tls_stream = asio::ssl::stream<asio::ip::tcp::socket>;

inline constexpr std::string_view verdictHeader = "pomelohub-verdict";
inline constexpr std::string_view reasonHeader = "pomelohub-reason";
inline constexpr std::string_view detailHeader = "pomelohub-detail";
inline constexpr std::string_view retryAfterHeader = "pomelohub-retry-after-ms";
inline constexpr std::string_view timeLeftHeader = "pomelohub-time-left-ms";

enum class session_role {
    client,
    server,
};

struct session_limits {
    std::uint32_t maxStreams = 1000;
    std::size_t maxHeadBytes = 64 * 1024;
    duration keepaliveInterval = std::chrono::seconds(1);
    duration pingTimeout = std::chrono::seconds(1);
    duration connectionIdleTimeout = std::chrono::seconds(30);
};

/** Handles an exchange that the peer started. Called on the session's strand; must not block. */
using incoming_hook = std::function<void(const handle<exchange>& incoming, const node_id& peer)>;

/** Thread safety: submit() and shutDown() may be called from any thread, all other members only on the
 * session's strand. */
class peer_session : public ref_counted<peer_session> {
public:
    /** \param stream has completed its handshake; its executor is a strand. */
    peer_session(tls_stream stream, handle<tls_contexts> contexts, session_role role, node_id peer,
        session_limits limits, clock_hook clock);
    ~peer_session();
    peer_session(const peer_session&) = delete;
    peer_session& operator=(const peer_session&) = delete;

    /** Starts reading and writing. \param closed is called once, on the strand, when the session has ended.
     */
    void start(incoming_hook incoming, std::function<void()> closed);

    /** Sends \p outgoing to the peer, or refuses it with execution::notRun when the session is closing.
     * Precondition: the role is client. */
    void submit(const handle<exchange>& outgoing);

    /** Accepts no new streams and closes the session once the open ones have ended. */
    void shutDown();

    /** Whether the session has ended or accepts no more streams. */
    bool isClosing() const { return m_isClosing.load(); }

private:
    struct stream_state {
        handle<exchange> boundExchange;
        handle<body_pipe> incomingBody;
        handle<body_pipe> outgoingBody;
        std::vector<header_field> head;
        std::size_t headBytes = 0;
        bool isHeadSent
            = false; ///< Set just before the head is sent, as it may have left the process from then on.
        bool hasResponse = false;
        bool isIncomingEnded = false;
    };

    static int onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* self);
    static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
        std::size_t nameLength, const std::uint8_t* value, std::size_t valueLength, std::uint8_t, void* self);
    static int onFrameReceived(nghttp2_session*, const nghttp2_frame* frame, void* self);
    static int onFrameSending(nghttp2_session*, const nghttp2_frame* frame, void* self);
    static int onData(nghttp2_session*, std::uint8_t, std::int32_t streamId, const std::uint8_t* data,
        std::size_t length, void* self);
    static int onStreamClosed(nghttp2_session*, std::int32_t streamId, std::uint32_t errorCode, void* self);
    static ssize_t onReadBody(nghttp2_session*, std::int32_t streamId, std::uint8_t* buffer,
        std::size_t length, std::uint32_t* flags, nghttp2_data_source* source, void* self);

    void createSession();
    void sendSettings();
    stream_state* find(std::int32_t streamId);
    int handleHeader(std::int32_t streamId, std::string name, std::string value);
    void handleHeadComplete(std::int32_t streamId, bool endsStream);
    void startIncoming(std::int32_t streamId);
    void handleResponse(std::int32_t streamId);
    handle<exchange> detach(std::int32_t streamId);
    void sendResponse(std::int32_t streamId);
    void installBodyHooks(std::int32_t streamId);
    void submitOnStrand(const handle<exchange>& outgoing);
    void handleStreamClosed(std::int32_t streamId, std::uint32_t errorCode);
    request_error closedStreamError(const stream_state& stream, std::uint32_t errorCode) const;

    void read();
    void flush();
    void write();
    void scheduleKeepaliveCheck();
    void checkKeepalive(instant now);
    void close();
    void onStrand(std::function<void(peer_session&)> task);

    tls_stream m_stream;
    handle<tls_contexts> m_contexts;
    session_role m_role;
    node_id m_peer;
    session_limits m_limits;
    clock_hook m_clock;
    incoming_hook m_onIncoming;
    std::function<void()> m_onClosed;
    nghttp2_session* m_session = nullptr;
    std::map<std::int32_t, stream_state> m_streams;
    std::array<char, 32 * 1024> m_input;
    std::string m_output;
    std::string m_writing;
    bool m_isWriting = false;
    bool m_isClosed = false;
    std::atomic<bool> m_isClosing { false };
    one_shot_timer m_keepaliveTimer;
    instant m_lastReceived {};
    instant m_lastActive {};
    instant m_pingSentAt {};
};

/** Encodes \p error as header fields between nodes. */
std::vector<header_field> toHeaders(const request_error& error);

/** Decodes the refusal in \p headers, or returns nothing when there is none. */
std::optional<request_error> refusalFromHeaders(const std::vector<header_field>& headers);

} // namespace pomelohub
