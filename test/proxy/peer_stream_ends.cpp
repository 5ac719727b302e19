/** \file
 * The HTTP/2 session of a link points to calls and requests until their streams have closed, however they
 * end. Each end is played while a large payload is partly sent; AddressSanitizer reports a pointer that is
 * left behind.
 */
#include "peer_link.h"

#include "loopback.h"

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

/** More than the flow control windows and the socket buffers take at once. */
constexpr std::size_t largeBytes = 24 << 20;

/** Two linked nodes. The server does not read while isServerPaused, so that payloads stay partly sent. */
struct stream_fixture {
    asio::io_context context;
    asio::io_context serverContext;
    std::vector<handle<peer_request>> requests;
    handle<peer_link> server;
    handle<peer_link> client;
    bool isServerPaused = false;

    stream_fixture()
    {
        tcp::acceptor acceptor(context, freeEndpoint());
        tcp::socket accepted(serverContext);
        client = peer_link::makeClient(context, {}, { nullptr, nullptr, nullptr, readSystemClock });
        client->connect(acceptor.local_endpoint());
        acceptor.accept(accepted);
        server = peer_link::makeServer(std::move(accepted), {},
            { nullptr, nullptr, [this](handle<peer_request> request) { requests.push_back(request); },
                readSystemClock });
        server->start();
        REQUIRE(run([&] { return client->isConnected(); }));
    }

    ~stream_fixture()
    {
        requests.clear();
        client->close();
        server->close();
        run([] { return false; }, 20ms);
    }

    bool run(const std::function<bool()>& condition, duration bound = 10s)
    {
        auto end = std::chrono::steady_clock::now() + bound;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            context.restart();
            context.run_for(1ms);
            serverContext.restart();
            if (!isServerPaused)
                serverContext.run_for(1ms);
        }
        return true;
    }

    /** Both links still carry a request. */
    bool isServing()
    {
        isServerPaused = false;
        auto known = requests.size();
        bool isReplied = false;
        auto call = client->call({ { { "type", "t" } }, "x" }, false,
            { nullptr, [&](peer_message&&) { isReplied = true; }, nullptr });
        if (!run([&] { return requests.size() > known; }))
            return false;
        requests.back()->reply({});
        return run([&] { return isReplied; });
    }
};

/** A granted offer whose payload is partly sent. */
struct partly_sent_call {
    explicit partly_sent_call(stream_fixture& fixture, std::function<void()> onEnd = nullptr)
    {
        auto call = fixture.client->call({ { { "type", "t" } }, std::string(largeBytes, 'x') }, true,
            { [this] { isGranted = true; },
                [this, onEnd](peer_message&&) {
                    isReplied = true;
                    if (onEnd)
                        onEnd();
                },
                [this, onEnd](peer_call_failure) {
                    hasFailed = true;
                    if (onEnd)
                        onEnd();
                } });
        handleOfCall = call;
        REQUIRE(fixture.run([&] { return !fixture.requests.empty(); }));
        fixture.requests.back()->grant();
        REQUIRE(fixture.run([&] { return isGranted; }));
        fixture.isServerPaused = true;
        call->commit();
        fixture.run([] { return false; }, 20ms);
    }

    handle<peer_call> handleOfCall; ///< As the owner of a call holds it until the call ends.
    bool isGranted = false;
    bool isReplied = false;
    bool hasFailed = false;
};

} // namespace

TEST_CASE(
    "A node that refuses an offer after its grant, while the payload is being sent, harms no other call")
{
    stream_fixture fixture;
    partly_sent_call call(fixture);
    fixture.requests.back()->reply({ { { "no", "1" } }, "" });
    fixture.requests.clear();
    call.handleOfCall = nullptr;
    REQUIRE(fixture.run([&] {
        fixture.isServerPaused = false;
        return call.isReplied;
    }));
    CHECK(fixture.isServing());
    CHECK(fixture.run([&] { return fixture.client->streamCount() == 0; }));
    CHECK(fixture.run([&] { return fixture.server->streamCount() == 0; }));
}

TEST_CASE("A call may be cancelled while its payload is being sent")
{
    stream_fixture fixture;
    partly_sent_call call(fixture);
    call.handleOfCall->cancel();
    call.handleOfCall = nullptr;
    CHECK(fixture.isServing());
    CHECK_FALSE(call.hasFailed);
    CHECK(fixture.run([&] { return fixture.client->streamCount() == 0; }));
}

TEST_CASE("A link may be closed while a payload is being sent, also by the owner of a call that fails")
{
    stream_fixture fixture;
    std::function<void()> onEnd;
    SUBCASE("by the client") { }
    SUBCASE("by the client, inside the failure of a call")
    {
        onEnd = [&] { fixture.client->close(); };
    }
    partly_sent_call first(fixture, onEnd);
    first.handleOfCall = nullptr;
    bool hasSecondFailed = false;
    auto second = fixture.client->call({ { { "type", "t" } }, std::string(largeBytes, 'y') }, false,
        { nullptr, nullptr, [&](peer_call_failure) { hasSecondFailed = true; } });
    second = nullptr;
    if (onEnd) {
        fixture.isServerPaused = false;
        fixture.server->close();
    } else {
        fixture.client->close();
    }
    CHECK(fixture.run([&] { return first.hasFailed && hasSecondFailed; }));
    CHECK_FALSE(fixture.client->isOpen());
}

TEST_CASE("A call on a closed link fails as not sent, and leaves nothing behind")
{
    stream_fixture fixture;
    fixture.client->close();
    std::optional<peer_call_failure> failure;
    fixture.client->call({ { { "type", "t" } }, "x" }, false,
        { nullptr, nullptr, [&](peer_call_failure why) { failure = why; } });
    REQUIRE(fixture.run([&] { return failure.has_value(); }));
    CHECK(*failure == peer_call_failure::notSent);
}

TEST_CASE("A reply may lose its caller, its link or its request while it is being sent")
{
    stream_fixture fixture;
    bool hasFailed = false;
    auto call = fixture.client->call({ { { "type", "t" } }, "x" }, false,
        { nullptr, nullptr, [&](peer_call_failure) { hasFailed = true; } });
    REQUIRE(fixture.run([&] { return fixture.requests.size() == 1; }));
    fixture.requests.back()->reply({ {}, std::string(largeBytes, 'x') });
    fixture.requests.clear();
    fixture.run([&] { return call->receivedBytes() > 0; });
    SUBCASE("the caller")
    {
        call->cancel();
        call = nullptr;
        CHECK(fixture.isServing());
        CHECK_FALSE(hasFailed);
    }
    SUBCASE("the link, at the end that sends it")
    {
        call = nullptr;
        fixture.server->close();
        CHECK(fixture.run([&] { return hasFailed; }));
    }
    SUBCASE("the link, at the end that receives it")
    {
        call = nullptr;
        fixture.client->close();
        CHECK(hasFailed);
        CHECK(fixture.run([&] { return !fixture.server->isOpen(); }));
    }
}

TEST_CASE("A second reply to a request is ignored")
{
    stream_fixture fixture;
    std::optional<peer_message> reply;
    auto call = fixture.client->call({ { { "type", "t" } }, "x" }, false,
        { nullptr, [&](peer_message&& message) { reply = std::move(message); }, nullptr });
    REQUIRE(fixture.run([&] { return fixture.requests.size() == 1; }));
    fixture.requests.back()->reply({ {}, "first" });
    fixture.requests.back()->reply({ {}, "second" });
    REQUIRE(fixture.run([&] { return reply.has_value(); }));
    CHECK(reply->payload == "first");
    CHECK(fixture.isServing());
}
