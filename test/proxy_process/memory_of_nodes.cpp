/** \file
 * Loads that make nodes hold many bytes: no node exceeds its memory, each request is served whole or truly
 * refused, and the requests of others are served.
 */
#include "serving_fleet.h"

#include <list>

using namespace pomelohub;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::size_t megabyte = 1 << 20;
constexpr std::size_t memoryMb = 160; ///< Of the smallest instances.
constexpr std::size_t callCount = 40;

/** A fleet whose requests may take as long as the load needs. */
struct loaded_fleet : serving_fleet {
    loaded_fleet()
        : serving_fleet(json { { "memory_mb", memoryMb } })
    {
        auto patient = configuration(2);
        for (auto& route : patient["virtual_hosts"][0]["paths"])
            route["timeout_s"] = 30;
        patient["limits"] = { { "max_header_bytes", 16384 }, { "max_body_bytes", 64 * megabyte },
            { "header_timeout_s", 5 }, { "idle_timeout_s", 5 } };
        configure(patient);
        for (std::size_t node = 0; node < size(); ++node)
            REQUIRE(waitFor([&] { return configurationVersion(node) == 2; }));
    }

    http_message request(const std::string& method, const std::string& target, message_body body = {})
    {
        return makeCallerRequest(method, target, nextId(), "k1", 25s, std::move(body));
    }

    /** Runs \p context until \p isDone, while small requests for \p target are sent to all nodes. */
    void play(asio::io_context& context, const std::string& target, const std::function<bool()>& isDone)
    {
        auto end = std::chrono::steady_clock::now() + 40s;
        std::size_t node = 0;
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(20ms);
            CHECK(statusOf(node++ % size(), target, "k1") == 200);
        }
    }

    void checkMemory()
    {
        std::size_t highest = 0;
        for (std::size_t node = 0; node < size(); ++node) {
            CHECK(peakMemory(node) > 0);
            CHECK(peakMemory(node) <= memoryMb * megabyte);
            highest = std::max(highest, peakMemory(node));
        }
        MESSAGE("peak memory of a node: ", highest / megabyte, " MB of ", memoryMb);
    }
};

/** Many calls at once, each on a connection of its own. */
struct call_load {
    call_load(
        loaded_fleet& fleet, const std::string& method, const std::string& target, const message_body& body)
    {
        for (std::size_t i = 0; i < callCount; ++i) {
            auto& connection = connections.emplace_back(new http_client_connection(context, {}));
            connection->call(fleet.callersEndpoint(0), fleet.request(method, target, body), 2s, 30s,
                [this, raw = connection.get()](http_call_result result) {
                    ++endedCount;
                    if (result && result->status == 200)
                        ++servedCount;
                    if (result && result->status == 200 && result->body.size() == largeResponseBytes)
                        ++wholeCount;
                    bool isRefusal = result && result->status >= 502 && result->status <= 504;
                    refusedCount += isRefusal ? 1 : 0;
                    raw->cancel();
                });
        }
    }

    asio::io_context context;
    std::list<handle<http_client_connection>> connections;
    std::size_t endedCount = 0;
    std::size_t servedCount = 0;
    std::size_t wholeCount = 0;
    std::size_t refusedCount = 0;
};

} // namespace

TEST_CASE("Uploads that are larger than the memory of a node together are served one after the other")
{
    loaded_fleet fleet;
    call_load load(fleet, "POST", "/bids/x", std::string(8 * megabyte, 'x'));
    fleet.play(load.context, "/browse/x", [&] { return load.endedCount == callCount; });
    CHECK(load.endedCount == callCount);
    CHECK(load.servedCount + load.refusedCount == callCount);
    fleet.checkMemory();
    MESSAGE(load.servedCount, " of ", callCount, " uploads served");
}

TEST_CASE("Responses that are larger than the memory of a node together are passed on whole")
{
    loaded_fleet fleet;
    call_load load(fleet, "GET", "/browse/large", {});
    fleet.play(load.context, "/bids/x", [&] { return load.endedCount == callCount; });
    CHECK(load.endedCount == callCount);
    CHECK(load.wholeCount == load.servedCount);
    CHECK(load.servedCount + load.refusedCount == callCount);
    fleet.checkMemory();
    MESSAGE(load.servedCount, " of ", callCount, " responses passed on");
}

TEST_CASE("Callers that ask for large responses and never read do not exhaust the memory of a node")
{
    loaded_fleet fleet;
    asio::io_context context;
    std::list<tcp::socket> callers;
    for (std::size_t i = 0; i < callCount; ++i) {
        auto& socket = callers.emplace_back(context);
        socket.open(tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(4096));
        socket.connect(fleet.callersEndpoint(0));
        asio::write(socket, asio::buffer(serializeRequestHead(fleet.request("GET", "/browse/large"))));
    }
    auto end = std::chrono::steady_clock::now() + 15s;
    fleet.play(context, "/bids/x", [&] { return std::chrono::steady_clock::now() > end; });
    fleet.checkMemory();
    // All have lost their connections by now, so that the node holds nothing for them.
    CHECK(fleet.heldBytes(0) < megabyte);
}
