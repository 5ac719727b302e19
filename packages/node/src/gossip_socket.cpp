#include "gossip_socket.h"

#include "peer_client.h"

namespace pomelohub {

static std::optional<asio::ip::udp::endpoint> toUdpEndpoint(const std::string& text)
{
    auto parts = splitEndpoint(text);
    if (!parts)
        return std::nullopt;
    asio::error_code error;
    auto address = asio::ip::make_address(parts->first, error);
    return error ? std::nullopt : std::optional(asio::ip::udp::endpoint(address, parts->second));
}

gossip_socket::gossip_socket(const strand& executor, datagram_sealer sealer, node_metrics& metrics)
    : m_socket(executor)
    , m_sealer(std::move(sealer))
    , m_metrics(metrics)
{
}

tl::expected<void, std::string> gossip_socket::open(const std::string& endpoint)
{
    auto local = toUdpEndpoint(endpoint);
    if (!local)
        return tl::unexpected("not an IP address and port: " + endpoint);
    asio::error_code error;
    m_socket.open(local->protocol(), error);
    if (!error)
        m_socket.bind(*local, error);
    if (error)
        return tl::unexpected("cannot open UDP socket on " + endpoint + ": " + error.message());
    return {};
}

void gossip_socket::start(std::function<void(const gossip_message&)> onMessage)
{
    m_onMessage = std::move(onMessage);
    receive();
}

void gossip_socket::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender,
        [self = handle<gossip_socket>(this)](const asio::error_code& error, std::size_t bytes) {
            if (error == asio::error::operation_aborted || !self->m_socket.is_open())
                return;
            if (!error)
                self->handleDatagram({ self->m_buffer.data(), bytes });
            self->receive();
        });
}

void gossip_socket::handleDatagram(std::string_view datagram)
{
    m_metrics.countControlBytes(0, datagram.size());
    auto plain = m_sealer.open(datagram);
    auto message = plain ? decodeGossip(*plain) : std::nullopt;
    if (!message) {
        m_metrics.countBadInput("datagrams");
        return;
    }
    m_onMessage(*message);
}

void gossip_socket::send(const outgoing_gossip& outgoing)
{
    auto target = toUdpEndpoint(outgoing.endpoint);
    if (!target || !m_socket.is_open())
        return;
    auto datagram = m_sealer.seal(encode(outgoing.message));
    asio::error_code ignored;
    // Send errors, such as a full socket buffer, are treated like datagram loss in the network.
    m_socket.send_to(asio::buffer(datagram), *target, 0, ignored);
    m_metrics.countControlBytes(datagram.size(), 0);
}

void gossip_socket::close()
{
    asio::error_code ignored;
    m_socket.close(ignored);
}

} // namespace pomelohub
