/** \file
 * How long a node waits for the reply to a request of its own.
 */
#include "peer_forwarder.h"

#include "loopback.h"

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

/** Relays one connection and limits the rate of the bytes towards the side that connected. */
struct slow_link {
    static constexpr std::size_t bytesPerStep = 12'500; ///< 10 Mbit/s in steps of 10 ms.

    slow_link(asio::io_context& context, const tcp::endpoint& target)
        : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , near(context)
        , far(context)
        , timer(context)
    {
        acceptor.async_accept(near, [this, target](std::error_code error) {
            REQUIRE_FALSE(error);
            far.connect(target);
            forwardRequests();
            forwardReplies();
        });
    }

    void forwardRequests()
    {
        near.async_read_some(asio::buffer(fromNear), [this](std::error_code error, std::size_t length) {
            if (error)
                return;
            asio::write(far, asio::buffer(fromNear, length), error);
            forwardRequests();
        });
    }

    void forwardReplies()
    {
        timer.expires_after(10ms);
        timer.async_wait([this](std::error_code error) {
            if (error || isStalled)
                return;
            far.async_read_some(asio::buffer(fromFar), [this](std::error_code error, std::size_t length) {
                if (error)
                    return;
                asio::write(near, asio::buffer(fromFar, length), error);
                forwardReplies();
            });
        });
    }

    tcp::acceptor acceptor;
    tcp::socket near;
    tcp::socket far;
    asio::steady_timer timer;
    std::array<char, 16'384> fromNear {};
    std::array<char, bytesPerStep> fromFar {};
    bool isStalled = false;
};

struct forwarder_fixture {
    static constexpr std::size_t replyBytes = 1'500'000;

    asio::io_context context;
    tcp::acceptor acceptor { context, tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
    handle<peer_link> served;
    slow_link link { context, acceptor.local_endpoint() };
    peer_forwarder forwarder { context, node_id("self"), {}, quietLog(), { readSystemClock, nullptr } };
    std::optional<std::optional<peer_message>> reply;

    forwarder_fixture()
    {
        acceptor.async_accept([this](std::error_code error, tcp::socket socket) {
            REQUIRE_FALSE(error);
            served = peer_link::makeServer(std::move(socket), {},
                { nullptr, nullptr,
                    [](const handle<peer_request>& request) {
                        request->reply({ {}, std::string(replyBytes, 'x') });
                    },
                    readSystemClock });
            served->start();
        });
        forwarder.sendRequest(textOf(link.acceptor.local_endpoint()), { { { "type", "gossip" } }, "" }, 400ms,
            [this](std::optional<peer_message> received) { reply = std::move(received); });
    }

    ~forwarder_fixture()
    {
        forwarder.closeLinksExcept({});
        if (served)
            served->close();
    }
};

} // namespace

TEST_CASE("A reply that keeps arriving over a slow link is not given up")
{
    forwarder_fixture fixture;
    CHECK(runUntil(fixture.context, [&] { return fixture.reply.has_value(); }));
    REQUIRE(*fixture.reply);
    CHECK((*fixture.reply)->payload.size() == forwarder_fixture::replyBytes);
}

TEST_CASE("A reply that stops arriving is given up")
{
    forwarder_fixture fixture;
    CHECK(runUntil(fixture.context, [&] { return fixture.served != nullptr; }));
    fixture.link.isStalled = true;
    CHECK(runUntil(fixture.context, [&] { return fixture.reply.has_value(); }));
    CHECK_FALSE(*fixture.reply);
}
