/** \file
 * A node that is told to stop does not cut an answer that its caller still reads.
 */
#include "full_pipe.h"
#include "serving_fleet.h"

#include <csignal>

#include <sys/wait.h>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

/** A caller that reads its answer part by part at a steady rate. */
struct slow_caller {
    static constexpr std::size_t partBytes = 400 << 10;
    static constexpr auto partInterval = 100ms;

    slow_caller(const tcp::endpoint& node, const http_message& request)
        : socket(context)
        , timer(context)
    {
        socket.open(tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(64 << 10));
        socket.connect(node);
        asio::write(socket, asio::buffer(serializeRequestHead(request)));
        readPart();
    }

    void readPart()
    {
        asio::async_read(socket, asio::buffer(input), [this](std::error_code error, std::size_t length) {
            received += length;
            if (error) {
                isClosed = true;
                return;
            }
            timer.expires_after(partInterval);
            timer.async_wait([this](std::error_code) { readPart(); });
        });
    }

    asio::io_context context;
    tcp::socket socket;
    asio::steady_timer timer;
    std::vector<char> input = std::vector<char>(partBytes);
    std::size_t received = 0;
    bool isClosed = false;
};

} // namespace

TEST_CASE("A node that is told to stop sends a caller all of the answer that it reads")
{
    serving_fleet fleet;
    slow_caller caller(
        fleet.callersEndpoint(0), makeCallerRequest("GET", "/browse/huge", fleet.nextId(), "k1", 10s));
    REQUIRE(runUntil(caller.context, [&] { return caller.received > 0; }));
    fleet.signal(0, SIGTERM);
    REQUIRE(runUntil(caller.context, [&] { return caller.isClosed; }));
    CHECK(caller.received > hugeResponseBytes); // The head comes with it.
    CHECK(WIFEXITED(fleet.waitForEnd(0)));
}

// Guards against a process that waits for the reader of its log when it exits.
TEST_CASE("A node whose standard output nobody reads serves, and ends within its grace period")
{
    constexpr auto gracePeriod = 6s; // As the fleet's settings say.
    serving_fleet fleet;
    full_pipe output;
    fleet.signal(0, SIGKILL);
    fleet.waitForEnd(0);
    fleet.start(0, output.writer());
    REQUIRE(fleet.waitFor([&] { return fleet.isReady(0) && fleet.serves(0, "/bids/x", "k1"); }));
    auto start = std::chrono::steady_clock::now();
    fleet.signal(0, SIGTERM);
    std::optional<int> status;
    REQUIRE(fleet.waitFor([&] { return (status = fleet.exitStatus(0)).has_value(); }));
    CHECK(WIFEXITED(*status));
    CHECK(std::chrono::steady_clock::now() - start < gracePeriod);
}
