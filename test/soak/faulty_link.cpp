/** \file
 * What a relay does to the connections that pass through it.
 */
#include "faulty_link.h"
#include "node_process.h"

#include "loopback.h"

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

/** A relay between a caller and a server that sends everything back. */
struct link_fixture {
    asio::io_context context;
    tcp::endpoint target = freeEndpoint();
    tcp::endpoint address = freeEndpoint();
    tcp::acceptor acceptor { context, target };
    std::vector<std::unique_ptr<tcp::socket>> accepted;
    std::array<char, 4096> input {};
    std::size_t received = 0;
    bool wasReset = false;
    faulty_link link { context, target, readSystemClock };
    std::unique_ptr<raw_caller> caller;

    link_fixture()
    {
        acceptor.async_accept([this](std::error_code error, tcp::socket socket) {
            if (error)
                return;
            accepted.push_back(std::make_unique<tcp::socket>(std::move(socket)));
            echo(*accepted.back());
        });
        REQUIRE_FALSE(link.listen(address));
        caller = std::make_unique<raw_caller>(context, address);
    }

    void echo(tcp::socket& socket)
    {
        socket.async_read_some(
            asio::buffer(input), [this, &socket](std::error_code error, std::size_t length) {
                if (error) {
                    wasReset = error == asio::error::connection_reset;
                    return;
                }
                received += length;
                asio::write(socket, asio::buffer(input, length));
                echo(socket);
            });
    }

    bool run(const std::function<bool()>& condition) { return runUntil(context, condition); }

    /** Lets everything happen that is due within a short time. */
    void settle()
    {
        auto end = std::chrono::steady_clock::now() + 50ms;
        run([&] { return std::chrono::steady_clock::now() > end; });
    }
};

} // namespace

TEST_CASE("A link passes all bytes on in order")
{
    link_fixture fixture;
    std::string text;
    for (int i = 0; i < 20'000; ++i)
        text += std::to_string(i);
    fixture.caller->write(text);
    REQUIRE(fixture.run([&] { return fixture.caller->received.size() == text.size(); }));
    CHECK(fixture.caller->received == text);
    CHECK(fixture.link.relayedBytes() == 2 * text.size());
}

TEST_CASE("A link with a delay passes nothing on before it")
{
    link_fixture fixture;
    fixture.link.setCondition({ .delay = 100ms });
    auto start = std::chrono::steady_clock::now();
    fixture.caller->write("x");
    REQUIRE(fixture.run([&] { return !fixture.caller->received.empty(); }));
    CHECK(std::chrono::steady_clock::now() - start >= 200ms);
}

TEST_CASE("A link that is cut holds bytes back until the cut ends, in each direction")
{
    link_fixture fixture;
    fixture.link.setCondition({ .isCutToTarget = true });
    fixture.caller->write("x");
    fixture.settle();
    CHECK(fixture.received == 0);
    fixture.link.setCondition({ .isCutFromTarget = true });
    REQUIRE(fixture.run([&] { return fixture.received == 1; }));
    fixture.settle();
    CHECK(fixture.caller->received.empty());
    fixture.link.setCondition({});
    CHECK(fixture.run([&] { return fixture.caller->received == "x"; }));
}

TEST_CASE("A link says that its target has refused a connection, and resets it")
{
    link_fixture fixture;
    REQUIRE(fixture.run([&] { return !fixture.accepted.empty(); }));
    fixture.acceptor.close();
    int refusals = 0;
    fixture.link.onTargetRefused = [&] { ++refusals; };
    raw_caller later(fixture.context, fixture.address);
    REQUIRE(fixture.run([&] { return later.isClosed; }));
    CHECK(later.wasReset);
    CHECK(refusals == 1);
}

TEST_CASE("A link that is reset ends its connections at both ends, and one that refuses takes none")
{
    link_fixture fixture;
    fixture.caller->write("x");
    REQUIRE(fixture.run([&] { return fixture.caller->received == "x"; }));
    fixture.link.setCondition({ .isRefusing = true });
    fixture.link.resetAll();
    REQUIRE(fixture.run([&] { return fixture.caller->isClosed && fixture.wasReset; }));
    CHECK(fixture.caller->wasReset);
    raw_caller later(fixture.context, fixture.address);
    REQUIRE(fixture.run([&] { return later.isClosed; }));
    CHECK(later.wasReset);
}

TEST_CASE("A process that is started meanwhile does not keep a connection that is reset")
{
    link_fixture fixture;
    fixture.caller->write("x");
    REQUIRE(fixture.run([&] { return fixture.caller->received == "x"; }));
    node_process child("/bin/sleep", { "60" }, "/dev/null");
    REQUIRE_FALSE(child.start());
    fixture.link.resetAll();
    CHECK(fixture.run([&] { return fixture.caller->isClosed && fixture.wasReset; }));
}
