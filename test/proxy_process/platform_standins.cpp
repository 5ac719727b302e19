#include "platform_standins.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <set>
#include <sstream>

namespace pomelohub {

namespace {

    using std::chrono::milliseconds;

    constexpr auto restartTime = milliseconds(500); ///< From a crash to the next start.
    constexpr auto waitBound = std::chrono::seconds(20); ///< Bounds a test that fails.

} // namespace

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
    for (std::size_t i = 0; i < services.size(); ++i)
        addInstance(i, services[i], extra);
    m_thread = std::thread([this] { m_context.run(); });
    for (std::size_t i = 0; i < services.size(); ++i)
        start(i);
}

void proxy_fleet::addInstance(std::size_t number, const std::string& service, const nlohmann::json& extra)
{
    m_instances.push_back(std::make_unique<instance>());
    auto& added = *m_instances.back();
    auto server = freeEndpoint();
    auto peers = freeEndpoint();
    added.node = { number, service, freeEndpoint(), peers, peers, freeEndpoint(), freeEndpoint(),
        freeEndpoint(), server, m_storeAddress };
    auto settings = makeNodeSettings(added.node);
    settings.update(extra);
    auto path = m_directory + "/node" + std::to_string(number) + ".json";
    std::ofstream(path) << "// Written by a test.\n" << settings.dump(4);
    added.process = std::make_unique<node_process>(std::string(POMELOHUB_BINARIES) + "/pomelohub-proxy",
        std::vector<std::string> { "--settings", path }, path + ".log");
    added.server = std::make_unique<emulated_server>(m_context,
        emulated_server::identity {
            service, "i-" + std::to_string(number), 4, server, server, added.node.control },
        emulated_server::hooks { readSystemClock,
            [this, &added](const http_message& request, const handle<http_responder>& responder) {
                runRequest(added, request, responder);
            },
            [&added](const std::string&) { added.isLeavingAcknowledged = true; } });
    REQUIRE_FALSE(added.server->start());
}

void proxy_fleet::runRequest(
    instance& instance, const http_message& request, const handle<http_responder>& responder)
{
    auto text = [&](const char* name) { return std::string(request.field(name).value_or("")); };
    m_runs.add(
        { text("Request-Id"), request.target, instance.node.service, instance.server->id(), text("Tenant-Id"),
            text("Caller-Service"), request.hasField("Authorization"), std::chrono::steady_clock::now() });
    if (request.target.ends_with("/crash")) {
        instance.server->stop();
        responder->abort();
        instance.server->restartAfter(restartTime);
        return;
    }
    auto status = request.target.ends_with("/fail") ? 500 : 200;
    auto body = "done by " + instance.node.service;
    if (request.target.ends_with("/large"))
        body.assign(largeResponseBytes, 'x');
    if (request.target.ends_with("/huge"))
        body.assign(hugeResponseBytes, 'x');
    auto answer = makeResponse(status, std::move(body), "text/plain");
    instance.server->sign(answer, request);
    responder->respond(std::move(answer));
}

void proxy_fleet::drainServer(std::size_t node)
{
    auto& leaving = *m_instances[node];
    asio::post(m_context, [&leaving] { leaving.server->leave(false); });
    waitFor([&] { return leaving.isLeavingAcknowledged.load(); });
}

proxy_fleet::~proxy_fleet()
{
    m_context.stop();
    m_thread.join();
    m_instances.clear(); // Kills the processes.
    std::filesystem::remove_all(m_directory);
}

void proxy_fleet::start(std::size_t node, std::optional<int> output)
{
    REQUIRE_FALSE(m_instances[node]->process->start(output));
}

std::size_t proxy_fleet::peakMemory(std::size_t node) const
{
    constexpr std::string_view name = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(m_instances[node]->process->id()) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name))
            return std::stoul(line.substr(name.size())) << 10;
    }
    return 0;
}

std::size_t proxy_fleet::openDescriptors(std::size_t node) const
{
    std::error_code error; // The process may have ended.
    std::filesystem::directory_iterator entries(
        "/proc/" + std::to_string(m_instances[node]->process->id()) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::size_t proxy_fleet::unreadBytes(std::size_t node) const
{
    constexpr std::string_view socketPrefix = "socket:[";
    std::set<std::string> inodes;
    std::error_code error; // The process may have ended, or have closed a descriptor meanwhile.
    std::filesystem::directory_iterator entries(
        "/proc/" + std::to_string(m_instances[node]->process->id()) + "/fd", error);
    for (const auto& entry : entries) {
        auto target = std::filesystem::read_symlink(entry.path(), error).string();
        if (target.starts_with(socketPrefix))
            inodes.insert(target.substr(socketPrefix.size(), target.size() - socketPrefix.size() - 1));
    }
    std::size_t bytes = 0;
    std::ifstream sockets("/proc/net/tcp");
    std::string line;
    std::getline(sockets, line);
    while (std::getline(sockets, line)) {
        std::istringstream fields(line);
        std::string number, local, remote, state, queues, timer, retransmits, user, timeout, inode;
        fields >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout
            >> inode;
        constexpr std::string_view listening = "0A"; // Its queue counts connections.
        if (state != listening && inodes.contains(inode))
            bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
    }
    return bytes;
}

void proxy_fleet::signal(std::size_t node, int number) { m_instances[node]->process->signal(number); }

std::optional<int> proxy_fleet::exitStatus(std::size_t node) { return m_instances[node]->process->poll(); }

int proxy_fleet::waitForEnd(std::size_t node) { return m_instances[node]->process->wait(); }

void proxy_fleet::configure(const nlohmann::json& document) { m_store->configure(document.dump()); }

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
    connection->call(m_instances[node]->node.callers, request, milliseconds(1000), milliseconds(6000),
        [&](http_call_result result) {
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
    auto answer = get(m_instances[node]->node.readiness, "/-/ready");
    return answer && answer->status == 200;
}

std::vector<double> proxy_fleet::metricValues(std::size_t node, const std::string& name)
{
    auto answer = get(m_instances[node]->node.metrics, "/metrics");
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
