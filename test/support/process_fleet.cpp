#include "process_fleet.h"

#include "fake_fleet.h"

#include <fcntl.h>
#include <sys/wait.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <thread>

namespace pomelohub::testing {

using nlohmann::json;
using std::chrono::milliseconds;

static const std::string binaries = POMELOHUB_BINARIES;

child_process::child_process(const std::vector<std::string>& arguments, const std::string& log, bool hasInput)
{
    std::vector<char*> words;
    for (const auto& argument : arguments)
        words.push_back(const_cast<char*>(argument.c_str()));
    words.push_back(nullptr);
    int input[2] = { -1, -1 };
    if (hasInput && ::pipe2(input, O_CLOEXEC) != 0)
        throw std::runtime_error("no pipe");
    m_pid = ::fork();
    if (m_pid == 0) {
        if (hasInput)
            ::dup2(input[0], 0);
        int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execv(words[0], words.data());
        ::_exit(127);
    }
    if (hasInput) {
        ::close(input[0]);
        m_input = input[1];
    }
}

child_process::~child_process()
{
    kill();
    if (m_input >= 0)
        ::close(m_input);
}

void child_process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void child_process::kill()
{
    signal(SIGKILL);
    wait();
}

int child_process::wait()
{
    if (m_pid <= 0)
        return -1;
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void child_process::send(const std::string& line) const
{
    auto text = line + "\n";
    if (::write(m_input, text.data(), text.size()) < 0)
        throw std::runtime_error("the child reads no more");
}

int runProgram(const std::vector<std::string>& arguments, const std::string& log)
{
    return child_process(arguments, log).wait();
}

int freePort()
{
    // Below the range of ephemeral ports, so that no outgoing connection takes a port before its listener.
    static std::atomic<int> next { 12'000 + ::getpid() % 200 * 90 };
    for (;;) {
        int port = next++;
        int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        int enabled = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        bool isFree = ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        ::close(socket);
        if (isFree)
            return port;
    }
}

bool eventually(const std::function<bool()>& condition, milliseconds bound)
{
    auto end = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
}

static std::string at(int port) { return "127.0.0.1:" + std::to_string(port); }

static httplib::Client clientFor(int port, milliseconds timeout = milliseconds(10'000))
{
    httplib::Client client("http://" + at(port));
    client.set_connection_timeout(milliseconds(2000));
    client.set_read_timeout(timeout);
    client.set_tcp_nodelay(true);
    return client;
}

httplib::Headers headersFor(const std::string& key)
{
    httplib::Headers headers { { "Host", "example.test" } };
    if (!key.empty())
        headers.emplace("Authorization", "Bearer " + key);
    return headers;
}

call_answer toAnswer(const httplib::Result& result)
{
    call_answer answer;
    if (!result)
        return answer;
    answer.status = result->status;
    answer.body = result->body;
    answer.verdict = result->get_header_value("Pomelohub-Verdict");
    answer.isReplayed = result->has_header("Idempotent-Replayed");
    auto problem = json::parse(result->body, nullptr, false);
    if (problem.is_object() && problem.contains("title"))
        answer.reason = problem["title"];
    return answer;
}

std::string freshKey()
{
    static std::atomic<std::uint64_t> number { static_cast<std::uint64_t>(::getpid()) << 16 };
    return makeIdempotencyKey(std::chrono::floor<milliseconds>(std::chrono::system_clock::now()), ++number);
}

process_fleet::process_fleet(fleet_options options)
    : m_options(std::move(options))
{
    m_directory = std::filesystem::temp_directory_path()
        / ("pomelohub-test-" + std::to_string(::getpid()) + "-" + std::to_string(freePort()));
    std::filesystem::create_directories(m_directory);
    std::ofstream(m_directory / "secrets") << "a secret for datagrams\n";
    runProgram({ "/usr/bin/openssl", "req", "-x509", "-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:P-256",
        "-nodes", "-days", "2", "-subj", "/CN=authority", "-keyout", m_directory / "authority.key", "-out",
        m_directory / "authority.pem" });
    m_logPort = freePort();
    m_log = std::make_unique<child_process>(
        std::vector<std::string> { binaries + "/standin_log", "--port", std::to_string(m_logPort) },
        m_directory / "log.log");
    eventually([&] { return clientFor(m_logPort).Get("/counts").error() == httplib::Error::Success; });
    for (int i = 0; i < m_options.nodes; ++i) {
        auto& added = addNode(m_logPort);
        startNode(added);
        startBackend(added);
    }
}

process_fleet::~process_fleet()
{
    m_nodes.clear();
    m_log.reset();
    if (!std::getenv("POMELOHUB_KEEP_LOGS"))
        std::filesystem::remove_all(m_directory);
}

void process_fleet::makeCertificate(const std::string& name) const
{
    auto file = [&](const std::string& ending) { return (m_directory / (name + ending)).string(); };
    runProgram({ "/usr/bin/openssl", "req", "-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:P-256", "-nodes",
        "-subj", "/CN=" + name, "-keyout", file(".key"), "-out", file(".csr") });
    runProgram(
        { "/usr/bin/openssl", "x509", "-req", "-in", file(".csr"), "-CA", m_directory / "authority.pem",
            "-CAkey", m_directory / "authority.key", "-CAcreateserial", "-days", "2", "-out", file(".pem") });
}

fleet_node& process_fleet::addNode(int logPort)
{
    auto node = std::make_unique<fleet_node>();
    auto number = m_nodes.size();
    node->name = "node-" + std::to_string(number);
    node->dataCentre = "dc-" + std::to_string(number % static_cast<std::size_t>(m_options.dataCentres));
    node->callers = freePort();
    node->peers = freePort();
    node->admin = freePort();
    node->backendPort = freePort();
    node->backend = "backend-" + std::to_string(number);
    node->settingsPath = m_directory / (node->name + ".json");
    makeCertificate(node->name);
    writeSettings(*node, logPort);
    m_nodes.push_back(std::move(node));
    return *m_nodes.back();
}

void process_fleet::writeSettings(const fleet_node& node, int logPort) const
{
    json settings { { "node", node.name }, { "data_centre", node.dataCentre },
        { "listen",
            { { "callers", at(node.callers) }, { "peers", at(node.peers) }, { "admin", at(node.admin) } } },
        { "log", at(logPort) },
        { "tls",
            { { "certificate", m_directory / (node.name + ".pem") },
                { "private_key", m_directory / (node.name + ".key") },
                { "authority", m_directory / "authority.pem" } } },
        { "datagram_secrets_file", m_directory / "secrets" },
        { "limits", { { "request_threads", 32 }, { "backend_threads", 16 }, { "drain_ms", 10'000 } } } };
    auto seeds = json::array();
    for (const auto& other : m_nodes)
        seeds.push_back({ { "node", other->name }, { "endpoint", at(other->peers) } });
    settings["seeds"] = seeds;
    std::ofstream(node.settingsPath) << settings.dump(2);
}

void process_fleet::startNode(fleet_node& node) const
{
    node.process = std::make_unique<child_process>(
        std::vector<std::string> { binaries + "/pomelohubd", "--settings", node.settingsPath },
        m_directory / (node.name + ".log"));
}

void process_fleet::startBackend(fleet_node& node) const
{
    node.backendProcess = std::make_unique<child_process>(
        std::vector<std::string> { binaries + "/standin_backend", "--port", std::to_string(node.backendPort),
            "--admin", at(node.admin), "--id", node.backend, "--service", "example", "--service-ms",
            std::to_string(m_options.serviceMillis), "--cold-answers",
            std::to_string(m_options.coldAnswers) },
        m_directory / (node.backend + ".log"));
}

json process_fleet::status(const fleet_node& node) const
{
    auto answer = clientFor(node.admin, milliseconds(2000)).Get("/v1/status");
    return answer ? json::parse(answer->body, nullptr, false) : json::object();
}

bool process_fleet::waitUntilReady(std::size_t count) const
{
    return eventually([&] {
        for (const auto& node : m_nodes) {
            if (!node->process || !node->process->isRunning())
                continue;
            auto seen = status(*node);
            std::size_t alive = 0;
            for (const auto& member : seen.value("members", json::array()))
                alive += member["status"] == "alive" && !member["backend_servers"].empty() ? 1 : 0;
            if (alive != count || seen.value("readiness", "") != "ready")
                return false;
        }
        return true;
    });
}

bool process_fleet::applyResources(double rate, int burst) const
{
    json resources { { { "kind", "service" }, { "name", "example" }, { "hosts", { "example.test" } },
                         { "routes",
                             { { { "id", "all" }, { "path_prefix", "/" }, { "idempotent", true } },
                                 { { "id", "act" }, { "method", "POST" }, { "path_prefix", "/act" },
                                     { "idempotent", false } } } } },
        { { "kind", "organisation" }, { "name", "org" }, { "requests_per_second", rate }, { "burst", burst },
            { "keys", { { { "key", "test-key" } } } } } };
    if (pomelohub({ "apply" }, resources.dump()) != 0)
        return false;
    return eventually([&] {
        for (const auto& node : m_nodes) {
            if (node->process && node->process->isRunning() && get(*node, "/ready").status != 200)
                return false;
        }
        return true;
    });
}

int process_fleet::pomelohub(const std::vector<std::string>& arguments, const std::string& input) const
{
    std::vector<std::string> words { binaries + "/pomelohub" };
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::string admin = at(m_nodes.front()->admin);
    for (const auto& node : m_nodes) {
        if (node->process && node->process->isRunning()) {
            admin = at(node->admin);
            break;
        }
    }
    words.insert(words.end(), { "--node", admin });
    if (!input.empty()) {
        auto path = m_directory / ("input-" + std::to_string(freePort()) + ".json");
        std::ofstream(path) << input;
        words.insert(words.end(), { path, "--log", at(m_logPort) });
    } else if (arguments.front() == "delete") {
        words.insert(words.end(), { "--log", at(m_logPort) });
    }
    return runProgram(words, m_directory / "pomelohub.log");
}

void process_fleet::setLogFault(const std::string& mode, int delayMillis) const
{
    clientFor(m_logPort).Put(
        "/faults", json { { "mode", mode }, { "delay_ms", delayMillis } }.dump(), "application/json");
}

json process_fleet::control(const fleet_node& node, const json& body) const
{
    auto answer = clientFor(node.backendPort).Put("/control", body.dump(), "application/json");
    return answer ? json::parse(answer->body) : json();
}

json process_fleet::counts(const fleet_node& node) const
{
    auto answer = clientFor(node.backendPort).Get("/counts");
    return answer ? json::parse(answer->body) : json::object();
}

int process_fleet::runsOf(const std::string& key) const
{
    int runs = 0;
    for (const auto& node : m_nodes)
        runs += counts(*node).value("runs", json::object()).value(key, 0);
    return runs;
}

call_answer process_fleet::get(const fleet_node& node, const std::string& path, const std::string& key) const
{
    return toAnswer(clientFor(node.callers).Get(path, headersFor(key)));
}

call_answer process_fleet::act(const fleet_node& node, const std::string& key, const std::string& body) const
{
    auto headers = headersFor("test-key");
    headers.emplace("Idempotency-Key", key);
    headers.emplace("X-Timeout-Ms", "5000");
    return toAnswer(clientFor(node.callers).Post("/act", headers, body, "text/plain"));
}

} // namespace pomelohub::testing
