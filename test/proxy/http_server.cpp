/** \file
 * How callers' connections are served: order of answers, callers that leave, limits of time, and the end.
 */
#include "loopback.h"

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

struct server_fixture {
    asio::io_context context;
    http_server_limits limits;
    std::vector<http_message> requests;
    std::vector<handle<http_responder>> responders;
    int cancelled = 0;
    tcp::endpoint address = freeEndpoint();
    http_server server { context,
        { [this](http_message&& message, handle<http_responder> responder) {
             responder->onCancelled = [this] { ++cancelled; };
             requests.push_back(std::move(message));
             responders.push_back(std::move(responder));
         },
            [this] { return limits; }, readSystemClock, nullptr } };

    server_fixture() { REQUIRE_FALSE(server.listen(address)); }
    ~server_fixture()
    {
        for (const auto& each : responders) {
            each->onCancelled = nullptr;
            each->abort();
        }
    }

    bool run(const std::function<bool()>& condition) { return runUntil(context, condition); }
};

const std::string get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_CASE("Pipelined requests are all started, and their answers keep their order")
{
    server_fixture fixture;
    raw_caller caller(fixture.context, fixture.address);
    caller.write(get + get + get);
    REQUIRE(fixture.run([&] { return fixture.responders.size() == 3; }));
    fixture.responders[2]->respond(makeResponse(200, "third", "t"));
    fixture.responders[0]->respond(makeResponse(200, "first", "t"));
    REQUIRE(fixture.run([&] { return caller.received.ends_with("first"); }));
    fixture.responders[1]->respond(makeResponse(200, "second", "t"));
    REQUIRE(fixture.run([&] { return caller.received.ends_with("third"); }));
    CHECK(caller.received.find("first") < caller.received.find("second"));
}

TEST_CASE("A caller that leaves is noticed while its requests wait")
{
    server_fixture fixture;
    raw_caller caller(fixture.context, fixture.address);
    caller.write(get + get);
    REQUIRE(fixture.run([&] { return fixture.responders.size() == 2; }));
    caller.socket.close();
    CHECK(fixture.run([&] { return fixture.cancelled == 2; }));
    CHECK(fixture.server.pendingCount() == 0);
    fixture.responders[0]->respond(makeResponse(200, "late", "t"));
}

TEST_CASE("A request that cannot be read is answered after those before it, and ends the connection")
{
    server_fixture fixture;
    raw_caller caller(fixture.context, fixture.address);
    caller.write(get + "nonsense\r\n\r\n");
    REQUIRE(fixture.run([&] { return fixture.responders.size() == 1; }));
    fixture.responders[0]->respond(makeResponse(200, "first", "t"));
    REQUIRE(fixture.run([&] { return caller.isClosed; }));
    CHECK(caller.received.find("200") < caller.received.find("400 Bad Request"));
    CHECK_FALSE(caller.wasReset);
}

TEST_CASE("A head that takes too long gets 408, an idle connection is closed without a word")
{
    server_fixture fixture;
    fixture.limits.headerTimeout = 20ms;
    fixture.limits.idleTimeout = 20ms;
    raw_caller slow(fixture.context, fixture.address);
    slow.write("GET / HT");
    raw_caller idle(fixture.context, fixture.address);
    REQUIRE(fixture.run([&] { return slow.isClosed && idle.isClosed; }));
    CHECK(slow.received.starts_with("HTTP/1.1 408"));
    CHECK(idle.received.empty());
}

TEST_CASE("A sign to send the body comes before the body")
{
    server_fixture fixture;
    raw_caller caller(fixture.context, fixture.address);
    caller.write("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    REQUIRE(fixture.run([&] { return caller.received == "HTTP/1.1 100 Continue\r\n\r\n"; }));
    caller.write("ok");
    REQUIRE(fixture.run([&] { return fixture.requests.size() == 1; }));
    CHECK(fixture.requests[0].body == "ok");
}

TEST_CASE("While it drains, a server answers and ends each connection, and cuts none")
{
    server_fixture fixture;
    raw_caller caller(fixture.context, fixture.address);
    caller.write(get);
    REQUIRE(fixture.run([&] { return fixture.responders.size() == 1; }));
    fixture.server.startDraining();
    fixture.responders[0]->respond(makeResponse(200, "whole", "t"));
    REQUIRE(fixture.run([&] { return caller.isClosed; }));
    CHECK(caller.received.find("Connection: close") != std::string::npos);
    CHECK(caller.received.ends_with("whole"));
    CHECK_FALSE(caller.wasReset);
}

TEST_CASE("A response counts as being delivered until its client has taken it, also while the server drains")
{
    server_fixture fixture;
    tcp::socket caller(fixture.context);
    caller.open(tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size(4096));
    caller.connect(fixture.address);
    asio::write(caller, asio::buffer(get));
    REQUIRE(fixture.run([&] { return fixture.responders.size() == 1; }));
    bool isDraining = false;
    SUBCASE("in service") { }
    SUBCASE("draining") { isDraining = true; }
    if (isDraining)
        fixture.server.startDraining();
    const std::string body(32 << 20, 'x'); // More than the socket buffers take.
    fixture.responders[0]->respond(makeResponse(200, body, "t"));
    CHECK(fixture.server.pendingCount() == 0);
    CHECK(fixture.server.deliveringCount() == 1);
    fixture.context.run_for(50ms);
    CHECK(fixture.server.deliveringCount() == 1);
    std::size_t received = 0;
    std::vector<char> input(1 << 20);
    std::function<void()> read = [&] {
        caller.async_read_some(asio::buffer(input), [&](std::error_code error, std::size_t length) {
            received += length;
            if (error)
                caller.close();
            else
                read();
        });
    };
    read();
    REQUIRE(fixture.run([&] { return fixture.server.deliveringCount() == 0; }));
    if (isDraining)
        REQUIRE(fixture.run([&] { return !caller.is_open(); }));
    CHECK(fixture.run([&] { return received > body.size(); }));
}

TEST_CASE("An answer that must not look complete ends its connection")
{
    server_fixture fixture;
    raw_caller caller(fixture.context, fixture.address);
    caller.write(get);
    REQUIRE(fixture.run([&] { return fixture.responders.size() == 1; }));
    fixture.responders[0]->abort();
    REQUIRE(fixture.run([&] { return caller.isClosed; }));
    CHECK(caller.received.empty());
}

TEST_CASE("A caller that wants the connection closed gets that, and nothing it sends after counts")
{
    server_fixture fixture;
    raw_caller caller(fixture.context, fixture.address);
    caller.write("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get);
    REQUIRE(fixture.run([&] { return fixture.responders.size() == 1; }));
    fixture.responders[0]->respond(makeResponse(200, "only", "t"));
    REQUIRE(fixture.run([&] { return caller.isClosed; }));
    CHECK(fixture.requests.size() == 1);
}
