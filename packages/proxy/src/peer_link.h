/** \file
 * Defines peer_link, one HTTP/2 connection between two nodes, in either role. Each stream carries one
 * exchange: a request that may wait for the other side's grant before its payload is sent, and one reply.
 */
#pragma once

#include "http_message.h"
#include "rcu_cell.h"

#include <asio.hpp>
#include <nghttp2/nghttp2.h>

#include <unordered_map>

namespace pomelohub {

/** A set of named values and bytes. */
struct peer_message {
    std::vector<http_field> fields;
    std::string payload;

    std::string_view value(std::string_view name) const;

    /** The value as a number; 0 when it is missing or none. */
    std::uint64_t number(std::string_view name) const;

    /** The value as a span of time, as timeFieldText() wrote it. */
    duration time(std::string_view name) const;
};

/** Text of \p time in a field, in microseconds; spans that have passed are zero. */
std::string timeFieldText(duration time);

/** Why a stream ended without a reply. */
enum class peer_failure {
    notSent, ///< The payload never left this node.
    lost, ///< The connection ended or went silent after the payload was sent.
};

class peer_link;

/** The side of a stream that asks. Thread safety: the thread of its link. */
class peer_call : public counted<peer_call> {
public:
    struct hooks {
        std::function<void()> granted; ///< The other side takes the payload now; only after offers.
        std::function<void(peer_message&&)> replied;
        std::function<void(peer_failure)> failed;
    };

    /** Sends the payload of an offer. Precondition: granted was called. */
    void commit();

    /** Ends the stream; no hook is called from then on. */
    void cancel();

    bool isPayloadSent() const { return m_isCommitted; }
    handle<peer_link> link() const { return m_link; }

private:
    friend class peer_link;

    handle<peer_link> m_link;
    hooks m_hooks;
    std::int32_t m_stream = -1;
    std::string m_payload;
    std::size_t m_sent = 0;
    bool m_isCommitted = false;
    bool m_isReplyStarted = false;
    peer_message m_reply;
};

/** The side of a stream that is asked. Thread safety: the thread of its link. */
class peer_request : public counted<peer_request> {
public:
    /** Lets the other side send the payload of its offer. */
    void grant();

    void reply(peer_message message);

    /** Called once if the other side gives up or the link ends before the reply. */
    std::function<void()> cancelled;

    /** Called once when the payload of an offer is complete. */
    std::function<void()> committed;

    peer_message message;
    bool isOffer = false;

private:
    friend class peer_link;

    handle<peer_link> m_link;
    std::int32_t m_stream = -1;
    std::string m_payload;
    std::size_t m_sent = 0;
    bool m_isArrived = false;
};

using peer_request_hook = std::function<void(handle<peer_request>)>;

struct peer_link_policy {
    duration pingInterval = std::chrono::milliseconds(250); ///< While streams are open.
    duration idlePingInterval = std::chrono::seconds(1);
    duration silentAfter = std::chrono::milliseconds(800); ///< Without any byte since an unanswered ping.
    duration deadAfter = std::chrono::milliseconds(3500); ///< Streams on a silent link fail after this.
    duration connectTimeout = std::chrono::milliseconds(600);
};

/** Keep a count on it while it is used. Thread safety: the thread of its execution context. */
class peer_link : public counted<peer_link> {
public:
    struct hooks {
        std::function<void(bool isSilent)> silenceChanged;
        std::function<void()> closed;
        peer_request_hook requested; ///< Of the asked side.
        clock_hook clock;
    };

    /** A link that asks. It connects on start(). */
    static handle<peer_link> makeAsking(asio::io_context& context, peer_link_policy policy, hooks hooks);

    /** A link that is asked, over an accepted \p socket. */
    static handle<peer_link> makeAsked(asio::ip::tcp::socket socket, peer_link_policy policy, hooks hooks);

    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /** Replaces the hooks. Precondition: nothing was started. */
    void setHooks(hooks hooks) { m_hooks = std::move(hooks); }

    /** Connects an asking link to \p server. */
    void connect(const asio::ip::tcp::endpoint& server);

    /** Starts a link that is asked. */
    void start();

    /** Asks. \param isOffer sends only the fields until the other side grants. */
    handle<peer_call> call(peer_message message, bool isOffer, peer_call::hooks hooks);

    /** Ends the link; streams fail. */
    void close();

    bool isOpen() const { return !m_isClosed; }
    bool isConnected() const { return m_isConnected && !m_isClosed; }
    bool isSilent() const { return m_isSilent; }
    std::size_t streamCount() const { return m_calls.size() + m_requests.size(); }

private:
    friend class peer_call;
    friend class peer_request;
    struct callbacks;

    peer_link(asio::ip::tcp::socket socket, bool isAsking, peer_link_policy policy, hooks hooks);

    void startSession();
    void submitCall(peer_call& call, const std::vector<http_field>& fields, bool isOffer);
    void submitReply(peer_request& request, const std::vector<http_field>& fields);
    void resume(std::int32_t stream);
    void reset(std::int32_t stream);
    void readMore();
    void writeMore();
    void checkLife();
    void noteReceived();
    void setSilent(bool isSilent);
    void failCalls();

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    bool m_isAsking;
    peer_link_policy m_policy;
    hooks m_hooks;
    nghttp2_session* m_session = nullptr;
    std::unordered_map<std::int32_t, handle<peer_call>> m_calls;
    std::unordered_map<std::int32_t, handle<peer_request>> m_requests;
    std::vector<handle<peer_call>> m_retired; ///< Cancelled, but the session may still point to them.
    std::array<std::uint8_t, 16'384> m_input {};
    std::string m_output;
    instant m_lastReceived {};
    std::optional<instant> m_pingSentAt;
    bool m_isConnected = false;
    bool m_isWriting = false;
    bool m_isInSession = false;
    bool m_isSilent = false;
    bool m_isClosed = false;
};

} // namespace pomelohub
