/** \file
 * Defines process_fleet, a fleet of real processes on loopback with the stand-ins, for tests that kill,
 * freeze and cut them. Tests wait for conditions with a bound; none depends on how long a step takes.
 */
#pragma once

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pomelohub::testing {

/** A child process, ended with this object. */
class child_process {
public:
    /** Starts \p arguments with output to \p log. With \p hasInput, text can be sent to it. */
    child_process(const std::vector<std::string>& arguments, const std::string& log, bool hasInput = false);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;

    /** Ends it by SIGKILL and waits. */
    void kill();

    /** Waits for its end. \return its exit status, or -1 when a signal ended it. */
    int wait();

    void send(const std::string& line) const;
    bool isRunning() const { return m_pid > 0; }

private:
    int m_pid = -1;
    int m_input = -1;
};

/** One node with its backend server. */
struct fleet_node {
    std::string name;
    std::string dataCentre;
    int callers = 0;
    int peers = 0;
    int admin = 0;
    int backendPort = 0;
    std::string backend;
    std::string settingsPath;
    std::unique_ptr<child_process> process;
    std::unique_ptr<child_process> backendProcess;
};

struct fleet_options {
    int nodes = 3;
    int dataCentres = 1;
    int serviceMillis = 5;
    int coldAnswers = 0;
    double rate = 10'000;
    int burst = 10'000;
};

/** The answer of a call, or status 0 when it was cut. */
struct call_answer {
    int status = 0;
    std::string body;
    std::string verdict;
    std::string reason;
    bool isReplayed = false;
};

class process_fleet {
public:
    explicit process_fleet(fleet_options options);
    ~process_fleet();

    fleet_node& node(std::size_t index) { return *m_nodes.at(index); }
    std::size_t size() const { return m_nodes.size(); }
    int logPort() const { return m_logPort; }

    /** Prepares a node without starting it. */
    fleet_node& addNode(int logPort);
    void startNode(fleet_node& node) const;
    void startBackend(fleet_node& node) const;

    /** Waits until every running node sees \p count members and all backend servers, and is ready. */
    bool waitUntilReady(std::size_t count) const;

    /** Writes one organisation "org" with "test-key" and one service for host "example.test". */
    bool applyResources(double rate, int burst) const;

    /** Runs the operator's program. \return its exit code. */
    int pomelohub(const std::vector<std::string>& arguments, const std::string& input = "") const;

    void setLogFault(const std::string& mode, int delayMillis = 0) const;
    nlohmann::json control(const fleet_node& node, const nlohmann::json& body) const;
    nlohmann::json counts(const fleet_node& node) const;
    nlohmann::json status(const fleet_node& node) const;

    /** Runs of \p key at all backend servers together. */
    int runsOf(const std::string& key) const;

    /** A GET with the organisation's key. */
    call_answer get(
        const fleet_node& node, const std::string& path, const std::string& key = "test-key") const;
    call_answer act(const fleet_node& node, const std::string& key, const std::string& body = "x") const;

    const std::filesystem::path& directory() const { return m_directory; }

private:
    void makeCertificate(const std::string& name) const;
    void writeSettings(const fleet_node& node, int logPort) const;

    fleet_options m_options;
    std::filesystem::path m_directory;
    int m_logPort = 0;
    std::unique_ptr<child_process> m_log;
    std::vector<std::unique_ptr<fleet_node>> m_nodes;
};

/** A port that is free now. */
int freePort();

/** Waits until \p condition holds. \return whether it did within \p bound. */
bool eventually(
    const std::function<bool()>& condition, std::chrono::milliseconds bound = std::chrono::seconds(30));

/** Runs a program to its end. \return its exit status. */
int runProgram(const std::vector<std::string>& arguments, const std::string& log = "/dev/null");

/** The answer of \p client to a request with headers for the test service. */
call_answer toAnswer(const httplib::Result& result);
httplib::Headers headersFor(const std::string& key);

/** A fresh idempotency key. */
std::string freshKey();

} // namespace pomelohub::testing
