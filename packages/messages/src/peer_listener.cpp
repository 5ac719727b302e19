#include "peer_listener.h"

#include "peer_client.h"

namespace pomelohub {

namespace {

    constexpr std::chrono::milliseconds handshakeTimeout { 2000 };
    constexpr std::chrono::milliseconds acceptRetryDelay { 100 };

    /** One TLS handshake of an accepted connection, with its timeout. */
    struct handshake : ref_counted<handshake> {
        handshake(asio::ip::tcp::socket socket, handle<tls_contexts> material)
            : contexts(std::move(material))
            , stream(std::move(socket), contexts->server)
            , timer(stream.get_executor())
        {
        }

        handle<tls_contexts> contexts;
        tls_stream stream;
        one_shot_timer timer;

        void start(std::function<void(const asio::error_code&)> done)
        {
            timer.startAfter(handshakeTimeout, [self = handle<handshake>(this)] {
                asio::error_code ignored; // The connection is given up anyway.
                self->stream.lowest_layer().close(ignored);
            });
            stream.async_handshake(asio::ssl::stream_base::server,
                [self = handle<handshake>(this), done = std::move(done)](const asio::error_code& error) {
                    self->timer.cancel();
                    done(error);
                });
        }
    };

} // namespace

peer_listener::peer_listener(
    asio::io_context& io, const rcu_cell<tls_contexts>& contexts, session_limits limits, clock_hook clock)
    : m_io(io)
    , m_contexts(contexts)
    , m_limits(limits)
    , m_clock(std::move(clock))
    , m_strand(asio::make_strand(io))
    , m_acceptor(m_strand)
    , m_acceptTimer(m_strand)
{
}

tl::expected<void, std::string> peer_listener::listen(const std::string& endpoint)
{
    auto parts = splitEndpoint(endpoint);
    asio::error_code error;
    auto address = asio::ip::make_address(parts ? parts->first : "", error);
    if (error)
        return tl::unexpected("not an address: " + endpoint);
    asio::ip::tcp::endpoint local(address, parts->second);
    m_acceptor.open(local.protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(local, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return tl::unexpected("cannot listen on " + endpoint + ": " + error.message());
    return {};
}

void peer_listener::start(incoming_hook incoming, std::function<void(const std::string&)> rejected)
{
    m_onIncoming = std::move(incoming);
    m_onRejected = std::move(rejected);
    asio::post(m_strand, [self = handle<peer_listener>(this)] { self->accept(); });
}

void peer_listener::accept()
{
    m_acceptor.async_accept(asio::make_strand(m_io),
        [self = handle<peer_listener>(this)](const asio::error_code& error, asio::ip::tcp::socket socket) {
            asio::post(self->m_strand, [self, error, socket = std::move(socket)]() mutable {
                if (error == asio::error::operation_aborted || self->m_isShuttingDown)
                    return;
                if (error)
                    return self->scheduleAccept();
                self->startHandshake(std::move(socket));
                self->accept();
            });
        });
}

void peer_listener::scheduleAccept()
{
    // An accept that fails at once, for example because there are no free file descriptors, is retried after
    // a delay rather than in a busy loop.
    m_acceptTimer.startAfter(acceptRetryDelay, [self = handle<peer_listener>(this)] { self->accept(); });
}

void peer_listener::startHandshake(asio::ip::tcp::socket socket)
{
    asio::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto contexts = boost::const_pointer_cast<tls_contexts>(m_contexts.load());
    handle<handshake> attempt(new handshake(std::move(socket), contexts));
    attempt->start([self = handle<peer_listener>(this), attempt](const asio::error_code& error) {
        if (error) {
            self->m_onRejected(error.message());
            return;
        }
        node_id peer(peerCommonName(attempt->stream.native_handle()));
        handle<peer_session> session(new peer_session(std::move(attempt->stream), attempt->contexts,
            session_role::server, peer, self->m_limits, self->m_clock));
        asio::post(self->m_strand, [self, session] { self->addSession(session); });
    });
}

void peer_listener::addSession(const handle<peer_session>& session)
{
    m_sessions.insert(session);
    m_sessionCount = m_sessions.size();
    session->start(m_onIncoming, [self = handle<peer_listener>(this), session] {
        asio::post(self->m_strand, [self, session] {
            self->m_sessions.erase(session);
            self->m_sessionCount = self->m_sessions.size();
        });
    });
    if (m_isShuttingDown)
        session->shutDown();
}

void peer_listener::shutDown()
{
    asio::post(m_strand, [self = handle<peer_listener>(this)] {
        self->m_isShuttingDown = true;
        for (const auto& session : self->m_sessions)
            session->shutDown();
    });
}

} // namespace pomelohub
