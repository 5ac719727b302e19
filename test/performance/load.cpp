/** \file
 * Load tool: sends requests at a steady rate over kept connections and prints latency quantiles and outcomes
 * as one JSON object. The rate is kept whether or not answers are late, so that queues are measured too.
 */
#include <CLI/CLI.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace {

using clock_type = std::chrono::steady_clock;
using std::chrono::microseconds;

struct load_options {
    std::vector<std::string> targets;
    std::string path = "/";
    std::string host;
    std::string key;
    double rate = 100;
    int connections = 8;
    double seconds = 5;
    double warmUpSeconds = 1;
};

/** What one connection saw. */
struct load_result {
    std::vector<std::int64_t> latencies;
    std::map<int, std::uint64_t> statuses;
};

void runConnection(const load_options& options, int number, clock_type::time_point start, load_result& result)
{
    httplib::Client client("http://" + options.targets[number % options.targets.size()]);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(std::chrono::seconds(10));
    httplib::Headers headers { { "Host", options.host } };
    if (!options.key.empty())
        headers.emplace("Authorization", "Bearer " + options.key);
    auto interval = std::chrono::duration<double>(options.connections / options.rate);
    auto offset = interval * number / options.connections;
    auto measured = start
        + std::chrono::duration_cast<clock_type::duration>(
            std::chrono::duration<double>(options.warmUpSeconds));
    auto end = measured
        + std::chrono::duration_cast<clock_type::duration>(std::chrono::duration<double>(options.seconds));
    for (std::int64_t i = 0;; ++i) {
        auto due = start + std::chrono::duration_cast<clock_type::duration>(offset + interval * i);
        if (due >= end)
            return;
        std::this_thread::sleep_until(due);
        auto answer = client.Get(options.path, headers);
        if (due < measured)
            continue;
        auto latency = std::chrono::duration_cast<microseconds>(clock_type::now() - due);
        result.latencies.push_back(latency.count());
        ++result.statuses[answer ? answer->status : 0];
    }
}

nlohmann::json summarize(std::vector<load_result>& results, const load_options& options)
{
    std::vector<std::int64_t> all;
    std::map<std::string, std::uint64_t> statuses;
    for (auto& result : results) {
        all.insert(all.end(), result.latencies.begin(), result.latencies.end());
        for (auto [status, count] : result.statuses)
            statuses[std::to_string(status)] += count;
    }
    std::sort(all.begin(), all.end());
    auto quantile = [&](double share) {
        return all.empty() ? 0 : all[std::min(all.size() - 1, static_cast<std::size_t>(share * all.size()))];
    };
    return { { "requests", all.size() }, { "per_second", all.size() / options.seconds },
        { "p50_us", quantile(0.5) }, { "p90_us", quantile(0.9) }, { "p99_us", quantile(0.99) },
        { "max_us", all.empty() ? 0 : all.back() }, { "statuses", statuses } };
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Load tool for HTTP/1.1 servers on loopback" };
    load_options options;
    app.add_option("--target", options.targets, "host:port, may be given several times")->required();
    app.add_option("--path", options.path, "Path and query");
    app.add_option("--host", options.host, "Host header");
    app.add_option("--key", options.key, "Bearer token");
    app.add_option("--rate", options.rate, "Requests a second in all");
    app.add_option("--connections", options.connections, "Kept connections");
    app.add_option("--seconds", options.seconds, "Measured time");
    app.add_option("--warm-up", options.warmUpSeconds, "Time before it");
    CLI11_PARSE(app, argc, argv);
    std::vector<load_result> results(static_cast<std::size_t>(options.connections));
    std::vector<std::thread> threads;
    auto start = clock_type::now();
    for (int i = 0; i < options.connections; ++i)
        threads.emplace_back(
            [&, i] { runConnection(options, i, start, results[static_cast<std::size_t>(i)]); });
    for (auto& thread : threads)
        thread.join();
    std::cout << summarize(results, options).dump() << '\n';
}
