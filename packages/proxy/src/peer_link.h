/** \file
 * Defines peer_link, an HTTP/2 connection between two nodes, in the client or the server role. Each stream
 * carries one request and one reply. A request may be sent as an offer: its fields go first, and its payload
 * follows only after the server has granted the offer.
 */
#pragma once

#include "http_message.h"
#include "receive_throttle.h"

#include <asio.hpp>
#include <nghttp2/nghttp2.h>

#include <unordered_map>

namespace pomelohub {

/** Named fields and a payload of bytes, exchanged on a stream of a peer_link. */
struct peer_message {
    std::vector<http_field> fields;
    std::string payload;
    /** Sent after the payload, of which it is a part at the receiver. Copies of a message share it. */
    message_body body {};

    /** The value of the first field called \p name; empty when there is none. */
    std::string_view value(std::string_view name) const;

    /** The field as an unsigned number; 0 when it is missing or does not start with a digit. */
    std::uint64_t number(std::string_view name) const;

    /** The field as a duration, in the format of timeFieldText(). */
    duration time(std::string_view name) const;
};

/** Formats \p time for a field, as whole microseconds; negative durations become 0. */
std::string timeFieldText(duration time);

/** Why a call ended without a reply. */
enum class peer_call_failure {
    notSent, ///< No byte of the payload was sent.
    streamLost, ///< The stream ended after the payload may have been sent.
};

class peer_link;

/** What is still to be sent on a stream. */
struct outgoing_payload {
    std::string first;
    message_body second;
    std::size_t sentBytes = 0;
    bool isSent = false; ///< Including the end of the stream.

    std::size_t size() const { return first.size() + second.size(); }
    void clear();
};

/** How much of a payload has been received on a stream. */
struct incoming_payload {
    memory_charge charge;
    growing_message growth;
    std::size_t announcedBytes = 0;
    std::size_t unacknowledgedBytes = 0; ///< Received, but not returned to the flow control window.
};

/** The client side of a stream. The link holds a reference from the submission of the stream until the stream
 * has closed or the link is destroyed, however the call ends, as its HTTP/2 session keeps a pointer to the
 * call for that long. Thread safety: the thread of its link. */
class peer_call : public ref_counted<peer_call> {
public:
    struct hooks {
        std::function<void()> onGranted; ///< The server has granted the offer; called for offers only.
        std::function<void(peer_message&&)> onReply;
        std::function<void(peer_call_failure)> onFailure;
    };

    /** Sends the payload of an offer. Precondition: the server has granted the offer. */
    void commit();

    /** Resets the stream; no hook is called afterwards. */
    void cancel();

    bool isPayloadCommitted() const { return m_isCommitted; }

    /** Number of bytes of the reply's payload received so far. */
    std::size_t receivedBytes() const { return m_reply.payload.size(); }
    handle<peer_link> link() const { return m_link; }

private:
    friend class peer_link;

    handle<peer_link> m_link;
    hooks m_hooks;
    std::int32_t m_stream = -1;
    outgoing_payload m_payload;
    bool m_isCommitted = false;
    bool m_isReplyStarted = false;
    bool m_isEnded = false; ///< By a reply, a failure or cancel(); the stream may still be open.
    peer_message m_reply;
    incoming_payload m_incoming; ///< Of the reply.
};

/** The server side of a stream. The link holds a reference for as long as to a peer_call. Thread safety: the
 * thread of its link. */
class peer_request : public ref_counted<peer_request> {
public:
    /** Grants the offer, so that the client may send its payload. */
    void grant();

    /** Moves out the payload, which the memory account counts no more. */
    std::string takePayload();

    /** Sends the reply. Does nothing when the stream has ended or a reply was sent. */
    void reply(peer_message message);

    /** Called at most once: when the client cancels or the link closes before reply() was called. */
    std::function<void()> onCancelled;

    /** Called once when the whole payload of an offer has been received. */
    std::function<void()> onPayloadComplete;

    peer_message message;
    bool isOffer = false;

private:
    friend class peer_link;

    handle<peer_link> m_link;
    std::int32_t m_stream = -1;
    outgoing_payload m_payload; ///< Of the reply.
    incoming_payload m_incoming;
    bool m_isDelivered = false;
    bool m_isReplied = false;
    bool m_isEnded = false;
};

using peer_request_hook = std::function<void(handle<peer_request>)>;

struct peer_link_policy {
    /** A ping is sent after this long without input, while the link has open streams. */
    duration pingInterval = std::chrono::milliseconds(250);
    /** The same for a link without open streams, where only the client pings. With open streams the client
     * pings first, and the server after twice pingInterval, so that one of them asks and the other answers.
     */
    duration idlePingInterval = std::chrono::seconds(1);
    /** A client closes a link that has had no open stream for this long, so that the number of links follows
     * from the requests and not from the size of the fleet. A server does so after three times that. */
    duration idleTimeout = std::chrono::seconds(4);
    /** A link is unresponsive when it has received no byte for this long after a ping. */
    duration unresponsiveAfter = std::chrono::milliseconds(800);
    /** A link is closed when it has received no byte for this long after a ping. */
    duration keepaliveTimeout = std::chrono::milliseconds(3500);
    duration connectTimeout = std::chrono::milliseconds(600);
};

/** Hold a handle while the link is in use. Thread safety: the thread of its execution context. */
class peer_link : public ref_counted<peer_link> {
public:
    struct hooks {
        std::function<void(bool isUnresponsive)> onUnresponsiveChanged;
        std::function<void()> onClosed;
        peer_request_hook onRequest; ///< Called in the server role only.
        clock_hook clock;
        /** The link closes in order: it has had no open stream for the idle timeout, or the server takes no
         * further calls and all have ended. Called before onClosed. */
        std::function<void()> onIdle = nullptr;
        /** Limits the memory of what is received, by the flow control windows of the streams and by resetting
         * streams. It must outlive the link. If null, memory is not limited. */
        receive_throttle* throttle = nullptr;
    };

    /** A link in the client role. It is opened by connect(). */
    static handle<peer_link> makeClient(asio::io_context& context, peer_link_policy policy, hooks hooks);

    /** A link in the server role, over an accepted \p socket. */
    static handle<peer_link> makeServer(asio::ip::tcp::socket socket, peer_link_policy policy, hooks hooks);

    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /** Replaces the hooks. Precondition: neither connect() nor start() was called. */
    void setHooks(hooks hooks) { m_hooks = std::move(hooks); }

    /** Connects a link of the client role to \p server. */
    void connect(const asio::ip::tcp::endpoint& server);

    /** Starts a link of the server role. */
    void start();

    /** Sends a request. \param isOffer sends only the fields at first; the payload follows once the server
     * has granted the offer and peer_call::commit() is called. */
    handle<peer_call> call(peer_message message, bool isOffer, peer_call::hooks hooks);

    /** Closes the link. Open calls fail, and open requests count as cancelled. */
    void close();

    bool isOpen() const { return !m_isClosed; }

    /** Whether new calls may be sent on it: it is open, and the server has not said (GOAWAY) that it takes no
     * further ones. Other calls fail as not sent. */
    bool acceptsCalls() const { return !m_isClosed && !m_isRetired; }
    bool isConnected() const { return m_isConnected && !m_isClosed; }
    bool isUnresponsive() const { return m_isUnresponsive; }

    /** Number of streams that have not closed. */
    std::size_t streamCount() const { return m_calls.size() + m_requests.size(); }

private:
    friend class peer_call;
    friend class peer_request;
    struct callbacks;

    peer_link(asio::ip::tcp::socket socket, bool isClient, peer_link_policy policy, hooks hooks);

    void startSession();
    void submitCall(peer_call& call, const std::vector<http_field>& fields, bool isOffer);
    void submitReply(peer_request& request, const std::vector<http_field>& fields);
    void resume(std::int32_t stream);
    void reset(std::int32_t stream, std::uint32_t code = NGHTTP2_CANCEL);
    void receive(
        std::int32_t stream, std::string& payload, incoming_payload& incoming, std::string_view bytes);
    void acknowledge(std::int32_t stream, incoming_payload& incoming);
    void giveUp(std::int32_t stream);
    void finishReceiving(incoming_payload& incoming);
    template <typename T> void initializeIncoming(T& stream);
    void readNext();
    void writePending();
    void checkKeepalive();
    void scheduleKeepalive(instant now);
    duration pingIntervalFor(std::size_t streams) const;
    instant idleEnd() const;
    void recordStreamStart();
    void recordReceived();
    void setUnresponsive(bool isUnresponsive);
    void endStreams();
    void closeUnused();

    asio::ip::tcp::socket m_socket;
    one_shot_timer m_timer;
    bool m_isClient;
    peer_link_policy m_policy;
    hooks m_hooks;
    nghttp2_session* m_session = nullptr;
    /** The streams that the session knows. Entries are removed only when it closes a stream, so that its
     * pointers to calls and requests stay valid. */
    std::unordered_map<std::int32_t, handle<peer_call>> m_calls;
    std::unordered_map<std::int32_t, handle<peer_request>> m_requests;
    std::array<std::uint8_t, 16'384> m_input {};
    std::string m_output;
    instant m_lastReceived {};
    instant m_lastUsed {}; ///< When a stream was last known to be open.
    std::optional<instant> m_pingSentAt;
    instant m_nextCheck {}; ///< When the timer expires, on a connected link.
    bool m_isConnected = false;
    bool m_isWriting = false;
    bool m_isInsideSession = false;
    bool m_isUnresponsive = false;
    bool m_isRetired = false; ///< The server takes no further calls.
    bool m_isClosed = false;
};

} // namespace pomelohub
