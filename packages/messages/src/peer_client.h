/** \file
 * Defines peer_client, the connections that this node opens to others: one for each other node in use, made
 * on demand and closed when idle.
 */
#pragma once

#include "member_sync.h"
#include "peer_session.h"

#include <deque>

namespace pomelohub {

/** Splits "address:port". \return nothing when \p text is not such. */
std::optional<std::pair<std::string, std::uint16_t>> splitEndpoint(const std::string& text);

/** Thread safety: any thread. */
class peer_client : public ref_counted<peer_client> {
public:
    /** \param contexts is read again for each new connection, so that certificates can be replaced. */
    peer_client(asio::io_context& io, const rcu_cell<tls_contexts>& contexts, session_limits limits,
        clock_hook clock);

    /** Sends \p asked to \p peer, over a new connection if none is open. A failure to connect refuses it with
     * "not run". */
    void send(const peer_address& peer, const handle<exchange>& asked);

    /** Closes all connections once their streams have ended. */
    void shutDown();

private:
    struct connection : ref_counted<connection> {
        handle<peer_session> session; ///< Null while connecting.
        std::deque<handle<exchange>> waiting;
    };

    void sendNow(const peer_address& peer, const handle<exchange>& asked);
    void connect(const peer_address& peer, const handle<connection>& made);
    void established(
        const peer_address& peer, const handle<connection>& made, const handle<peer_session>& session);
    void failed(const peer_address& peer, const handle<connection>& made, const std::string& why);

    asio::io_context& m_io;
    const rcu_cell<tls_contexts>& m_contexts;
    session_limits m_limits;
    clock_hook m_clock;
    asio::strand<asio::io_context::executor_type> m_strand;
    std::map<std::string, handle<connection>> m_connections; ///< By endpoint.
};

} // namespace pomelohub
