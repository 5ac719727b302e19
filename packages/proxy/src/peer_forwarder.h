/** \file
 * Defines peer_forwarder, which carries requests of one thread to the nodes beside the backend servers and
 * keeps one link to each of them.
 */
#pragma once

#include "backend_gateway.h"
#include "peer_link.h"
#include "reachability.h"

namespace pomelohub {

/** A request on its way to another node. Thread safety: the thread of its forwarder. */
class forward_ticket : public counted<forward_ticket> {
public:
    /** Gives up; the hook is not called any more. */
    void cancel();

    /** Whether the other node may have started the request. */
    bool isCommitted() const;

    /** Whether the way to the other node shows no sign of life. */
    bool isSilent() const;

private:
    friend class peer_forwarder;

    handle<peer_call> m_call;
    handle<peer_link> m_link;
    handle<gateway_request> m_local;
    backend_gateway* m_gateway = nullptr;
    handle<peer_state> m_peer;
    bool m_isDone = false;
    bool m_isPlain = false; ///< Sent as a whole, without waiting for a grant.

    void release();
};

/** Thread safety: one thread, that of its execution context. */
class peer_forwarder {
public:
    using reply_hook = std::function<void(forward_reply)>;
    using message_hook = std::function<void(std::optional<peer_message>)>;

    struct hooks {
        clock_hook clock;
        /** The gateway of this node, for requests that need no link; null on other threads than its own. */
        backend_gateway* gateway = nullptr;
    };

    peer_forwarder(
        asio::io_context& context, node_id self, peer_link_policy policy, event_log& log, hooks hooks);

    /** Sends \p request to \p peer. A request that must run once is offered first, so that only a node that
     * answers gets it. \p done is called once, not before this returns. */
    handle<forward_ticket> forward(
        const handle<peer_state>& peer, const forwarded_request& request, reply_hook done);

    /** Asks the node at \p endpoint something else; \p done gets nothing when it does not answer in time. */
    void ask(const std::string& endpoint, peer_message message, duration timeout, message_hook done);

    /** Precondition: nothing was forwarded yet. */
    void setGateway(backend_gateway* gateway) { m_hooks.gateway = gateway; }

    const reachability& reached() const { return m_reached; }

    /** Ends links to nodes that are not in \p endpoints any more once their streams have ended. */
    void retain(const std::set<std::string>& endpoints);

private:
    handle<peer_link> linkTo(const std::string& endpoint, const handle<peer_state>& peer);
    void forwardLocally(
        const handle<forward_ticket>& ticket, const forwarded_request& request, reply_hook done);
    void forwardRemotely(
        const handle<forward_ticket>& ticket, const forwarded_request& request, const reply_hook& done);

    struct link_entry {
        handle<peer_link> link;
        std::vector<handle<peer_state>> peers; ///< Whose silence the link decides.
    };

    asio::io_context& m_context;
    node_id m_self;
    peer_link_policy m_policy;
    event_log& m_log;
    hooks m_hooks;
    std::unordered_map<std::string, link_entry> m_links;
    reachability m_reached;
};

/** Reads "address:port". \return nothing when it is not one. */
std::optional<asio::ip::tcp::endpoint> endpointFromText(std::string_view text);

} // namespace pomelohub
