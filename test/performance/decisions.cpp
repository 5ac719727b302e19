/** \file
 * Costs of the decisions at sizes up to the target: 110,000 organisations, 37,000 routes in 660 services,
 * 2,100 members.
 */
#include "control_state.h"
#include "entry_filters.h"
#include "hashing.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <random>

namespace {

using namespace pomelohub;

constexpr std::int64_t targetOrganisations = 110'000;
constexpr int routesInService = 56;
constexpr double servicesForOrganisation = 660.0 / targetOrganisations;

std::string keyOf(std::int64_t number) { return "key-" + std::to_string(number); }

std::vector<configuration_log_entry> makeRecords(std::int64_t organisations)
{
    std::vector<configuration_log_entry> records;
    auto add = [&](resource content) {
        configuration_record record { "r" + std::to_string(records.size()), nameOf(content), 0, {}, content };
        records.push_back({ records.size(), std::move(record) });
    };
    for (std::int64_t i = 0; i < organisations; ++i)
        add(organisation {
            organisation_id("organisation-" + std::to_string(i)), { sha256(keyOf(i)) }, 1e6, 1'000'000 });
    auto services
        = static_cast<std::int64_t>(static_cast<double>(organisations) * servicesForOrganisation) + 1;
    for (std::int64_t i = 0; i < services; ++i) {
        service content { service_id("service-" + std::to_string(i)),
            { "s" + std::to_string(i) + ".example" }, {} };
        for (int r = 0; r < routesInService; ++r)
            content.routes.push_back(
                { "route-" + std::to_string(r), "*", "/part-" + std::to_string(r), true, false });
        add(content);
    }
    return records;
}

/** A configuration of the target's size, made once. */
configuration_controller& targetConfiguration()
{
    static auto* controller = [] {
        auto* made = new configuration_controller;
        made->apply(makeRecords(targetOrganisations));
        return made;
    }();
    return *controller;
}

/** Bytes that the allocator has handed out. */
double heapMegabytes() { return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd) / 1e6; }

const present now { instant(std::chrono::hours(1)), wall_time(std::chrono::hours(500'000)) };

/** The whole chain of the entry node, with tokens at hand, for random organisations and routes. */
void entryChain(benchmark::State& state)
{
    static token_leases leases;
    static const crash_quarantine quarantine({});
    static const auto chain = makeEntryChain(
        { targetConfiguration().table(), leases, quarantine, [](instant) { return node_readiness::ready; },
            [](const handle<organisation_leases>& held, bool) {
                applyGrant(*held, 0, { 1, 1'000'000, std::chrono::hours(1) }, now.monotonic);
                return true;
            },
            [] { return now; }, {} });
    std::mt19937_64 random(static_cast<std::uint64_t>(state.thread_index()));
    for (auto _ : state) {
        request_context context;
        context.method = "GET";
        context.host = "s" + std::to_string(random() % 660) + ".example";
        context.path = "/part-" + std::to_string(random() % routesInService) + "/x";
        context.apiKey = keyOf(static_cast<std::int64_t>(random() % 2000));
        std::string_view refusedBy;
        auto passed = chain.run(context, now, refusedBy);
        if (!passed)
            state.SkipWithError(passed.error().detail.c_str());
    }
}
BENCHMARK(entryChain)->Threads(1)->Threads(2)->Threads(4)->Threads(8)->UseRealTime();

void authentication(benchmark::State& state)
{
    auto filter = makeAuthenticationFilter(targetConfiguration().table());
    route closed;
    std::mt19937_64 random(1);
    for (auto _ : state) {
        request_context context;
        context.matchedRoute = &closed;
        context.apiKey = keyOf(static_cast<std::int64_t>(random() % targetOrganisations));
        benchmark::DoNotOptimize(filter(context, now));
    }
}
BENCHMARK(authentication);

void routing(benchmark::State& state)
{
    auto filter = makeRouteFilter(targetConfiguration().table());
    std::mt19937_64 random(1);
    for (auto _ : state) {
        request_context context;
        context.method = "GET";
        context.host = "s" + std::to_string(random() % 660) + ".example";
        context.path = "/part-" + std::to_string(random() % routesInService) + "/x";
        benchmark::DoNotOptimize(filter(context, now));
    }
}
BENCHMARK(routing);

void choosing(benchmark::State& state)
{
    service_view view;
    for (int i = 0; i < 35; ++i) {
        backend_entry entry;
        entry.id = backend_server_id("backend-" + std::to_string(i));
        entry.condition = backend_condition::warm;
        entry.stats = new backend_stats;
        view.backends.push_back(entry);
    }
    std::mt19937_64 random(1);
    load_balancing_policy policy { [&](std::uint64_t bound) { return random() % bound; },
        [](const data_centre_id&) { return 1000U; }, nullptr };
    for (auto _ : state)
        benchmark::DoNotOptimize(chooseBackend(view, {}, data_centre_id("dc"), policy, now.monotonic));
}
BENCHMARK(choosing);

/** One tick of the gray detector over one service of 35 backend servers that had requests. */
void judging(benchmark::State& state)
{
    service_view view;
    for (int i = 0; i < 35; ++i) {
        backend_entry entry;
        entry.id = backend_server_id("backend-" + std::to_string(i));
        entry.stats = new backend_stats;
        view.backends.push_back(entry);
    }
    gray_failure_detector detector({});
    for (auto _ : state) {
        for (auto& entry : view.backends)
            entry.stats->recordResult(false, std::chrono::milliseconds(25));
        benchmark::DoNotOptimize(detector.tick(view));
    }
}
BENCHMARK(judging);

/** One change of one organisation in a configuration of the given size. */
void applyChange(benchmark::State& state)
{
    configuration_controller controller;
    controller.apply(makeRecords(state.range(0)));
    auto offset = controller.nextOffset();
    resource_version version = 1;
    for (auto _ : state) {
        organisation content { organisation_id("organisation-0"), { sha256(keyOf(0)) }, 1, 100 };
        configuration_log_entry record { offset,
            { std::to_string(offset), { resource_kind::organisation, "organisation-0" }, version, {},
                content } };
        controller.apply(std::span(&record, 1));
        version = ++offset;
    }
}
BENCHMARK(applyChange)
    ->Arg(1000)
    ->Arg(10'000)
    ->Arg(50'000)
    ->Arg(targetOrganisations)
    ->Unit(benchmark::kMicrosecond);

/** What a starting node takes from a peer: encoded, decoded and loaded. */
void loadSnapshot(benchmark::State& state)
{
    configuration_controller source;
    source.apply(makeRecords(state.range(0)));
    bootstrap_state given;
    given.configuration = source.snapshot();
    std::string bytes;
    for (auto _ : state) {
        bytes = encode(given);
        configuration_controller loaded;
        loaded.load(decodeBootstrapState(bytes)->configuration);
        benchmark::DoNotOptimize(loaded.nextOffset());
    }
    state.counters["megabytes"] = static_cast<double>(bytes.size()) / 1e6;
}
BENCHMARK(loadSnapshot)
    ->Arg(1000)
    ->Arg(10'000)
    ->Arg(50'000)
    ->Arg(targetOrganisations)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1);

/** Memory of a configuration of the given size. */
void configurationMemory(benchmark::State& state)
{
    double used = 0;
    for (auto _ : state) {
        auto before = heapMegabytes();
        auto* controller = new configuration_controller;
        for (const auto& record : makeRecords(state.range(0)))
            controller->apply(std::span(&record, 1));
        used = heapMegabytes() - before;
        // Kept, so that the next size does not reuse its memory.
        benchmark::DoNotOptimize(controller);
    }
    state.counters["megabytes"] = used;
}
BENCHMARK(configurationMemory)
    ->Arg(1000)
    ->Arg(10'000)
    ->Arg(50'000)
    ->Arg(targetOrganisations)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1);

member_record makeMember(std::int64_t number)
{
    member_record record;
    record.life = { node_id("node-" + std::to_string(number)), 1 };
    record.dataCentre = data_centre_id("dc-" + std::to_string(number % 12));
    record.endpoint = "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":9000";
    for (int i = 0; i < 11; ++i)
        record.backends.push_back({ backend_server_id(
                                        "b-" + std::to_string(number) + "-" + std::to_string(i)),
            service_id("service-" + std::to_string((number * 11 + i) % 660)), 5, backend_condition::warm });
    return record;
}

/** The controllers of one node in a fleet of the given size. */
struct fleet_of_size {
    explicit fleet_of_size(std::int64_t members)
    {
        settings.node = node_id("node-0");
        settings.dataCentre = data_centre_id("dc-0");
        settings.peersEndpoint = "10.0.0.0:9000";
        state = std::make_unique<control_state>(settings, node_incarnation { settings.node, 1 },
            control_hooks { [this](std::uint64_t bound) { return random() % bound; }, [](const decision&) {},
                [](const std::string&) {} });
        std::vector<member_record> records;
        for (std::int64_t i = 1; i < members; ++i)
            records.push_back(makeMember(i));
        state->mergeMembers(records, time);
    }

    std::mt19937_64 random { 1 };
    node_settings settings;
    present time = now;
    std::unique_ptr<control_state> state;
};

/** A second of a node's control in a quiet fleet: ten ticks, and two probes with their answers. */
void quietSecond(benchmark::State& state)
{
    fleet_of_size fleet(state.range(0));
    std::uint64_t bytes = 0;
    std::uint64_t seconds = 0;
    for (auto _ : state) {
        ++seconds;
        for (int i = 0; i < 10; ++i) {
            fleet.time.monotonic += std::chrono::milliseconds(100);
            fleet.time.wall += std::chrono::milliseconds(100);
            auto out = fleet.state->tick(fleet.time);
            for (const auto& datagram : out.datagrams) {
                auto sent = encode(datagram.message);
                bytes += 2 * sent.size();
                auto answer = *decodeGossip(sent);
                answer.kind = gossip_kind::acknowledgement;
                answer.from = { datagram.message.target, 1 };
                answer.updates.clear();
                answer.from = { node_id("node-1"), 1 };
                fleet.state->handleGossip(answer, fleet.time);
                auto probe = answer;
                probe.kind = gossip_kind::probe;
                for (const auto& reply : fleet.state->handleGossip(probe, fleet.time))
                    bytes += 2 * encode(reply.message).size();
            }
        }
    }
    state.counters["bytes_a_second"] = static_cast<double>(bytes) / static_cast<double>(seconds);
}
BENCHMARK(quietSecond)
    ->Arg(21)
    ->Arg(300)
    ->Arg(1000)
    ->Arg(2100)
    ->Unit(benchmark::kMicrosecond)
    ->Iterations(50);

/** One member's change taken in: its record, the slots' ranking, the views that requests read. */
void memberChange(benchmark::State& state)
{
    fleet_of_size fleet(state.range(0));
    auto record = makeMember(1);
    for (auto _ : state) {
        ++record.revision;
        record.backends[0].condition
            = record.revision % 2 ? backend_condition::cold : backend_condition::warm;
        fleet.state->mergeMembers({ record }, fleet.time);
    }
}
BENCHMARK(memberChange)->Arg(21)->Arg(300)->Arg(1000)->Arg(2100)->Unit(benchmark::kMicrosecond);

/** Memory of a node's view of the fleet. */
void fleetMemory(benchmark::State& state)
{
    double used = 0;
    for (auto _ : state) {
        auto before = heapMegabytes();
        auto* fleet = new fleet_of_size(state.range(0));
        used = heapMegabytes() - before;
        benchmark::DoNotOptimize(fleet);
    }
    state.counters["megabytes"] = used;
    state.counters["record_bytes"] = static_cast<double>(encode(std::vector { makeMember(1234) }).size());
}
BENCHMARK(fleetMemory)->Arg(21)->Arg(300)->Arg(1000)->Arg(2100)->Unit(benchmark::kMillisecond)->Iterations(1);

} // namespace

BENCHMARK_MAIN();
