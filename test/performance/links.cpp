/** \file
 * What a refused offer costs on a link between two nodes: time of both nodes together, and bytes.
 */
#include "faulty_link.h"
#include "forwarded_request.h"
#include "loopback_address.h"
#include "peer_link.h"
#include "system_clock.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

namespace {

using namespace pomelohub;
using tcp = asio::ip::tcp;

/** Two nodes, of which one refuses all offers, on one event loop. */
struct refusing_pair {
    asio::io_context context;
    tcp::endpoint address = freeEndpoint();
    tcp::endpoint relayAddress = freeEndpoint();
    connection_acceptor acceptor { context,
        { [this](tcp::socket socket) {
             server = peer_link::makeServer(std::move(socket), {},
                 { nullptr, nullptr, [](const handle<peer_request>& request) { refuse(*request); },
                     readSystemClock });
             server->start();
         },
            nullptr, nullptr } };
    faulty_link relay { context, address, readSystemClock };
    handle<peer_link> server;
    handle<peer_link> client
        = peer_link::makeClient(context, {}, { nullptr, nullptr, nullptr, readSystemClock });
    forwarded_request offered;
    std::uint64_t offerCount = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;

    explicit refusing_pair(bool isRelayed)
    {
        acceptor.listen(address);
        relay.listen(relayAddress);
        client->connect(isRelayed ? relayAddress : address);
        offered.service = service_id("bids");
        offered.organisation = organisation_id("guild");
        offered.retryRule = retry_rule::once;
        offered.timeLeft = std::chrono::seconds(3);
        offered.message.method = "POST";
        offered.message.target = "/bids/x";
        while (!client->isConnected())
            context.run_one();
    }
    ~refusing_pair()
    {
        client->close();
        if (server)
            server->close();
    }
    refusing_pair(const refusing_pair&) = delete;
    refusing_pair& operator=(const refusing_pair&) = delete;

    static void refuse(peer_request& request)
    {
        forward_reply reply;
        reply.response = notRun(refusal_reason::backendServerBusy, "no slot is free");
        request.reply(encodeForwardReply(reply, false));
    }

    /** Has \p count offers refused that are open at the same time. */
    void play(std::size_t count)
    {
        auto end = refused + failed + count;
        for (std::size_t i = 0; i < count; ++i) {
            offered.id = request_id(fmt::format("{:016x}", ++offerCount));
            client->call(encodeForwardedRequest(offered), true,
                { nullptr, [this](peer_message&&) { ++refused; }, [this](peer_call_failure) { ++failed; } });
        }
        while (refused + failed < end)
            context.run_one();
    }
};

/** Range: offers that are open at the same time. */
void refusedOffers(benchmark::State& state)
{
    refusing_pair pair(false);
    auto batch = static_cast<std::size_t>(state.range(0));
    for (auto _ : state)
        pair.play(batch);
    state.SetItemsProcessed(static_cast<std::int64_t>(pair.refused));
    state.counters["failed"] = static_cast<double>(pair.failed);
}
BENCHMARK(refusedOffers)->Arg(1)->Arg(10)->Arg(100)->Arg(1000);

void bytesOfRefusedOffers(benchmark::State& state)
{
    refusing_pair pair(true);
    constexpr std::size_t batch = 100;
    pair.play(batch); // Fills the header tables of the session.
    auto start = pair.relay.relayedBytes();
    auto before = pair.refused;
    for (auto _ : state)
        pair.play(batch);
    state.counters["bytes_of_one"]
        = static_cast<double>(pair.relay.relayedBytes() - start) / static_cast<double>(pair.refused - before);
}
BENCHMARK(bytesOfRefusedOffers);

} // namespace

BENCHMARK_MAIN();
