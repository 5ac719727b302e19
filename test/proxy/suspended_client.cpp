/** \file
 * A client whose process was suspended finds its timer expired and its socket ready at once. A request that
 * was sent must not be reported as not sent, since it would be sent to another server, too.
 */
#include "http_client.h"

#include "loopback.h"

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

/** A server that counts the requests that reach it and answers each. */
struct counting_server {
    explicit counting_server(asio::io_context& context)
        : server(context,
            { [this](http_message&&, handle<http_responder> responder) {
                 ++requests;
                 responder->respond(makeResponse(200, "ok"));
             },
                [] { return http_server_limits {}; }, readSystemClock, nullptr })
        , endpoint(freeEndpoint())
    {
        REQUIRE_FALSE(server.listen(endpoint));
    }

    http_server server;
    tcp::endpoint endpoint;
    int requests = 0;
};

http_message makeRequest()
{
    http_message request;
    request.method = "POST";
    request.target = "/";
    request.fields.push_back({ "Host", "test" });
    return request;
}

} // namespace

TEST_CASE("A request is not reported as not sent if the connection opened when its timeout had expired")
{
    asio::io_context context;
    counting_server server(context);
    handle<http_client_connection> connection(new http_client_connection(context, {}));
    std::optional<http_call_result> outcome;
    // The loop first runs when the connection is open and the connect timeout has expired.
    connection->call(server.endpoint, makeRequest(), 0s, 5s,
        [&](http_call_result result) { outcome = std::move(result); });
    REQUIRE(runUntil(context, [&] { return outcome && (!*outcome || server.requests > 0); }));
    context.run_for(20ms); // Long enough for a request on its way over loopback.
    bool isReportedAsNotSent = !*outcome && outcome->error() == http_call_failure::notConnected;
    CHECK_FALSE((isReportedAsNotSent && server.requests > 0));
    CHECK(server.requests <= 1);
    connection->cancel();
}

TEST_CASE("A call that is made when another one has failed is not answered by the socket of that one")
{
    asio::io_context context;
    counting_server server(context);
    tcp::acceptor silent(context, freeEndpoint());
    handle<http_client_connection> connection(new http_client_connection(context, {}));
    std::optional<http_call_result> first;
    std::optional<http_call_result> second;
    connection->call(silent.local_endpoint(), makeRequest(), 500ms, 1ms, [&](http_call_result result) {
        first = std::move(result);
        connection->call(server.endpoint, makeRequest(), 500ms, 5s,
            [&](http_call_result next) { second = std::move(next); });
    });
    REQUIRE(runUntil(context, [&] { return second.has_value(); }));
    CHECK_FALSE(*first);
    REQUIRE(*second);
    CHECK((*second)->body == "ok");
    CHECK(server.requests == 1);
    connection->cancel();
}
