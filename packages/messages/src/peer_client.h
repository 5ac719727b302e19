/** \file
 * Defines peer_client, which manages the connections that this node opens to its peers: one for each peer,
 * opened on demand and closed when idle.
 */
#pragma once

#include "member_sync.h"
#include "peer_session.h"

#include <deque>

namespace pomelohub {

/** Splits \p text of the form "address:port". \return nothing when it has another form. */
std::optional<std::pair<std::string, std::uint16_t>> splitEndpoint(const std::string& text);

/** Thread safety: any thread. */
class peer_client : public ref_counted<peer_client> {
public:
    /** \param contexts is read for each new connection, so that certificates can be replaced at run time. */
    peer_client(asio::io_context& io, const rcu_cell<tls_contexts>& contexts, session_limits limits,
        clock_hook clock);

    /** Sends \p outgoing to \p peer, and opens a connection if there is none. When connecting fails, the
     * exchange is refused with execution::notRun. */
    void send(const peer_address& peer, const handle<exchange>& outgoing);

    /** Closes each connection once its streams have ended. */
    void shutDown();

private:
    struct connection : ref_counted<connection> {
        handle<peer_session> session; ///< Null until the handshake is complete.
        std::deque<handle<exchange>> pending;
    };

    void sendOnStrand(const peer_address& peer, const handle<exchange>& outgoing);
    void connect(const peer_address& peer, const handle<connection>& newConnection);
    void onConnected(const peer_address& peer, const handle<connection>& newConnection,
        const handle<peer_session>& session);
    void onConnectFailed(
        const peer_address& peer, const handle<connection>& newConnection, const std::string& reason);

    asio::io_context& m_io;
    const rcu_cell<tls_contexts>& m_contexts;
    session_limits m_limits;
    clock_hook m_clock;
    asio::strand<asio::io_context::executor_type> m_strand;
    std::map<std::string, handle<connection>> m_connections; ///< By endpoint.
};

} // namespace pomelohub
