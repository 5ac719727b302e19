/** \file
 * The bytes that a process holds are bounded, whoever holds them: servers that answer without end, uploads,
 * replies of other nodes, and callers that do not read. Small messages pass all the while.
 */
#include "http_client.h"
#include "peer_link.h"

#include "loopback.h"

#include <list>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kilobyte = 1 << 10;
constexpr std::size_t megabyte = 1 << 20;
constexpr memory_limits limits { 8 * megabyte, 16 * megabyte };
/** What each message may add before a decision is made for it. */
constexpr std::size_t partBytes = growth_policy {}.smallMessageBytes + 16 * kilobyte;

struct memory_fixture {
    explicit memory_fixture(memory_limits bounds = limits)
        : account(bounds)
    {
    }

    asio::io_context context;
    memory_account account;
    receive_throttle throttle { context, account, {}, readSystemClock };
    std::size_t maxHeldBytes = 0;

    bool run(const std::function<bool()>& condition)
    {
        return runUntil(context, [&] {
            maxHeldBytes = std::max(maxHeldBytes, account.heldBytes());
            return condition();
        });
    }
};

/** Answers each connection with a head and then with bytes until the client closes. */
struct endless_server {
    endless_server(asio::io_context& context, std::string head, std::string part)
        : acceptor(context, freeEndpoint())
        , headText(std::move(head))
        , partText(std::move(part))
    {
        accept();
    }

    void accept()
    {
        acceptor.async_accept([this](std::error_code error, tcp::socket socket) {
            if (error)
                return;
            sockets.push_back(std::move(socket));
            auto& accepted = sockets.back();
            asio::write(accepted, asio::buffer(headText), error);
            send(accepted);
            accept();
        });
    }

    void send(tcp::socket& socket)
    {
        asio::async_write(
            socket, asio::buffer(partText), [this, &socket](std::error_code error, std::size_t) {
                if (error)
                    ++endedCount;
                else
                    send(socket);
            });
    }

    tcp::acceptor acceptor;
    std::string headText;
    std::string partText;
    std::list<tcp::socket> sockets;
    std::size_t endedCount = 0;
};

http_message makeRequest(std::string_view method, message_body body = {})
{
    http_message request;
    request.method = method;
    request.target = "/";
    request.fields.push_back({ "Host", "test" });
    request.body = std::move(body);
    return request;
}

/** One call on a connection of its own. */
struct single_call {
    single_call(asio::io_context& context, receive_throttle* throttle, const tcp::endpoint& server,
        const http_message& request)
        : connection(new http_client_connection(context, { 64 * kilobyte, 32 * megabyte }, throttle))
    {
        connection->call(
            server, request, 2s, 9s, [this](http_call_result result) { outcome = std::move(result); });
    }
    ~single_call() { connection->cancel(); }

    int status() const { return outcome && *outcome ? (*outcome)->status : 0; }

    handle<http_client_connection> connection;
    std::optional<http_call_result> outcome;
};

/** A server with limited memory whose handler is the test's. */
struct limited_server {
    limited_server(memory_fixture& fixture, http_handler handler, duration idleTimeout = 15s)
        : server(fixture.context,
            { std::move(handler),
                [idleTimeout] {
                    http_server_limits serverLimits;
                    serverLimits.idleTimeout = idleTimeout;
                    return serverLimits;
                },
                readSystemClock, nullptr, [&fixture] { return &fixture.throttle; },
                [this](http_message&&) { ++givenUpRequests; }, [this](std::size_t) { ++givenUpResponses; } })
        , endpoint(freeEndpoint())
    {
        REQUIRE_FALSE(server.listen(endpoint));
    }

    http_server server;
    tcp::endpoint endpoint;
    int givenUpRequests = 0;
    int givenUpResponses = 0;
};

} // namespace

TEST_CASE("Bytes may be released when the event loop that received them is gone")
{
    memory_account account(limits);
    memory_charge charge(&account, byte_holder::callerRequest);
    {
        asio::io_context context;
        receive_throttle throttle(context, account, {}, readSystemClock);
        charge.resize(limits.maxBytes);
    }
    charge.resize(0);
    CHECK(account.heldBytes() == 0);
}

TEST_CASE("Responses without end are given up at the bound, and small responses pass meanwhile")
{
    memory_fixture fixture;
    std::string head;
    std::string part(64 * kilobyte, 'y');
    SUBCASE("ended by the connection") { head = "HTTP/1.1 200 OK\r\n\r\n"; }
    SUBCASE("encoded") { head = "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n"; }
    SUBCASE("in chunks")
    {
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        part = "10000\r\n" + part + "\r\n";
    }
    endless_server endless(fixture.context, head, part);
    limited_server sound(fixture, [](http_message&&, handle<http_responder> responder) {
        responder->respond(makeResponse(200, "ok"));
    });
    constexpr std::size_t count = 10;
    std::list<single_call> calls;
    for (std::size_t i = 0; i < count; ++i)
        calls.emplace_back(
            fixture.context, &fixture.throttle, endless.acceptor.local_endpoint(), makeRequest("GET"));
    auto allEnded = [&] {
        return std::all_of(
            calls.begin(), calls.end(), [](const single_call& each) { return each.outcome.has_value(); });
    };
    int served = 0;
    while (!allEnded()) {
        single_call call(fixture.context, &fixture.throttle, sound.endpoint, makeRequest("GET"));
        REQUIRE(fixture.run([&] { return call.outcome.has_value(); }));
        CHECK(call.status() == 200);
        ++served;
    }
    CHECK(served > 0);
    for (const auto& each : calls) {
        REQUIRE_FALSE(*each.outcome);
        CHECK(each.outcome->error() == http_call_failure::memoryExhausted);
    }
    CHECK(fixture.maxHeldBytes <= limits.maxBytes + count * partBytes);
    CHECK(fixture.run([&] { return endless.endedCount == count; }));
    CHECK(fixture.account.heldBytes() == 0);
}

TEST_CASE("Bytes that are no response, or a length that cannot be true, end a call at once")
{
    memory_fixture fixture;
    std::string head;
    std::string part(64 * kilobyte, 'y');
    SUBCASE("noise") { head = "noise"; }
    SUBCASE("empty lines") { part = std::string(64 * kilobyte, '\n'); }
    SUBCASE("one header line") { head = "HTTP/1.1 200 OK\r\nX: "; }
    SUBCASE("header lines")
    {
        head = "HTTP/1.1 200 OK\r\n";
        part = "X: " + std::string(1000, 'y') + "\r\n";
    }
    SUBCASE("interim responses") { part = "HTTP/1.1 102 Processing\r\n\r\n"; }
    SUBCASE("a large length") { head = "HTTP/1.1 200 OK\r\nContent-Length: 100000000000000\r\n\r\n"; }
    SUBCASE("a chunk extension") { head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;"; }
    SUBCASE("trailers")
    {
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
        part = "X: " + std::string(1000, 'y') + "\r\n";
    }
    endless_server endless(fixture.context, head, part);
    single_call call(
        fixture.context, &fixture.throttle, endless.acceptor.local_endpoint(), makeRequest("GET"));
    auto start = std::chrono::steady_clock::now();
    REQUIRE(fixture.run([&] { return call.outcome.has_value(); }));
    CHECK(std::chrono::steady_clock::now() - start < 2s);
    CHECK_FALSE(*call.outcome);
    CHECK(fixture.maxHeldBytes <= partBytes);
}

TEST_CASE("Many large requests are received as far as there is memory, and all are served")
{
    memory_fixture fixture;
    std::list<std::pair<http_message, handle<http_responder>>> held;
    asio::steady_timer timer(fixture.context);
    std::function<void()> respondToOldest = [&] {
        if (!held.empty()) {
            auto [request, responder] = std::move(held.front());
            held.pop_front();
            responder->respond(makeResponse(200, std::to_string(request.body.size())));
        }
        timer.expires_after(2ms);
        timer.async_wait([&](std::error_code error) {
            if (!error)
                respondToOldest();
        });
    };
    limited_server server(fixture, [&](http_message&& request, handle<http_responder> responder) {
        held.emplace_back(std::move(request), std::move(responder));
    });
    respondToOldest();
    constexpr std::size_t count = 40;
    auto request = makeRequest("POST", std::string(megabyte, 'x'));
    std::list<single_call> calls;
    for (std::size_t i = 0; i < count; ++i)
        calls.emplace_back(fixture.context, nullptr, server.endpoint, request);
    REQUIRE(fixture.run([&] {
        return std::all_of(
            calls.begin(), calls.end(), [](const single_call& each) { return each.outcome.has_value(); });
    }));
    for (const auto& each : calls) {
        REQUIRE(each.status() == 200);
        CHECK((*each.outcome)->body == std::to_string(megabyte));
    }
    CHECK(server.givenUpRequests == 0);
    CHECK(fixture.maxHeldBytes <= limits.maxBytes + count * partBytes);
    timer.cancel();
}

TEST_CASE("A request that never fits is refused as not run, and the next one is served")
{
    memory_fixture fixture;
    int handled = 0;
    limited_server server(fixture, [&](http_message&&, handle<http_responder> responder) {
        ++handled;
        responder->respond(makeResponse(200, "ok"));
    });
    single_call large(
        fixture.context, nullptr, server.endpoint, makeRequest("POST", std::string(20 * megabyte, 'x')));
    REQUIRE(fixture.run([&] { return large.outcome.has_value(); }));
    CHECK(large.status() == 503);
    CHECK((*large.outcome)->hasField("Retry-After"));
    CHECK(server.givenUpRequests == 1);
    CHECK(handled == 0);
    single_call small(fixture.context, nullptr, server.endpoint, makeRequest("POST", "x"));
    REQUIRE(fixture.run([&] { return small.outcome.has_value(); }));
    CHECK(small.status() == 200);
}

TEST_CASE("Callers that never read lose their connections, and do not keep others from being served")
{
    memory_fixture fixture;
    limited_server server(
        fixture,
        [&](http_message&& request, handle<http_responder> responder) {
            auto size = request.target == "/large" ? 8 * megabyte : 2;
            auto response = makeResponse(200, "");
            response.body = fixture.throttle.makeBody(byte_holder::backendResponse);
            response.body.append(std::string(size, 'x'));
            responder->respond(std::move(response));
        },
        1500ms);
    constexpr std::size_t count = 8;
    std::list<tcp::socket> callers;
    for (std::size_t i = 0; i < count; ++i) {
        auto& socket = callers.emplace_back(fixture.context);
        socket.connect(server.endpoint);
        socket.set_option(asio::socket_base::receive_buffer_size(4096));
        asio::write(socket, asio::buffer(std::string("GET /large HTTP/1.1\r\nHost: test\r\n\r\n")));
    }
    REQUIRE(fixture.run([&] { return fixture.account.heldBytes() > limits.maxBytes; }));
    single_call small(fixture.context, &fixture.throttle, server.endpoint, makeRequest("GET"));
    REQUIRE(fixture.run([&] { return small.outcome.has_value(); }));
    CHECK(small.status() == 200);
    small.outcome.reset();
    CHECK(fixture.run([&] { return fixture.account.heldBytes() == 0; }));
    CHECK(server.givenUpResponses == count);
}

TEST_CASE("Large replies of another node are received as far as there is memory, and small ones pass")
{
    constexpr std::size_t count = 20;
    constexpr std::size_t windowBytes = 256 * kilobyte; // What a node may send before it is allowed to go on.
    std::size_t replyBytes = megabyte;
    auto bounds = limits;
    SUBCASE("one after the other") { }
    SUBCASE("beyond the bound")
    {
        replyBytes = 8 * megabyte;
        bounds = { megabyte, 2 * megabyte };
    }
    memory_fixture fixture(bounds);
    std::vector<handle<peer_request>> requests;
    handle<peer_link> server;
    tcp::acceptor acceptor(fixture.context, freeEndpoint());
    acceptor.async_accept([&](std::error_code error, tcp::socket socket) {
        REQUIRE_FALSE(error);
        server = peer_link::makeServer(std::move(socket), {},
            { nullptr, nullptr, [&](handle<peer_request> request) { requests.push_back(std::move(request)); },
                readSystemClock });
        server->start();
    });
    auto client = peer_link::makeClient(
        fixture.context, {}, { nullptr, nullptr, nullptr, readSystemClock, nullptr, &fixture.throttle });
    client->connect(acceptor.local_endpoint());
    std::size_t replies = 0;
    std::size_t failures = 0;
    std::size_t smallReplies = 0;
    for (std::size_t i = 0; i < count; ++i) {
        client->call({ { { "type", "large" } }, "" }, false,
            { nullptr, [&](peer_message&& message) { replies += message.payload.size() == replyBytes; },
                [&](peer_call_failure why) { failures += why == peer_call_failure::streamLost; } });
    }
    REQUIRE(fixture.run([&] { return requests.size() == count; }));
    for (const auto& request : requests)
        request->reply({ {}, std::string(replyBytes, 'x') });
    requests.clear();
    while (replies + failures < count) {
        bool isDone = false;
        client->call({ { { "type", "small" } }, "" }, false,
            { nullptr,
                [&](peer_message&&) {
                    ++smallReplies;
                    isDone = true;
                },
                [&](peer_call_failure) { isDone = true; } });
        REQUIRE(fixture.run([&] { return !requests.empty(); }));
        requests.back()->reply({ {}, "ok" });
        requests.clear();
        REQUIRE(fixture.run([&] { return isDone; }));
    }
    CHECK(smallReplies > 0);
    CHECK(client->isOpen());
    CHECK((replyBytes > bounds.maxBytes ? failures : replies) == count);
    CHECK(fixture.maxHeldBytes <= bounds.maxBytes + count * windowBytes);
    CHECK(fixture.account.heldBytes() == 0);
    client->close();
    server->close();
}

TEST_CASE("A request that another node cannot hold is told to be not run")
{
    memory_fixture fixture({ megabyte, 2 * megabyte });
    std::vector<handle<peer_request>> requests;
    int cancelled = 0;
    handle<peer_link> server;
    tcp::acceptor acceptor(fixture.context, freeEndpoint());
    acceptor.async_accept([&](std::error_code error, tcp::socket socket) {
        REQUIRE_FALSE(error);
        server = peer_link::makeServer(std::move(socket), {},
            { nullptr, nullptr,
                [&](const handle<peer_request>& request) {
                    request->onCancelled = [&] { ++cancelled; };
                    request->grant();
                    requests.push_back(request);
                },
                readSystemClock, nullptr, &fixture.throttle });
        server->start();
    });
    auto client = peer_link::makeClient(fixture.context, {}, { nullptr, nullptr, nullptr, readSystemClock });
    client->connect(acceptor.local_endpoint());
    std::optional<peer_call_failure> failure;
    handle<peer_call> call;
    call = client->call({ { { "type", "t" } }, std::string(8 * megabyte, 'x') }, true,
        { [&] { call->commit(); }, nullptr, [&](peer_call_failure why) { failure = why; } });
    REQUIRE(fixture.run([&] { return failure.has_value(); }));
    CHECK(*failure == peer_call_failure::notSent);
    CHECK(cancelled == 1);
    CHECK(fixture.maxHeldBytes <= 2 * megabyte + partBytes);
    CHECK(fixture.account.heldBytes() == 0);
    requests.clear();
    client->close();
    server->close();
}
