/** \file
 * What a request costs on the platform's path, from its caller to a backend server beside another node:
 * response time, and processor time of both nodes. Plays several builds of the node in turn, so that they
 * meet the same machine.
 */
#include "emulated_documents.h"
#include "emulated_server.h"
#include "emulated_store.h"
#include "loopback_address.h"
#include "node_process.h"
#include "system_clock.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <csignal>
#include <filesystem>
#include <fstream>

namespace {

using namespace pomelohub;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;
using tcp = asio::ip::tcp;

constexpr std::array<std::string_view, 2> services { "browse", "bids" };
constexpr const char* apiKey = "k1";
constexpr int okStatus = 200;
constexpr auto requestTimeout = seconds(3);
constexpr auto startLimit = seconds(20);
constexpr std::uint32_t slots = 64;

/** What is sent in one run. */
struct load_shape {
    std::size_t callers = 32;
    double requestsPerSecond = 600;
    duration length {};
    duration warmUp = seconds(1);
    std::size_t bodyBytes = 1000; ///< Of requests that must run once, and of all responses.
};

struct run_result {
    std::size_t requests = 0;
    std::size_t failures = 0;
    microseconds median {};
    microseconds p99 {};
    microseconds processorTime {}; ///< Of all nodes, for each request.
};

/** Processor time of all threads of a process. */
nanoseconds processorTimeOf(int process)
{
    nanoseconds sum {};
    for (const auto& task :
        std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/task")) {
        std::ifstream file(task.path() / "schedstat");
        nanoseconds::rep time = 0;
        if (file >> time)
            sum += nanoseconds(time);
    }
    return sum;
}

/** One node with its backend server, which responds at once. */
struct measured_instance {
    emulated_node node;
    emulated_server server;
    node_process process;

    measured_instance(asio::io_context& context, std::size_t number, const tcp::endpoint& store,
        const std::string& program, const std::string& directory, const std::string& responseBody)
        : node { number, std::string(services.at(number)), freeEndpoint(), freeEndpoint(), freeEndpoint(),
            freeEndpoint(), freeEndpoint(), freeEndpoint(), freeEndpoint(), store }
        , server(context,
              { node.service, "i-" + std::to_string(number), slots, node.server, node.server, node.control },
              { readSystemClock,
                  [this, responseBody](const http_message& request, const handle<http_responder>& responder) {
                      auto response = makeResponse(okStatus, responseBody, "text/plain");
                      server.sign(response, request);
                      responder->respond(std::move(response));
                  },
                  [](const std::string&) {} })
        , process(program, { "--settings", settingsPath(directory) }, settingsPath(directory) + ".log")
    {
        auto settings = makeNodeSettings(node);
        settings["listen"].erase("peers_announced"); // Earlier builds do not know it.
        std::ofstream(settingsPath(directory)) << settings.dump(4);
    }

    std::string settingsPath(const std::string& directory) const
    {
        return directory + "/node-" + std::to_string(node.number) + ".json";
    }
};

/** Sends requests at fixed times over one kept connection. */
class paced_caller {
public:
    using call_hook = std::function<http_message()>;

    paced_caller(asio::io_context& context, tcp::endpoint node, call_hook makeRequest)
        : m_context(context)
        , m_node(std::move(node))
        , m_makeRequest(std::move(makeRequest))
        , m_timer(context)
    {
    }

    /** Sends at \p first and then at each \p interval, or as soon as the response to the last one has come.
     */
    void start(instant first, duration interval)
    {
        m_next = first;
        m_interval = interval;
        m_timer.startAt(m_next, [this] { send(); });
    }

    void forgetResults()
    {
        responseTimes.clear();
        failures = 0;
    }

    void stop()
    {
        m_timer.cancel();
        if (m_connection)
            m_connection->cancel();
    }

    std::vector<duration> responseTimes;
    std::size_t failures = 0;

private:
    void send()
    {
        if (!m_connection || !m_connection->isReusable())
            m_connection = handle<http_client_connection>(new http_client_connection(m_context, {}));
        auto sentAt = readSystemClock().monotonic;
        m_connection->call(
            m_node, m_makeRequest(), requestTimeout, requestTimeout, [this, sentAt](const auto& result) {
                auto now = readSystemClock().monotonic;
                responseTimes.push_back(now - sentAt);
                failures += result && result->status == okStatus ? 0 : 1;
                m_next = std::max(m_next + m_interval, now);
                m_timer.startAt(m_next, [this] { send(); });
            });
    }

    asio::io_context& m_context;
    tcp::endpoint m_node;
    call_hook m_makeRequest;
    one_shot_timer m_timer;
    handle<http_client_connection> m_connection;
    instant m_next {};
    duration m_interval {};
};

/** Two nodes before one server each; all requests enter at the first node and run at the second. */
class measured_fleet {
public:
    measured_fleet(const std::string& program, const std::string& directory, const load_shape& load)
        : m_load(load)
        , m_body(load.bodyBytes, 'x')
        , m_store(m_context, readSystemClock)
    {
        auto storeAddress = freeEndpoint();
        if (auto error = m_store.listen(storeAddress))
            throw std::runtime_error(*error);
        for (std::size_t i = 0; i < services.size(); ++i)
            m_instances.push_back(
                std::make_unique<measured_instance>(m_context, i, storeAddress, program, directory, m_body));
        std::vector<std::string> names(services.begin(), services.end());
        m_store.configure(makeConfiguration(1, names,
            { { "browse", "/browse/", names[1], true }, { "bids", "/bids/", names[1], false } }, { apiKey })
                              .dump());
        for (const auto& each : m_instances) {
            if (auto error = each->process.start())
                throw std::runtime_error(*error);
            if (auto error = each->server.start())
                throw std::runtime_error(*error);
        }
    }

    run_result run()
    {
        waitUntilServed();
        auto start = readSystemClock().monotonic;
        auto interval = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(static_cast<double>(m_load.callers) / m_load.requestsPerSecond));
        std::vector<std::unique_ptr<paced_caller>> callers;
        for (std::size_t i = 0; i < m_load.callers; ++i) {
            callers.push_back(std::make_unique<paced_caller>(
                m_context, m_instances.front()->node.callers, [this] { return makeRequest(); }));
            callers.back()->start(start + interval * i / m_load.callers, interval);
        }
        m_context.restart();
        m_context.run_for(m_load.warmUp);
        for (const auto& each : callers)
            each->forgetResults();
        auto before = processorTime();
        m_context.run_for(m_load.length);
        auto after = processorTime();
        run_result result;
        std::vector<duration> times;
        for (const auto& each : callers) {
            times.insert(times.end(), each->responseTimes.begin(), each->responseTimes.end());
            result.failures += each->failures;
            each->stop();
        }
        if (times.empty())
            throw std::runtime_error("no request was answered");
        std::sort(times.begin(), times.end());
        result.requests = times.size();
        result.median = std::chrono::duration_cast<microseconds>(times[times.size() / 2]);
        result.p99 = std::chrono::duration_cast<microseconds>(times[times.size() * 99 / 100]);
        result.processorTime = std::chrono::duration_cast<microseconds>((after - before) / times.size());
        return result;
    }

private:
    http_message makeRequest()
    {
        auto id = fmt::format("{:016x}", ++m_requestCount);
        bool mustRunOnce = m_requestCount % 2 == 0;
        return mustRunOnce ? makeCallerRequest("POST", "/bids/x", id, apiKey, requestTimeout, m_body)
                           : makeCallerRequest("GET", "/browse/x", id, apiKey, requestTimeout);
    }

    void waitUntilServed()
    {
        auto end = readSystemClock().monotonic + startLimit;
        while (readSystemClock().monotonic < end) {
            std::optional<int> status;
            handle<http_client_connection> connection(new http_client_connection(m_context, {}));
            connection->call(m_instances.front()->node.callers, makeRequest(), requestTimeout, requestTimeout,
                [&](const auto& result) { status = result ? result->status : 0; });
            m_context.restart();
            while (!status)
                m_context.run_one_for(milliseconds(100));
            connection->cancel();
            if (*status == okStatus)
                return;
            m_context.run_for(milliseconds(100));
        }
        throw std::runtime_error("the nodes do not serve after their start");
    }

    nanoseconds processorTime() const
    {
        nanoseconds sum {};
        for (const auto& each : m_instances)
            sum += processorTimeOf(each->process.id());
        return sum;
    }

    load_shape m_load;
    std::string m_body;
    asio::io_context m_context;
    emulated_store m_store;
    std::vector<std::unique_ptr<measured_instance>> m_instances;
    std::uint64_t m_requestCount = 0;
};

template <typename Value> Value medianOf(std::vector<Value> values)
{
    std::sort(values.begin(), values.end());
    return values.at(values.size() / 2);
}

void printSummary(const std::string& program, const std::vector<run_result>& runs, double processorBase)
{
    std::vector<microseconds::rep> medians;
    std::vector<microseconds::rep> p99s;
    std::vector<microseconds::rep> processor;
    for (const auto& each : runs) {
        medians.push_back(each.median.count());
        p99s.push_back(each.p99.count());
        processor.push_back(each.processorTime.count());
    }
    auto time = medianOf(processor);
    fmt::print("{}: medians of {} runs: p50 {} us, p99 {} us, both nodes {} us a request ({:+.1f}%)\n",
        program, runs.size(), medianOf(medians), medianOf(p99s), time,
        100 * (static_cast<double>(time) / processorBase - 1));
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> programs;
    std::size_t rounds = 5;
    double length = 5;
    load_shape load;
    CLI::App app("platform_path: measures a request through two nodes on the emulated platform");
    app.add_option("program", programs, "Builds of the node; the first one is compared with")
        ->required()
        ->check(CLI::ExistingFile);
    app.add_option("--rounds", rounds, "Runs of each build")
        ->check(CLI::Range(1, 100))
        ->capture_default_str();
    app.add_option("--seconds", length, "Length of a run")
        ->check(CLI::Range(1.0, 600.0))
        ->capture_default_str();
    app.add_option("--rate", load.requestsPerSecond, "Requests a second")
        ->check(CLI::Range(1.0, 20'000.0))
        ->capture_default_str();
    app.add_option("--body-bytes", load.bodyBytes, "Size of bodies")
        ->check(CLI::Range(0, 4'000'000))
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN); // Closed connections are seen by the failed write.
    load.length = std::chrono::duration_cast<duration>(std::chrono::duration<double>(length));
    auto directory = std::filesystem::temp_directory_path() / ("pomelohub-path-" + std::to_string(getpid()));
    std::filesystem::create_directories(directory);
    std::vector<std::vector<run_result>> results(programs.size());
    std::size_t failures = 0;
    try {
        for (std::size_t round = 0; round < rounds; ++round) {
            for (std::size_t i = 0; i < programs.size(); ++i) {
                auto result = measured_fleet(programs[i], directory.string(), load).run();
                fmt::print("round {} {}: {} requests, {} failed, p50 {} us, p99 {} us, both nodes {} us\n",
                    round + 1, programs[i], result.requests, result.failures, result.median.count(),
                    result.p99.count(), result.processorTime.count());
                std::fflush(stdout);
                failures += result.failures;
                results[i].push_back(result);
            }
        }
    } catch (const std::runtime_error& error) {
        fmt::print(stderr, "platform_path: {}; logs: {}\n", error.what(), directory.string());
        return 2;
    }
    std::filesystem::remove_all(directory);
    std::vector<microseconds::rep> base;
    for (const auto& each : results.front())
        base.push_back(each.processorTime.count());
    for (std::size_t i = 0; i < programs.size(); ++i)
        printSummary(programs[i], results[i], static_cast<double>(medianOf(base)));
    return failures == 0 ? 0 : 1;
}
