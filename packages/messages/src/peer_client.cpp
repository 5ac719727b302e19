#include "peer_client.h"

#include "parse_number.h"

namespace pomelohub {

namespace {

    constexpr std::chrono::milliseconds connectTimeout { 1000 };

    /** One attempt to connect, with its timeout. Runs on a strand of its own. */
    struct connect_attempt : ref_counted<connect_attempt> {
        using completion_hook = std::function<void(handle<peer_session>, const std::string& reason)>;

        connect_attempt(asio::io_context& io, handle<tls_contexts> material)
            : contexts(std::move(material))
            , stream(asio::ip::tcp::socket(asio::make_strand(io)), contexts->client)
            , timer(stream.get_executor())
        {
        }

        handle<tls_contexts> contexts;
        tls_stream stream;
        one_shot_timer timer;
        peer_address peer;
        session_limits limits;
        clock_hook clock;
        completion_hook done;

        void start()
        {
            auto parts = splitEndpoint(peer.endpoint);
            asio::error_code error;
            auto address = asio::ip::make_address(parts ? parts->first : "", error);
            if (error)
                return end("not an address: " + peer.endpoint);
            timer.startAfter(connectTimeout, [self = handle<connect_attempt>(this)] {
                asio::error_code ignored; // The attempt is given up anyway.
                self->stream.lowest_layer().close(ignored);
            });
            stream.lowest_layer().async_connect({ address, parts->second },
                [self = handle<connect_attempt>(this)](const asio::error_code& failure) {
                    if (failure)
                        return self->end(failure.message());
                    self->startHandshake();
                });
        }
        void startHandshake()
        {
            stream.lowest_layer().set_option(asio::ip::tcp::no_delay(true));
            stream.async_handshake(asio::ssl::stream_base::client,
                [self = handle<connect_attempt>(this)](const asio::error_code& failure) {
                    if (failure)
                        return self->end(failure.message());
                    if (peerCommonName(self->stream.native_handle()) != self->peer.node.text())
                        return self->end("another node answers there");
                    self->timer.cancel();
                    handle<peer_session> session(new peer_session(std::move(self->stream), self->contexts,
                        session_role::client, self->peer.node, self->limits, self->clock));
                    std::exchange(self->done, nullptr)(session, "");
                });
        }
        void end(const std::string& reason)
        {
            timer.cancel();
            asio::error_code ignored;
            stream.lowest_layer().close(ignored);
            std::exchange(done, nullptr)(nullptr, reason);
        }
    };

} // namespace

std::optional<std::pair<std::string, std::uint16_t>> splitEndpoint(const std::string& text)
{
    auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    auto port = parseNumber<std::uint16_t>(std::string_view(text).substr(colon + 1));
    return port ? std::optional(std::pair(text.substr(0, colon), *port)) : std::nullopt;
}

peer_client::peer_client(
    asio::io_context& io, const rcu_cell<tls_contexts>& contexts, session_limits limits, clock_hook clock)
    : m_io(io)
    , m_contexts(contexts)
    , m_limits(limits)
    , m_clock(std::move(clock))
    , m_strand(asio::make_strand(io))
{
}

void peer_client::send(const peer_address& peer, const handle<exchange>& outgoing)
{
    asio::post(
        m_strand, [self = handle<peer_client>(this), peer, outgoing] { self->sendOnStrand(peer, outgoing); });
}

void peer_client::sendOnStrand(const peer_address& peer, const handle<exchange>& outgoing)
{
    auto& entry = m_connections[peer.endpoint];
    if (entry && entry->session && !entry->session->isClosing()) {
        entry->session->submit(outgoing);
        return;
    }
    if (!entry || entry->session) {
        entry = new connection;
        connect(peer, entry);
    }
    entry->pending.push_back(outgoing);
}

void peer_client::connect(const peer_address& peer, const handle<connection>& newConnection)
{
    auto contexts = boost::const_pointer_cast<tls_contexts>(m_contexts.load());
    handle<connect_attempt> attempt(new connect_attempt(m_io, contexts));
    attempt->peer = peer;
    attempt->limits = m_limits;
    attempt->clock = m_clock;
    attempt->done = [self = handle<peer_client>(this), peer, newConnection](
                        const handle<peer_session>& session, const std::string& reason) {
        asio::post(self->m_strand, [self, peer, newConnection, session, reason] {
            if (session)
                self->onConnected(peer, newConnection, session);
            else
                self->onConnectFailed(peer, newConnection, reason);
        });
    };
    asio::post(attempt->stream.get_executor(), [attempt] { attempt->start(); });
}

void peer_client::onConnected(
    const peer_address& peer, const handle<connection>& newConnection, const handle<peer_session>& session)
{
    newConnection->session = session;
    auto removeConnection = [self = handle<peer_client>(this), endpoint = peer.endpoint, newConnection] {
        asio::post(self->m_strand, [self, endpoint, newConnection] {
            auto found = self->m_connections.find(endpoint);
            if (found != self->m_connections.end() && found->second == newConnection)
                self->m_connections.erase(found);
            newConnection->session = nullptr;
        });
    };
    session->start([](const handle<exchange>&, const node_id&) {}, removeConnection);
    for (const auto& outgoing : std::exchange(newConnection->pending, {}))
        session->submit(outgoing);
}

void peer_client::onConnectFailed(
    const peer_address& peer, const handle<connection>& newConnection, const std::string& reason)
{
    auto found = m_connections.find(peer.endpoint);
    if (found != m_connections.end() && found->second == newConnection)
        m_connections.erase(found);
    for (const auto& outgoing : std::exchange(newConnection->pending, {}))
        outgoing->refuse({ execution::notRun, refusal_reason::pathFailed,
            "no connection to " + peer.node.text() + ": " + reason, {} });
}

void peer_client::shutDown()
{
    asio::post(m_strand, [self = handle<peer_client>(this)] {
        for (auto& [endpoint, entry] : self->m_connections) {
            if (entry->session)
                entry->session->shutDown();
        }
    });
}

} // namespace pomelohub
