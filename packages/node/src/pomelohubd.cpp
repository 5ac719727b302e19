/** \file
 * Main program of a node. It runs in the foreground; SIGTERM and SIGINT drain and stop it, SIGHUP reloads its
 * certificates.
 */
#include "node.h"
#include "system_clock.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <csignal>
#include <iostream>

namespace {

constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 1;

/** Blocks the signals that waitForEnd() receives, in this thread and in the threads that it starts later. */
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (int signal : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&signals, signal);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void waitForEnd(const sigset_t& signals, pomelohub::node& node)
{
    for (int signal = SIGHUP; signal == SIGHUP;) {
        sigwait(&signals, &signal);
        if (signal != SIGHUP)
            return;
        if (auto loaded = node.reloadCertificates(); loaded)
            LOG(INFO) << "certificates reloaded";
        else
            LOG(ERROR) << "failed to reload certificates, keeping the current ones: " << loaded.error();
    }
}

std::optional<pomelohub::node_settings> loadSettings(const std::string& path)
{
    auto text = pomelohub::readFile(path);
    if (!text) {
        std::cerr << text.error() << '\n';
        return std::nullopt;
    }
    std::vector<pomelohub::field_error> errors;
    auto settings = pomelohub::readNodeSettings(*text, errors);
    for (const auto& error : errors)
        std::cerr << path << ": " << pomelohub::toText(error) << '\n';
    return errors.empty() ? std::optional(std::move(settings)) : std::nullopt;
}

int run(pomelohub::node_settings settings)
{
    auto signals = blockSignals();
    pomelohub::node node(std::move(settings), pomelohub::readSystemClock);
    if (auto opened = node.open(); !opened) {
        std::cerr << opened.error() << '\n';
        return exitCannotStart;
    }
    node.start();
    waitForEnd(signals, node);
    node.shutDown();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "pomelohubd: the node of a pomelohub fleet, beside the backend servers of one instance" };
    std::string settingsPath;
    std::string checkPath;
    auto* runOption = app.add_option("--settings", settingsPath, "Settings file (JSON with comments)");
    app.add_option("--check-settings", checkPath, "Check a settings file and exit")->excludes(runOption);
    CLI11_PARSE(app, argc, argv);
    if (settingsPath.empty() && checkPath.empty()) {
        std::cerr << app.help();
        return exitBadSettings;
    }
    auto settings = loadSettings(checkPath.empty() ? settingsPath : checkPath);
    if (!settings)
        return exitBadSettings;
    if (!checkPath.empty()) {
        std::cout << checkPath << ": settings are valid\n";
        return 0;
    }
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    return run(std::move(*settings));
}
