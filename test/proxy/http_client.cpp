/** \file
 * How long a client waits for a response that arrives in parts.
 */
#include "http_client.h"

#include "loopback.h"

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

/** A server that sends the body of its response in parts, one each 100 ms. */
struct slow_server {
    slow_server(asio::io_context& context, int sentParts, int announcedParts)
        : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , socket(context)
        , timer(context)
    {
        acceptor.async_accept(socket, [this, sentParts, announcedParts](std::error_code error) {
            REQUIRE_FALSE(error);
            asio::write(socket,
                asio::buffer(
                    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(announcedParts) + "\r\n\r\n"));
            send(sentParts);
        });
    }

    void send(int parts)
    {
        if (parts == 0)
            return;
        timer.expires_after(100ms);
        timer.async_wait([this, parts](std::error_code error) {
            if (error)
                return;
            asio::write(socket, asio::buffer("x", 1), error);
            send(parts - 1);
        });
    }

    tcp::acceptor acceptor;
    tcp::socket socket;
    asio::steady_timer timer;
};

std::optional<http_call_result> call(
    asio::io_context& context, slow_server& server, std::optional<duration> silenceTimeout)
{
    handle<http_client_connection> connection(new http_client_connection(context, {}));
    http_message request;
    request.method = "GET";
    request.target = "/";
    std::optional<http_call_result> outcome;
    connection->call(
        server.acceptor.local_endpoint(), request, 500ms, 400ms,
        [&](http_call_result result) { outcome = std::move(result); }, silenceTimeout);
    runUntil(context, [&] { return outcome.has_value(); });
    connection->cancel();
    return outcome;
}

} // namespace

TEST_CASE("A response that keeps arriving is awaited beyond the time for its first byte")
{
    asio::io_context context;
    slow_server server(context, 8, 8);
    auto outcome = call(context, server, 400ms);
    REQUIRE(outcome);
    REQUIRE(*outcome);
    CHECK((*outcome)->body == "xxxxxxxx");
}

TEST_CASE("A few interim responses may precede a response")
{
    asio::io_context context;
    tcp::acceptor acceptor(context, freeEndpoint());
    tcp::socket socket(context);
    acceptor.async_accept(socket, [&](std::error_code error) {
        REQUIRE_FALSE(error);
        std::string text;
        for (int i = 0; i < 4; ++i)
            text += "HTTP/1.1 102 Processing\r\n\r\n";
        asio::write(socket, asio::buffer(text + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    });
    handle<http_client_connection> connection(new http_client_connection(context, {}));
    http_message request;
    request.method = "GET";
    request.target = "/";
    std::optional<http_call_result> outcome;
    connection->call(acceptor.local_endpoint(), request, 500ms, 5s,
        [&](http_call_result result) { outcome = std::move(result); });
    REQUIRE(runUntil(context, [&] { return outcome.has_value(); }));
    REQUIRE(*outcome);
    CHECK((*outcome)->body == "ok");
    connection->cancel();
}

TEST_CASE("A response that stops arriving fails, and so does one beyond the time for the whole")
{
    asio::io_context context;
    std::optional<duration> silenceTimeout;
    SUBCASE("silent") { silenceTimeout = 400ms; }
    SUBCASE("whole") { }
    slow_server server(context, silenceTimeout ? 2 : 8, 8);
    auto outcome = call(context, server, silenceTimeout);
    REQUIRE(outcome);
    REQUIRE_FALSE(*outcome);
}
