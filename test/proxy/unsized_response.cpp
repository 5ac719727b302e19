/** \file
 * A response without a length ends with its connection. It is whole only if the server ended it in order: a
 * part of a response must not be passed on as a success.
 */
#include "http_client.h"

#include "loopback.h"

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

/** More than the socket buffers of both ends take. */
constexpr std::size_t largeBytes = 24 << 20;

/** A server that responds before it has read the body of the request, as its test says. */
struct early_server {
    asio::io_context& context;
    tcp::acceptor acceptor;
    tcp::socket socket;
    std::vector<char> input = std::vector<char>(1 << 20);
    std::size_t readBytes = 0;

    explicit early_server(asio::io_context& loop)
        : context(loop)
        , acceptor(loop, freeEndpoint())
        , socket(loop)
    {
    }

    void accept()
    {
        bool isAccepted = false;
        acceptor.async_accept(socket, [&](std::error_code error) { isAccepted = !error; });
        REQUIRE(runUntil(context, [&] { return isAccepted; }));
    }

    void write(std::string_view bytes) { asio::write(socket, asio::buffer(bytes)); }

    /** Reads until the client sends no more. */
    void readOn()
    {
        socket.async_read_some(asio::buffer(input), [this](std::error_code error, std::size_t length) {
            readBytes += length;
            if (!error)
                readOn();
        });
    }

    void reset()
    {
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }
};

struct early_call {
    asio::io_context context;
    early_server server { context };
    handle<http_client_connection> connection { new http_client_connection(context, {}) };
    std::optional<http_call_result> outcome;

    explicit early_call(std::size_t requestBytes = largeBytes)
    {
        http_message request;
        request.method = "POST";
        request.target = "/";
        request.fields.push_back({ "Host", "test" });
        request.body.assign(requestBytes, 'x');
        connection->call(server.acceptor.local_endpoint(), request, 500ms, 9s,
            [this](http_call_result result) { outcome = std::move(result); });
        server.accept();
    }

    ~early_call() { connection->cancel(); }

    void run(duration time)
    {
        context.restart();
        context.run_for(time);
    }

    bool runUntilReceived()
    {
        return runUntil(context, [&] { return connection->receivedBytes() > 0; });
    }

    bool runUntilDone()
    {
        return runUntil(context, [&] { return outcome.has_value(); });
    }
};

constexpr std::string_view unsizedHalf = "HTTP/1.1 200 OK\r\n\r\nfirst half,";

} // namespace

TEST_CASE("A response without a length that is reset during the request is not whole")
{
    early_call call;
    std::string_view head = unsizedHalf;
    SUBCASE("without a word of the end") { }
    SUBCASE("also if the server has announced to close")
    {
        head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfirst half,";
    }
    call.server.write(head);
    REQUIRE(call.runUntilReceived());
    // The loop first runs when the pending write and the pending read have both failed.
    call.server.reset();
    REQUIRE(call.runUntilDone());
    REQUIRE_FALSE(*call.outcome);
    CHECK(call.outcome->error() == http_call_failure::invalidResponse);
}

TEST_CASE("A response without a length whose server ends while the request is still sent is not whole")
{
    early_call call;
    call.server.write(unsizedHalf);
    REQUIRE(call.runUntilReceived());
    call.server.socket.shutdown(tcp::socket::shutdown_send);
    call.run(50ms);
    CHECK_FALSE(call.outcome);
    call.server.reset();
    REQUIRE(call.runUntilDone());
    CHECK_FALSE(*call.outcome);
}

TEST_CASE("A response without a length is whole if its server ends it in order and reads the request")
{
    early_call call;
    call.server.write(unsizedHalf);
    REQUIRE(call.runUntilReceived());
    SUBCASE("before the end of the response")
    {
        call.server.readOn();
        REQUIRE(runUntil(call.context, [&] { return call.server.readBytes >= largeBytes; }));
        call.server.write(" second half");
        call.server.socket.shutdown(tcp::socket::shutdown_send);
    }
    SUBCASE("after the end of the response")
    {
        call.server.write(" second half");
        call.server.socket.shutdown(tcp::socket::shutdown_send);
        call.run(50ms);
        call.server.readOn();
    }
    REQUIRE(call.runUntilDone());
    REQUIRE(*call.outcome);
    CHECK((*call.outcome)->body == "first half, second half");
}

TEST_CASE("A server that announces to read no more and ends in order has sent a whole response")
{
    early_call call;
    call.server.write("HTTP/1.1 413 Too Large\r\nConnection: close\r\n\r\nno");
    call.server.socket.shutdown(tcp::socket::shutdown_send);
    REQUIRE(call.runUntilDone());
    REQUIRE(*call.outcome);
    CHECK((*call.outcome)->status == 413);
    CHECK((*call.outcome)->body == "no");
}

TEST_CASE("An early response with a length or in chunks is whole, whatever becomes of the request")
{
    early_call call;
    SUBCASE("with a length") { call.server.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"); }
    SUBCASE("in chunks")
    {
        call.server.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    }
    REQUIRE(call.runUntilDone());
    REQUIRE(*call.outcome);
    CHECK((*call.outcome)->body == "body");
    call.server.reset();
    call.run(20ms);
    CHECK_FALSE(call.connection->isReusable());
}

TEST_CASE("A server may pause its reading of a large request for longer than an unacknowledged send may take")
{
    early_call call;
    call.server.write(unsizedHalf);
    REQUIRE(call.runUntilReceived());
    call.run(3s);
    CHECK_FALSE(call.outcome);
    call.server.readOn();
    REQUIRE(runUntil(call.context, [&] { return call.server.readBytes >= largeBytes || call.outcome; }));
    CHECK_FALSE(call.outcome);
    call.server.write(" second half");
    call.server.socket.shutdown(tcp::socket::shutdown_send);
    REQUIRE(call.runUntilDone());
    REQUIRE(*call.outcome);
    CHECK((*call.outcome)->body == "first half, second half");
}

TEST_CASE("A call after a response that ended with its connection gets its own response")
{
    early_call call(10);
    call.server.write("HTTP/1.1 404 Not Found\r\n\r\nfirst");
    call.server.socket.close();
    REQUIRE(call.runUntilDone());
    call.outcome.reset();
    http_message request;
    request.method = "GET";
    request.target = "/";
    call.connection->call(call.server.acceptor.local_endpoint(), request, 500ms, 5s,
        [&](http_call_result result) { call.outcome = std::move(result); });
    call.server.socket = tcp::socket(call.context);
    call.server.accept();
    call.server.write("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
    REQUIRE(call.runUntilDone());
    REQUIRE(*call.outcome);
    CHECK((*call.outcome)->status == 200);
    CHECK((*call.outcome)->body == "second");
}
