/** \file
 * Defines peer_forwarder, which forwards the requests of one thread to the sidecar nodes of backend servers,
 * over one peer_link to each node.
 */
#pragma once

#include "backend_gateway.h"
#include "one_shot_timer.h"
#include "peer_link.h"
#include "reachability.h"

namespace pomelohub {

/** A forwarded request that may still be in flight. Thread safety: the thread of its forwarder. */
class forward_call : public ref_counted<forward_call> {
public:
    /** Cancels the request. Its hook is not called afterwards. */
    void cancel();

    /** Whether the request may run without a further step here: its payload was sent, or it is at the local
     * gateway. */
    bool isCommitted() const;

    /** Whether the link to the node is unresponsive or closed. */
    bool isUnresponsive() const;

private:
    friend class peer_forwarder;

    handle<peer_call> m_peerCall;
    handle<peer_link> m_link;
    handle<gateway_request> m_gatewayRequest;
    backend_gateway* m_gateway = nullptr;
    handle<peer_state> m_peer;
    bool m_isDone = false;
    /** Decides on a grant; unset if each grant is taken. */
    std::function<bool()> m_onGranted;
    bool m_isCommitted = false; ///< Sent with its payload at once, or its offer was granted and taken.

    void release();
    bool takeGrant();
};

/** Thread safety: one thread, that of its execution context. */
class peer_forwarder {
public:
    using reply_hook = std::function<void(forward_reply)>;
    using message_hook = std::function<void(std::optional<peer_message>)>;

    struct hooks {
        clock_hook clock;
        /** The gateway of this node, which takes local requests without a link. Null on all threads but the
         * one that the gateway runs on. */
        backend_gateway* gateway = nullptr;
        receive_throttle* throttle = nullptr; ///< For replies; not limited if null.
    };

    peer_forwarder(
        asio::io_context& context, node_id self, peer_link_policy policy, event_log& log, hooks hooks);

    /** Sends \p request to \p peer. A request that must not run twice, or that waits in several queues, is
     * sent as an offer, so that its payload leaves this node only after the peer has granted a slot. \p done
     * is called once, after this function has returned, unless the call is cancelled. \param onGranted is
     * called at the grant of an offer that waits in several queues, after this function has returned; the
     * call is cancelled if it returns false. */
    handle<forward_call> forward(const handle<peer_state>& peer, const forwarded_request& request,
        reply_hook done, std::function<bool()> onGranted = nullptr);

    /** Sends any other request to the node at \p endpoint. \p done gets nothing when no part of the reply has
     * arrived for \p timeout. */
    void sendRequest(const std::string& endpoint, peer_message message, duration timeout, message_hook done);

    /** Sets the gateway of this node. Precondition: nothing has been forwarded yet. */
    void setGateway(backend_gateway* gateway) { m_hooks.gateway = gateway; }

    /** Which nodes have stopped answering the requests of this thread. */
    const reachability& nodeReachability() const { return m_reachability; }

    /** Number of links that are open or being opened. */
    std::size_t linkCount() const;

    /** Closes the links to nodes that are not in \p endpoints. A link with open streams is kept until a later
     * call finds it idle. */
    void closeLinksExcept(const std::set<std::string>& endpoints);

private:
    struct pending_request;

    void scheduleTimeout(const handle<pending_request>& pending);
    void recordResponse(const std::string& endpoint);
    handle<peer_link> linkTo(const std::string& endpoint, const handle<peer_state>& peer);
    void forwardLocally(
        const handle<forward_call>& forwardCall, const forwarded_request& request, reply_hook done);
    void forwardRemotely(
        const handle<forward_call>& forwardCall, const forwarded_request& request, const reply_hook& done);

    struct link_entry {
        handle<peer_link> link;
        std::vector<handle<peer_state>> peers; ///< Marked unresponsive together with the link.
    };

    asio::io_context& m_context;
    node_id m_self;
    peer_link_policy m_policy;
    event_log& m_log;
    hooks m_hooks;
    std::unordered_map<std::string, link_entry> m_links;
    reachability m_reachability;
};

/** Parses "address:port" with an IPv4 address. \return nothing for any other text. */
std::optional<asio::ip::tcp::endpoint> endpointFromText(std::string_view text);

} // namespace pomelohub
