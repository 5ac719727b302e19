/** \file
 * Defines peer_listener, which accepts connections from other nodes and from nobody else: without a
 * certificate of the fleet's authority a connection ends in the handshake.
 */
#pragma once

#include "peer_session.h"

#include <set>

namespace pomelohub {

/** Thread safety: any thread. */
class peer_listener : public ref_counted<peer_listener> {
public:
    peer_listener(asio::io_context& io, const rcu_cell<tls_contexts>& contexts, session_limits limits,
        clock_hook clock);

    /** Binds \p endpoint exclusively. \return a text that says why that failed. */
    tl::expected<void, std::string> listen(const std::string& endpoint);

    /** Accepts from now on. \param rejected is called with the cause of each failed handshake. */
    void start(incoming_hook incoming, std::function<void(const std::string&)> rejected);

    /** Accepts no more and ends each session when its streams have ended. The port stays bound. */
    void shutDown();

    /** Sessions that are open at present. */
    std::size_t sessionCount() const { return m_sessionCount.load(); }

private:
    void accept();
    void acceptLater();
    void shakeHands(asio::ip::tcp::socket socket);
    void established(const handle<peer_session>& session);

    asio::io_context& m_io;
    const rcu_cell<tls_contexts>& m_contexts;
    session_limits m_limits;
    clock_hook m_clock;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer;
    incoming_hook m_incoming;
    std::function<void(const std::string&)> m_rejected;
    std::set<handle<peer_session>> m_sessions;
    std::atomic<std::size_t> m_sessionCount { 0 };
    bool m_isShuttingDown = false;
};

} // namespace pomelohub
