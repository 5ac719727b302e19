/** \file
 * Defines gossip_socket, which sends and receives sealed gossip datagrams over UDP.
 */
#pragma once

#include "node_messages.h"
#include "node_metrics.h"
#include "sealed_datagram.h"

#include <asio.hpp>
#include <tl/expected.hpp>

namespace pomelohub {

/** Thread safety: construction and open() before use; send() and the receive hook on the given strand. */
class gossip_socket : public ref_counted<gossip_socket> {
public:
    using strand = asio::strand<asio::io_context::executor_type>;

    gossip_socket(const strand& executor, datagram_sealer sealer, node_metrics& metrics);

    /** Binds \p endpoint. \return an error message on failure. */
    tl::expected<void, std::string> open(const std::string& endpoint);

    /** Starts receiving. Datagrams that cannot be unsealed or decoded are counted and dropped. */
    void start(std::function<void(const gossip_message&)> onMessage);

    void send(const outgoing_gossip& outgoing);
    void close();

private:
    static constexpr std::size_t maxDatagramBytes = 64 * 1024;

    void receive();
    void handleDatagram(std::string_view datagram);

    asio::ip::udp::socket m_socket;
    datagram_sealer m_sealer;
    node_metrics& m_metrics;
    std::function<void(const gossip_message&)> m_onMessage;
    std::array<char, maxDatagramBytes> m_buffer;
    asio::ip::udp::endpoint m_sender;
};

} // namespace pomelohub
