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

namespace {

/** A node that answers every request, and a forwarder that knows it. */
struct peer_fixture {
    asio::io_context context;
    tcp::acceptor acceptor { context, tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
    std::vector<handle<peer_link>> served;
    std::vector<tcp::socket> muted;
    bool isMute = false;
    std::optional<peer_forwarder> forwarder;
    handle<peer_state> peer;

    explicit peer_fixture(peer_link_policy policy)
    {
        forwarder.emplace(
            context, node_id("self"), policy, quietLog(), peer_forwarder::hooks { readSystemClock, nullptr });
        instance_announcement announced;
        announced.node = node_id("other");
        announced.endpoint = textOf(acceptor.local_endpoint());
        peer = handle<peer_state>(new peer_state(announced));
        accept();
    }

    ~peer_fixture()
    {
        forwarder->closeLinksExcept({});
        for (const auto& each : served)
            each->close();
    }

    void accept()
    {
        acceptor.async_accept([this](std::error_code error, tcp::socket socket) {
            if (error)
                return;
            if (isMute) {
                muted.push_back(std::move(socket));
            } else {
                served.push_back(peer_link::makeServer(std::move(socket), {},
                    { nullptr, nullptr, [](const handle<peer_request>& request) { request->reply({}); },
                        readSystemClock }));
                served.back()->start();
            }
            accept();
        });
    }

    /** Sends a request and waits for its reply or its failure. */
    bool ask()
    {
        std::optional<bool> hasReply;
        forwarder->sendRequest(peer->announcement.endpoint, { { { "type", "gossip" } }, "" }, 5s,
            [&](const std::optional<peer_message>& received) { hasReply = received.has_value(); });
        runUntil(context, [&] { return hasReply.has_value(); });
        return hasReply.value_or(false);
    }
};

} // namespace

TEST_CASE("A node whose unresponsive link was replaced by one that works is responsive again")
{
    peer_link_policy policy;
    policy.pingInterval = 5ms;
    policy.unresponsiveAfter = 20ms;
    peer_fixture fixture(policy);
    fixture.isMute = true;
    auto call = fixture.forwarder->forward(fixture.peer, {}, [](const forward_reply&) {});
    REQUIRE(runUntil(fixture.context, [&] { return fixture.peer->isUnresponsive.load(); }));
    fixture.isMute = false;
    CHECK(fixture.ask());
    CHECK_FALSE(fixture.peer->isUnresponsive);
    call->cancel();
}

TEST_CASE("A link that is closed because it was idle is not a failure of its node")
{
    peer_link_policy policy;
    policy.idlePingInterval = 20ms;
    policy.idleTimeout = 50ms;
    peer_fixture fixture(policy);
    REQUIRE(fixture.ask());
    CHECK(fixture.forwarder->linkCount() == 1);
    CHECK(runUntil(fixture.context, [&] { return fixture.forwarder->linkCount() == 0; }));
    auto now = readSystemClock().monotonic;
    CHECK_FALSE(
        fixture.forwarder->nodeReachability().isUnreachable(fixture.peer->announcement.endpoint, now));
    CHECK_FALSE(fixture.peer->isAvoided(now));
    CHECK(fixture.ask());
}
