/** \file
 * The program of the fault soak: plays one seed after the other and says which promises were broken.
 */
#include "fault_soak.h"
#include "system_clock.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <charconv>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace {

constexpr int exitBroken = 1;
constexpr int exitNotStarted = 2;

struct soak_options {
    std::uint64_t firstSeed = 1;
    std::uint64_t seedCount = 1;
    std::vector<std::uint64_t> seeds; ///< Played before the range.
    std::string seedFile; ///< Of further seeds to play before the range.
    std::size_t nodes = 9;
    std::size_t callers = 6;
    double lengthSeconds = 15;
    double gapSeconds = 0.5;
    std::string program;
    std::string directory;
    bool printsFaults = false;
};

/** Adds the seeds of the file. \return false if a line cannot be read. */
bool readSeedFile(soak_options& options)
{
    std::ifstream file(options.seedFile);
    for (std::string line; std::getline(file, line);) {
        if (line.empty() || line.starts_with('#'))
            continue;
        std::uint64_t seed = 0;
        auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), seed);
        if (error != std::errc {} || end == line.data() + line.size() || *end != ':')
            return false;
        options.seeds.push_back(seed);
    }
    return true;
}

pomelohub::duration durationOfSeconds(double seconds)
{
    return std::chrono::duration_cast<pomelohub::duration>(std::chrono::duration<double>(seconds));
}

double secondsSince(pomelohub::instant start, pomelohub::instant at)
{
    return std::chrono::duration<double>(at - start).count();
}

void printReport(std::uint64_t seed, const pomelohub::soak_report& report, bool printsFaults)
{
    for (const auto& each : report.faults) {
        if (printsFaults)
            fmt::print("  {:7.3f} s {} node {} for {:.3f} s\n",
                std::chrono::duration<double>(each.at).count(), pomelohub::toText(each.kind), each.node,
                std::chrono::duration<double>(each.length).count());
    }
    for (const auto& each : report.breaches)
        fmt::print("  {:7.3f} s BROKEN: {}: {}\n", secondsSince(report.startedAt, each.at), each.promise,
            each.detail);
    fmt::print(
        "seed {}: {}, {} faults, {} requests: {} served, {} refused or failed, {} without a response\n", seed,
        report.breaches.empty() ? "held" : fmt::format("{} breaches", report.breaches.size()),
        report.faults.size(), report.sent, report.served, report.refused, report.missing);
    std::fflush(stdout);
}

/** \return the exit status. */
int playSeed(std::uint64_t seed, const soak_options& options)
{
    auto directory = options.directory + "/seed-" + std::to_string(seed);
    std::filesystem::create_directories(directory);
    pomelohub::soak_settings settings;
    settings.seed = seed;
    settings.schedule.nodeCount = options.nodes;
    settings.schedule.length = durationOfSeconds(options.lengthSeconds);
    settings.schedule.meanGap = durationOfSeconds(options.gapSeconds);
    settings.callersPerNode = options.callers;
    settings.program = options.program;
    settings.directory = directory;
    pomelohub::fault_soak soak(settings, pomelohub::readSystemClock);
    auto report = soak.run();
    if (report.startError) {
        fmt::print("seed {}: not started: {}\n", seed, *report.startError);
        return exitNotStarted;
    }
    printReport(seed, report, options.printsFaults || !report.breaches.empty());
    if (!report.breaches.empty())
        return exitBroken;
    std::filesystem::remove_all(directory); // Logs are kept of seeds that broke a promise.
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    soak_options options;
    options.program = (std::filesystem::path(argv[0]).parent_path() / "pomelohub-proxy").string();
    options.directory
        = (std::filesystem::temp_directory_path() / ("pomelohub-soak-" + std::to_string(getpid()))).string();
    CLI::App app("pomelohub-soak: plays faults on a fleet of real nodes and checks what callers and backend "
                 "servers see");
    app.add_option("--seed", options.firstSeed, "First seed")->capture_default_str();
    app.add_option("--seeds", options.seedCount, "Number of seeds, from the first one on")
        ->capture_default_str();
    app.add_option("--also", options.seeds, "Seeds to play before the range");
    app.add_option("--seed-file", options.seedFile,
           "File of seeds to play before the range: one a line, and its cause")
        ->check(CLI::ExistingFile);
    app.add_option("--nodes", options.nodes, "Node processes; each service gets a third of them")
        ->check(CLI::Range(3, 200))
        ->capture_default_str();
    app.add_option("--callers", options.callers, "Callers of each node")
        ->check(CLI::Range(1, 100))
        ->capture_default_str();
    app.add_option("--length-s", options.lengthSeconds, "Time in which faults begin")
        ->check(CLI::Range(1.0, 3600.0))
        ->capture_default_str();
    app.add_option("--gap-s", options.gapSeconds, "Mean time between the starts of two faults")
        ->check(CLI::Range(0.01, 60.0))
        ->capture_default_str();
    app.add_option("--program", options.program, "The node's program")->check(CLI::ExistingFile);
    app.add_option("--directory", options.directory, "For settings and logs");
    app.add_flag("--print-faults", options.printsFaults, "Print the faults also of seeds that hold");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN); // Closed connections are seen by the failed write.
    if (!readSeedFile(options)) {
        fmt::print(
            stderr, "{}: each line is a seed, a colon and a text, or begins with #\n", options.seedFile);
        return exitNotStarted;
    }
    for (std::uint64_t i = 0; i < options.seedCount; ++i)
        options.seeds.push_back(options.firstSeed + i);
    int status = 0;
    std::size_t held = 0;
    for (auto seed : options.seeds) {
        auto outcome = playSeed(seed, options);
        held += outcome == 0 ? 1 : 0;
        status = std::max(status, outcome);
    }
    fmt::print("{} of {} seeds held\n", held, options.seeds.size());
    if (status != 0)
        fmt::print("logs: {}\n", options.directory);
    return status;
}
