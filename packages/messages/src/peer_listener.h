/** \file
 * Defines peer_listener, which accepts connections from other nodes only: the TLS handshake fails for a
 * client without a certificate of the fleet's certificate authority.
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

    /** Binds \p endpoint, which no other process may have bound, and listens on it.
     * \return a message with the reason when that fails. */
    tl::expected<void, std::string> listen(const std::string& endpoint);

    /** Starts to accept connections. \param rejected is called with the reason of each failed handshake. */
    void start(incoming_hook incoming, std::function<void(const std::string&)> rejected);

    /** Closes each session once its streams have ended, and stops accepting. The port stays bound. */
    void shutDown();

    /** The number of open sessions. */
    std::size_t sessionCount() const { return m_sessionCount.load(); }

private:
    void accept();
    void scheduleAccept();
    void startHandshake(asio::ip::tcp::socket socket);
    void addSession(const handle<peer_session>& session);

    asio::io_context& m_io;
    const rcu_cell<tls_contexts>& m_contexts;
    session_limits m_limits;
    clock_hook m_clock;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::ip::tcp::acceptor m_acceptor;
    one_shot_timer m_acceptTimer;
    incoming_hook m_onIncoming;
    std::function<void(const std::string&)> m_onRejected;
    std::set<handle<peer_session>> m_sessions;
    std::atomic<std::size_t> m_sessionCount { 0 };
    bool m_isShuttingDown = false;
};

} // namespace pomelohub
