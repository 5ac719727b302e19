#include "platform_standins.h"

#include <spawn.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <sstream>

#include <fcntl.h>
#include <unistd.h>

extern char** environ;

namespace pomelohub {

namespace {

    using std::chrono::milliseconds;

    constexpr auto heartbeatInterval = milliseconds(200);
    constexpr auto restartTime = milliseconds(500); ///< From a crash to the next start.
    constexpr auto waitBound = std::chrono::seconds(20); ///< Bounds a test that fails.

    http_server_limits serverLimits()
    {
        http_server_limits limits;
        limits.idleTimeout = std::chrono::seconds(60);
        return limits;
    }

} // namespace

http_message makeCallerRequest(const std::string& method, const std::string& target, const std::string& id,
    const std::string& key, milliseconds timeout, message_body body)
{
    http_message request;
    request.method = method;
    request.target = target;
    request.fields = { { "Host", "shop.example" }, { "Request-Id", id },
        { "Deadline-Ms", std::to_string(timeout.count()) }, { "Authorization", "Bearer " + key } };
    request.body = std::move(body);
    return request;
}

void run_record::add(standin_run run)
{
    std::lock_guard guard(m_lock);
    m_runs.push_back(std::move(run));
}

std::vector<standin_run> run_record::all() const
{
    std::lock_guard guard(m_lock);
    return m_runs;
}

std::size_t run_record::countOf(const std::string& id) const
{
    std::lock_guard guard(m_lock);
    return static_cast<std::size_t>(
        std::count_if(m_runs.begin(), m_runs.end(), [&](const standin_run& run) { return run.id == id; }));
}

standin_backend::standin_backend(
    asio::io_context& context, std::string service, std::string id, run_record& runs)
    : m_context(context)
    , m_server(context,
          { [this](http_message&& request, handle<http_responder> responder) { serve(request, responder); },
              serverLimits, readSystemClock, nullptr })
    , m_address(freeEndpoint())
    , m_service(std::move(service))
    , m_id(std::move(id))
    , m_runs(runs)
    , m_timer(context)
    , m_connection(new http_client_connection(context, {}))
{
    REQUIRE_FALSE(m_server.listen(m_address));
}

std::string standin_backend::endpoint() const { return textOf(m_address); }

void standin_backend::serve(const http_message& request, const handle<http_responder>& responder)
{
    if (m_isDown) {
        responder->abort();
        return;
    }
    auto text = [&](const char* name) { return std::string(request.field(name).value_or("")); };
    if (request.path() == "/health") {
        auto answer = makeResponse(m_isDraining ? 503 : 200, "");
        answer.fields.push_back({ "Instance-Id", m_id });
        responder->respond(std::move(answer));
        return;
    }
    if (text("Expect-Instance") != m_id) {
        auto answer = makeResponse(421, "");
        answer.fields.push_back({ "Instance-Id", m_id });
        answer.fields.push_back({ "Request-Id", text("Request-Id") });
        responder->respond(std::move(answer));
        return;
    }
    m_runs.add({ text("Request-Id"), request.target, m_service, m_id, text("Tenant-Id"),
        text("Caller-Service"), request.hasField("Authorization"), std::chrono::steady_clock::now() });
    if (request.target.ends_with("/crash")) {
        responder->abort();
        crash();
        return;
    }
    auto status = request.target.ends_with("/fail") ? 500 : 200;
    auto body = "done by " + m_service;
    if (request.target.ends_with("/large"))
        body.assign(largeResponseBytes, 'x');
    if (request.target.ends_with("/huge"))
        body.assign(hugeResponseBytes, 'x');
    auto answer = makeResponse(status, std::move(body), "text/plain");
    answer.fields.push_back({ "Request-Id", text("Request-Id") });
    answer.fields.push_back({ "Server-Stamp", m_id });
    responder->respond(std::move(answer));
}

void standin_backend::crash()
{
    m_isDown = true;
    m_timer.expires_after(restartTime);
    m_timer.async_wait([this](std::error_code error) {
        if (error)
            return;
        m_isDown = false;
        ++m_starts;
        m_id += "r";
        m_sequence = 0;
        beat();
    });
}

void standin_backend::announceTo(const tcp::endpoint& control)
{
    m_control = control;
    asio::post(m_context, [this] { beat(); });
}

void standin_backend::drain()
{
    m_isDraining = true;
    auto end = std::chrono::steady_clock::now() + waitBound;
    while (!m_isDrainAcknowledged && std::chrono::steady_clock::now() < end)
        std::this_thread::yield();
}

void standin_backend::beat()
{
    bool saysDraining = m_isDraining;
    nlohmann::json body { { "service", m_service }, { "address", endpoint() }, { "zone", "z" },
        { "slots", 4 }, { "version", "v1" }, { "state", saysDraining ? "draining" : "ready" },
        { "warmup_left_s", 0 }, { "seq", ++m_sequence }, { "born", 1000 * m_starts } };
    http_message request;
    request.method = "POST";
    request.target = "/-/rpc?call=instances.heartbeat&of=" + m_id;
    request.fields = { { "Host", "control" } };
    request.body = body.dump();
    m_connection->call(
        m_control, request, milliseconds(500), milliseconds(1000), [=, this](http_call_result result) {
            if (result && result->status == 200 && saysDraining)
                m_isDrainAcknowledged = true;
        });
    m_timer.expires_after(heartbeatInterval);
    m_timer.async_wait([this](std::error_code error) {
        if (!error)
            beat();
    });
}

proxy_fleet::proxy_fleet(const std::vector<std::string>& services, const nlohmann::json& extra)
    : m_guard(asio::make_work_guard(m_context))
    , m_store(std::make_unique<emulated_store>(m_context, readSystemClock))
    , m_storeAddress(freeEndpoint())
{
    m_store->setBehaviour([this](const http_message&) {
        return m_isStoreAway ? store_behaviour::unavailable : store_behaviour::normal;
    });
    REQUIRE_FALSE(m_store->listen(m_storeAddress));
    m_directory
        = (std::filesystem::temp_directory_path() / ("pomelohub-" + std::to_string(getpid()))).string();
    std::filesystem::create_directories(m_directory);
    for (std::size_t i = 0; i < services.size(); ++i) {
        m_backends.push_back(
            std::make_unique<standin_backend>(m_context, services[i], "i-" + std::to_string(i), m_runs));
        node_process node;
        node.callers = freeEndpoint();
        node.readiness = freeEndpoint();
        node.control = freeEndpoint();
        node.metrics = freeEndpoint();
        node.settings = m_directory + "/node" + std::to_string(i) + ".json";
        nlohmann::json settings { { "node", "node-" + std::to_string(i) },
            { "data_centre", "z" + std::to_string(i % 3) }, { "service", services[i] },
            { "listen",
                { { "callers", textOf(node.callers) }, { "peers", textOf(freeEndpoint()) },
                    { "backend_calls", textOf(node.control) }, { "readiness", textOf(node.readiness) },
                    { "metrics", textOf(node.metrics) } } },
            { "backend_server", m_backends[i]->endpoint() }, { "store", textOf(m_storeAddress) },
            { "first_start", true }, { "threads", 1 + i % 2 }, { "grace_s", 6 } };
        settings.update(extra);
        std::ofstream(node.settings) << "// Written by a test.\n" << settings.dump(4);
        m_nodes.push_back(node);
    }
    m_thread = std::thread([this] { m_context.run(); });
    for (std::size_t i = 0; i < services.size(); ++i) {
        start(i);
        m_backends[i]->announceTo(m_nodes[i].control);
    }
}

proxy_fleet::~proxy_fleet()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].process > 0) {
            signal(i, SIGKILL);
            waitForEnd(i);
        }
    }
    m_context.stop();
    m_thread.join();

    std::filesystem::remove_all(m_directory);
}

void proxy_fleet::start(std::size_t node, int output)
{
    std::string program = std::string(POMELOHUB_BINARIES) + "/pomelohub-proxy";
    std::string option = "--settings";
    std::array<char*, 4> arguments { program.data(), option.data(), m_nodes[node].settings.data(), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    auto log = m_nodes[node].settings + ".log";
    if (output >= 0)
        posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    else
        posix_spawn_file_actions_addopen(
            &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    REQUIRE(posix_spawn(&m_nodes[node].process, program.c_str(), &actions, nullptr, arguments.data(), environ)
        == 0);
    posix_spawn_file_actions_destroy(&actions);
}

std::size_t proxy_fleet::peakMemory(std::size_t node) const
{
    constexpr std::string_view name = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(m_nodes[node].process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name))
            return std::stoul(line.substr(name.size())) << 10;
    }
    return 0;
}

void proxy_fleet::signal(std::size_t node, int number) { kill(m_nodes[node].process, number); }

std::optional<int> proxy_fleet::exitStatus(std::size_t node)
{
    int status = 0;
    if (waitpid(m_nodes[node].process, &status, WNOHANG) == 0)
        return std::nullopt;
    m_nodes[node].process = -1;
    return status;
}

int proxy_fleet::waitForEnd(std::size_t node)
{
    int status = 0;
    waitpid(m_nodes[node].process, &status, 0);
    m_nodes[node].process = -1;
    return status;
}

void proxy_fleet::configure(const nlohmann::json& document)
{
    m_store->put("keyed.op", "config", document.dump());
}

bool proxy_fleet::waitFor(const std::function<bool()>& condition)
{
    auto end = std::chrono::steady_clock::now() + waitBound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::yield();
    }
    return true;
}

std::optional<http_message> proxy_fleet::send(std::size_t node, const std::string& method,
    const std::string& target, const std::string& id, const std::string& key)
{
    auto request = makeCallerRequest(method, target, id, key, std::chrono::seconds(5));
    asio::io_context context;
    handle<http_client_connection> connection(new http_client_connection(context, {}));
    std::optional<http_message> answer;
    connection->call(
        m_nodes[node].callers, request, milliseconds(1000), milliseconds(6000), [&](http_call_result result) {
            if (result)
                answer = std::move(*result);
            connection->cancel();
        });
    context.run();
    return answer;
}

std::optional<http_message> proxy_fleet::get(const tcp::endpoint& server, const std::string& target)
{
    http_message request;
    request.method = "GET";
    request.target = target;
    request.fields = { { "Host", "node" } };
    asio::io_context context;
    handle<http_client_connection> connection(new http_client_connection(context, {}));
    std::optional<http_message> answer;
    connection->call(server, request, milliseconds(500), milliseconds(500), [&](http_call_result result) {
        if (result)
            answer = std::move(*result);
        connection->cancel();
    });
    context.run();
    return answer;
}

bool proxy_fleet::isReady(std::size_t node)
{
    auto answer = get(m_nodes[node].readiness, "/-/ready");
    return answer && answer->status == 200;
}

std::vector<double> proxy_fleet::metricValues(std::size_t node, const std::string& name)
{
    auto answer = get(m_nodes[node].metrics, "/metrics");
    std::istringstream text(answer ? answer->body.take() : "");
    std::vector<double> values;
    for (std::string line; std::getline(text, line);) {
        bool isSeries = line.starts_with(name) && (line[name.size()] == ' ' || line[name.size()] == '{');
        if (isSeries)
            values.push_back(std::stod(line.substr(line.rfind(' '))));
    }
    return values;
}

int proxy_fleet::metricValue(std::size_t node, const std::string& name)
{
    auto values = metricValues(node, name);
    return values.empty() ? 0 : static_cast<int>(values.front());
}

int proxy_fleet::knownNodes(std::size_t node) { return metricValue(node, "pomelohub_known_nodes"); }

int proxy_fleet::configurationVersion(std::size_t node)
{
    return metricValue(node, "pomelohub_configuration_version");
}

std::size_t proxy_fleet::heldBytes(std::size_t node)
{
    auto values = metricValues(node, "pomelohub_held_bytes");
    REQUIRE_FALSE(values.empty());
    return static_cast<std::size_t>(std::accumulate(values.begin(), values.end(), 0.0));
}

} // namespace pomelohub
