#include "fault_soak.h"

#include "hashing.h"
#include "loopback_address.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <sstream>

#include <sys/wait.h>

namespace pomelohub {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr std::array<std::string_view, 3> services { "browse", "bids", "photos" };
    constexpr std::string_view apiKey = "k1";
    constexpr auto gracePeriod = seconds(6);
    constexpr duration exitSlack = seconds(1); ///< After the grace period, for a machine that is busy.
    constexpr duration lastMoments = milliseconds(500); ///< Of a process that was told to stop.
    constexpr duration processCheckInterval = milliseconds(20);
    constexpr duration startLimit = seconds(30);
    constexpr duration recoveryLimit = seconds(15);
    constexpr duration serverRestartTime = milliseconds(300);
    constexpr duration serviceTimeAfterLeaving = leavingBound + milliseconds(1500);
    constexpr duration heartbeatRepeatDelay = milliseconds(1500);
    constexpr std::size_t maxHeldBytes = 1 << 20; ///< Of a node that has nothing to do.
    constexpr int maxRunMs = 30;
    constexpr int okStatus = 200;
    constexpr int failedStatus = 500;

    /** A text that depends on the id in each of its parts. */
    std::string makeBody(const std::string& id, std::size_t size)
    {
        std::string body;
        while (body.size() < size)
            body += id + ';';
        return body;
    }

    /** Most bodies are small, one in 8 takes several frames, and one in 64 more than a window of a stream. */
    std::size_t bodySizeOf(const std::string& id, std::uint64_t salt)
    {
        constexpr std::uint64_t classes = 64;
        constexpr std::uint64_t middleClasses = 8;
        constexpr std::uint64_t maxLargeBytes = 4 << 20;
        constexpr std::uint64_t maxMiddleBytes = 400 << 10;
        constexpr std::uint64_t maxSmallBytes = 200;
        auto hash = stableHash(id, salt);
        auto sizeClass = hash % classes;
        auto maxBytes = sizeClass == 0   ? maxLargeBytes
            : sizeClass <= middleClasses ? maxMiddleBytes
                                         : maxSmallBytes;
        return hash / classes % maxBytes;
    }

    std::string requestBodyOf(const std::string& id)
    {
        constexpr std::uint64_t salt = 1;
        return makeBody(id, bodySizeOf(id, salt));
    }

    bool isOfServer(fault_kind kind)
    {
        return kind >= fault_kind::crashServer && kind <= fault_kind::delayHeartbeat;
    }

    bool isOfLink(fault_kind kind)
    {
        return kind >= fault_kind::delayLink && kind <= fault_kind::cutLinkOneWay;
    }

    /** A response that is sent after a while. */
    struct pending_run : ref_counted<pending_run> {
        explicit pending_run(asio::io_context& context)
            : timer(context)
        {
        }
        one_shot_timer timer;
    };

} // namespace

struct fault_soak::instance {
    std::size_t number = 0;
    std::string service;
    asio::ip::tcp::endpoint callers = freeEndpoint();
    asio::ip::tcp::endpoint peers = freeEndpoint();
    asio::ip::tcp::endpoint announcedPeers = freeEndpoint();
    asio::ip::tcp::endpoint control = freeEndpoint();
    asio::ip::tcp::endpoint readiness = freeEndpoint();
    asio::ip::tcp::endpoint metrics = freeEndpoint();
    asio::ip::tcp::endpoint server = freeEndpoint();
    asio::ip::tcp::endpoint announcedServer = freeEndpoint();
    std::unique_ptr<faulty_link> peerLink;
    std::unique_ptr<faulty_link> serverLink;
    std::unique_ptr<emulated_server> backend;
    std::unique_ptr<node_process> process;
    std::vector<planned_fault> linkFaults; ///< That have not ended.
    std::vector<std::function<void()>> stalledResponses;
    int suspensions = 0; ///< That have not ended.
    int stalls = 0;
    int failures = 0;
    std::uint64_t serverChanges = 0; ///< Cancels what was planned for an earlier start of the server.
    std::optional<instant> stoppedAt; ///< When it was told to stop.
    bool wasSuspendedSinceStop = false;
    bool isKillExpected = false;
};

fault_soak::fault_soak(soak_settings settings, clock_hook clock)
    : m_settings(std::move(settings))
    , m_clock(std::move(clock))
    , m_checker([this](const std::string& id) { return expectedBody(id); })
    , m_processTimer(m_context)
    , m_random(m_settings.seed)
{
}

fault_soak::~fault_soak()
{
    // Connections of callers end before the nodes, so that their hooks do not run on a part of this.
    m_callers.clear();
}

std::string fault_soak::expectedBody(const std::string& id) const
{
    constexpr std::uint64_t salt = 2;
    return makeBody(id, bodySizeOf(id, salt));
}

bool fault_soak::runUntil(const std::function<bool()>& condition, duration limit)
{
    constexpr auto step = milliseconds(20);
    auto end = m_clock().monotonic + limit;
    m_context.restart();
    while (!condition()) {
        if (m_clock().monotonic >= end)
            return false;
        m_context.run_one_for(step);
    }
    return true;
}

void fault_soak::after(duration time, std::function<void()> action)
{
    m_timers.push_back(std::make_unique<one_shot_timer>(m_context));
    m_timers.back()->startAfter(time, std::move(action));
}

nlohmann::json fault_soak::nodeSettings(const instance& instance) const
{
    constexpr std::size_t dataCentres = 3;
    return { { "node", "node-" + std::to_string(instance.number) },
        { "data_centre", "z" + std::to_string(instance.number % dataCentres) },
        { "service", instance.service },
        { "listen",
            { { "callers", textOf(instance.callers) }, { "peers", textOf(instance.peers) },
                { "peers_announced", textOf(instance.announcedPeers) },
                { "backend_calls", textOf(instance.control) }, { "readiness", textOf(instance.readiness) },
                { "metrics", textOf(instance.metrics) } } },
        { "backend_server", textOf(instance.announcedServer) }, { "store", textOf(m_storeAddress) },
        { "first_start", true }, { "threads", 1 + instance.number % 2 }, { "grace_s", gracePeriod.count() } };
}

void fault_soak::configure()
{
    nlohmann::json profiles = nlohmann::json::array();
    nlohmann::json paths = nlohmann::json::array();
    for (const auto& service : services) {
        bool isSafe = service == services.front();
        profiles.push_back({ { "name", service }, { "health_check_path", "/health" } });
        paths.push_back({ { "name", service }, { "path_prefix", "/" + std::string(service) + "/" },
            { "route_type", isSafe ? "safe" : "unsafe" }, { "timeout_s", 3 }, { "target_latency_s", 1 },
            { "service", service }, { "max_attempts", 2 } });
    }
    nlohmann::json document { { "version", "r" + std::to_string(++m_configurationVersion) },
        { "services", profiles },
        { "virtual_hosts", nlohmann::json::array({ { { "host", "shop.example" }, { "paths", paths } } }) },
        { "tenants",
            nlohmann::json::array({ { { "name", "guild" }, { "api_keys", { std::string(apiKey) } } } }) } };
    m_store->put("keyed.op", "config", document.dump());
}

std::optional<std::string> fault_soak::startInstance(std::size_t number)
{
    m_instances.push_back(std::make_unique<instance>());
    auto& added = *m_instances.back();
    added.number = number;
    added.service = services.at(number % services.size());
    added.peerLink = std::make_unique<faulty_link>(m_context, added.peers, m_clock);
    added.serverLink = std::make_unique<faulty_link>(m_context, added.server, m_clock);
    added.backend = std::make_unique<emulated_server>(m_context,
        emulated_server::identity { added.service, "i-" + std::to_string(number), 4, added.server,
            added.announcedServer, added.control },
        emulated_server::hooks { m_clock,
            [this, &added](const http_message& request, const handle<http_responder>& responder) {
                runRequest(added, request, responder);
            },
            [this](
                const std::string& id) { m_checker.recordLeavingAcknowledged(id, m_clock().monotonic); } });
    auto path = m_settings.directory + "/node-" + std::to_string(number);
    std::ofstream(path + ".json") << nodeSettings(added).dump(4);
    added.process = std::make_unique<node_process>(
        m_settings.program, std::vector<std::string> { "--settings", path + ".json" }, path + ".log");
    if (auto error = added.peerLink->listen(added.announcedPeers))
        return error;
    if (auto error = added.serverLink->listen(added.announcedServer))
        return error;
    if (auto error = added.process->start())
        return error;
    return added.backend->start();
}

std::optional<std::string> fault_soak::startFleet()
{
    m_storeAddress = freeEndpoint();
    m_store = std::make_unique<emulated_store>(m_context, m_clock);
    m_store->setBehaviour([this](const http_message&) { return m_storeBehaviour; });
    if (auto error = m_store->listen(m_storeAddress))
        return error;
    for (std::size_t i = 0; i < m_settings.schedule.nodeCount; ++i) {
        if (auto error = startInstance(i))
            return error;
    }
    configure();
    checkProcesses();
    if (!runUntil([this] { return areAllServed(); }, startLimit))
        return "the fleet does not serve all services at all nodes after its start";
    return std::nullopt;
}

void fault_soak::runRequest(
    instance& instance, const http_message& request, const handle<http_responder>& responder)
{
    auto now = m_clock().monotonic;
    std::string id(request.field("Request-Id").value_or(""));
    m_checker.recordRun({ id, instance.service, instance.backend->id(), instance.number }, now);
    if (request.hasField("Authorization"))
        m_checker.recordBreach("no server gets a key", id, now);
    if (request.method == "POST" && request.body.view() != requestBodyOf(id))
        m_checker.recordBreach("a server gets a request whole", id, now);
    bool fails = instance.failures > 0 && m_random() % 2 == 0;
    auto response = makeResponse(fails ? failedStatus : okStatus, expectedBody(id), "text/plain");
    instance.backend->sign(response, request);
    auto respond = [responder, response = std::move(response)] { responder->respond(response); };
    if (instance.stalls > 0) {
        instance.stalledResponses.emplace_back(std::move(respond));
        return;
    }
    handle<pending_run> pending(new pending_run(m_context));
    auto& timer = pending->timer;
    timer.startAfter(
        milliseconds(m_random() % maxRunMs), [pending, respond = std::move(respond)] { respond(); });
}

promise_checker::request fault_soak::makeRequest(std::size_t node, std::string_view service, instant now)
{
    promise_checker::request request;
    request.id = "q" + std::to_string(++m_lastRequest);
    request.service = service;
    request.mustRunOnce = request.service != services.front();
    request.node = node;
    request.sentAt = now;
    m_checker.recordSent(request);
    return request;
}

namespace {

    http_message encodeRequest(const promise_checker::request& request)
    {
        auto timeoutMs = std::chrono::duration_cast<milliseconds>(requestTimeout).count();
        http_message message;
        message.method = request.mustRunOnce ? "POST" : "GET";
        message.target = "/" + request.service + "/x";
        message.fields = { { "Host", "shop.example" }, { "Request-Id", request.id },
            { "Deadline-Ms", std::to_string(timeoutMs) },
            { "Authorization", "Bearer " + std::string(apiKey) } };
        if (request.mustRunOnce)
            message.body = requestBodyOf(request.id);
        return message;
    }

} // namespace

bool fault_soak::serves(std::size_t node, std::string_view service)
{
    auto request = makeRequest(node, service, m_clock().monotonic);
    std::optional<http_call_result> result;
    handle<http_client_connection> connection(new http_client_connection(m_context, {}));
    connection->call(m_instances.at(node)->callers, encodeRequest(request), requestTimeout,
        requestTimeout + responseSlack, [&](http_call_result outcome) { result = std::move(outcome); });
    runUntil([&] { return result.has_value(); }, 2 * (requestTimeout + responseSlack));
    connection->cancel();
    auto now = m_clock().monotonic;
    if (!result || !*result) {
        m_checker.recordMissing(request.id, missing_response::notConnected, now);
        return false;
    }
    m_checker.recordResponse(request.id, { (**result).status, (**result).body.view() }, now);
    return (**result).status == okStatus;
}

bool fault_soak::areAllServed()
{
    for (const auto& each : m_instances) {
        for (const auto& service : services) {
            if (!each->process->isRunning() || !serves(each->number, service))
                return false;
        }
    }
    return true;
}

void fault_soak::addDisturbance(const instance& instance, bool losesRequests, duration length)
{
    auto now = m_clock().monotonic;
    m_disturbances.push_back({ instance.number, losesRequests, now, now + length });
}

void fault_soak::play(const planned_fault& fault)
{
    auto& target = *m_instances.at(fault.node);
    if (isOfLink(fault.kind))
        playOnLink(target, fault);
    else if (isOfServer(fault.kind))
        playOnServer(target, fault);
    else if (fault.kind == fault_kind::changeConfiguration)
        configure();
    else if (fault.kind == fault_kind::storeUnavailable)
        playOnStore(store_behaviour::unavailable, fault.length);
    else if (fault.kind == fault_kind::storeSilent)
        playOnStore(store_behaviour::silent, fault.length);
    else if (fault.kind == fault_kind::storeLosesReplies)
        playOnStore(store_behaviour::losesReply, fault.length);
    else
        playOnNode(target, fault);
}

void fault_soak::playOnStore(store_behaviour behaviour, duration length)
{
    m_storeBehaviour = behaviour;
    ++m_storeFaults;
    after(length, [this] {
        if (--m_storeFaults == 0)
            m_storeBehaviour = store_behaviour::normal;
    });
}

void fault_soak::playOnNode(instance& instance, const planned_fault& fault)
{
    if (!instance.process->isRunning())
        return;
    if (fault.kind == fault_kind::suspendNode) {
        ++instance.suspensions;
        instance.wasSuspendedSinceStop = true;
        instance.process->signal(SIGSTOP);
        addDisturbance(instance, false, fault.length + lastMoments);
        after(fault.length, [&instance] {
            if (--instance.suspensions == 0)
                instance.process->signal(SIGCONT);
        });
    } else if (fault.kind == fault_kind::killNode) {
        instance.isKillExpected = true;
        addDisturbance(instance, true, fault.length + lastMoments);
        instance.process->signal(SIGKILL);
        after(fault.length, [&instance] {
            if (!instance.process->isRunning())
                instance.process->start();
        });
    } else if (fault.kind == fault_kind::stopNode) {
        if (!instance.stoppedAt) {
            instance.stoppedAt = m_clock().monotonic;
            instance.wasSuspendedSinceStop = instance.suspensions > 0;
        }
        instance.process->signal(SIGTERM);
    }
}

void fault_soak::applyLinkConditions(instance& instance)
{
    constexpr duration delay = milliseconds(40);
    link_condition condition;
    for (const auto& each : instance.linkFaults) {
        condition.delay += each.kind == fault_kind::delayLink ? delay : duration::zero();
        condition.isCutToTarget = condition.isCutToTarget || each.kind == fault_kind::cutLink;
        condition.isCutFromTarget = condition.isCutFromTarget || each.kind == fault_kind::cutLink
            || each.kind == fault_kind::cutLinkOneWay;
    }
    instance.peerLink->setCondition(condition);
}

void fault_soak::playOnLink(instance& instance, const planned_fault& fault)
{
    if (fault.kind == fault_kind::resetLink) {
        instance.peerLink->resetAll();
        return;
    }
    instance.linkFaults.push_back(fault);
    applyLinkConditions(instance);
    after(fault.length, [this, &instance, at = fault.at, kind = fault.kind] {
        auto ended = std::find_if(instance.linkFaults.begin(), instance.linkFaults.end(),
            [&](const planned_fault& each) { return each.at == at && each.kind == kind; });
        instance.linkFaults.erase(ended);
        applyLinkConditions(instance);
    });
}

void fault_soak::playOnServer(instance& instance, const planned_fault& fault)
{
    auto stopServer = [this, &instance](duration time) {
        auto change = ++instance.serverChanges;
        instance.backend->stop();
        instance.serverLink->setCondition({ .isRefusing = true });
        instance.serverLink->resetAll();
        after(time, [&instance, change] {
            if (change != instance.serverChanges)
                return;
            instance.serverLink->setCondition({});
            instance.backend->restart();
        });
    };
    switch (fault.kind) {
    case fault_kind::crashServer:
        stopServer(fault.length);
        break;
    case fault_kind::resetServer:
        instance.serverLink->resetAll();
        break;
    case fault_kind::stallServer:
        ++instance.stalls;
        after(fault.length, [&instance] {
            if (--instance.stalls > 0)
                return;
            for (const auto& respond : std::exchange(instance.stalledResponses, {}))
                respond();
        });
        break;
    case fault_kind::failServer:
        ++instance.failures;
        after(fault.length, [&instance] { --instance.failures; });
        break;
    case fault_kind::leaveServer: {
        if (!instance.backend->isRunning())
            break;
        auto change = ++instance.serverChanges;
        instance.backend->leave(m_random() % 2 == 0);
        after(serviceTimeAfterLeaving, [&instance, change, stopServer] {
            if (change == instance.serverChanges)
                stopServer(serverRestartTime);
        });
        break;
    }
    case fault_kind::delayHeartbeat:
        if (instance.backend->isRunning())
            instance.backend->repeatHeartbeat(heartbeatRepeatDelay);
        break;
    default:
        break;
    }
}

void fault_soak::checkProcesses()
{
    auto now = m_clock().monotonic;
    for (const auto& each : m_instances)
        checkProcess(*each, now);
    m_processTimer.startAfter(processCheckInterval, [this] { checkProcesses(); });
}

void fault_soak::checkProcess(instance& instance, instant now)
{
    auto name = "node " + std::to_string(instance.number);
    if (auto status = instance.process->poll()) {
        bool hasStopped = instance.stoppedAt && *status == 0;
        if (!hasStopped && !instance.isKillExpected)
            m_checker.recordBreach("no node ends by itself",
                name
                    + (WIFSIGNALED(*status) ? ": signal " + std::to_string(WTERMSIG(*status))
                                            : ": exit status " + std::to_string(WEXITSTATUS(*status))),
                now);
        if (hasStopped)
            m_disturbances.push_back({ instance.number, true, now - lastMoments, now + lastMoments });
        if (hasStopped || !instance.isKillExpected)
            instance.process->start();
        instance.stoppedAt.reset();
        instance.isKillExpected = false;
        return;
    }
    if (!instance.stoppedAt || now - *instance.stoppedAt < gracePeriod + exitSlack || instance.isKillExpected)
        return;
    if (!instance.wasSuspendedSinceStop)
        m_checker.recordBreach("a node that is told to stop ends within its grace period", name, now);
    m_disturbances.push_back({ instance.number, true, *instance.stoppedAt, now + lastMoments });
    instance.isKillExpected = true;
    instance.process->signal(SIGKILL);
    after(lastMoments, [&instance] {
        if (!instance.process->isRunning())
            instance.process->start();
    });
}

/** Precondition: the longest fault has ended by itself. */
void fault_soak::endFaults()
{
    m_storeBehaviour = store_behaviour::normal;
    auto isCalm = [this] {
        return std::all_of(m_instances.begin(), m_instances.end(), [](const std::unique_ptr<instance>& each) {
            return each->process->isRunning() && !each->stoppedAt && each->suspensions == 0
                && each->backend->isRunning() && each->linkFaults.empty();
        });
    };
    if (!runUntil(isCalm, gracePeriod + 2 * exitSlack + serviceTimeAfterLeaving))
        m_checker.recordBreach("the faults of the soak end", "", m_clock().monotonic);
}

void fault_soak::checkRecovery()
{
    for (const auto& each : m_callers)
        each->stop();
    auto isQuiet = [this] {
        return std::none_of(m_callers.begin(), m_callers.end(),
            [](const std::unique_ptr<soak_caller>& each) { return each->isWaiting(); });
    };
    if (!runUntil(isQuiet, requestTimeout + 2 * responseSlack))
        m_checker.recordBreach("callers get their last responses", "", m_clock().monotonic);
    if (!runUntil([this] { return areAllServed(); }, recoveryLimit))
        m_checker.recordBreach("all is served again after the faults", "", m_clock().monotonic);
    for (const auto& each : m_instances) {
        for (const auto& problem : stateProblems(*each))
            m_checker.recordBreach("a node is in its usual state after the faults",
                "node " + std::to_string(each->number) + ": " + problem, m_clock().monotonic);
    }
}

/** \return what the metrics of a node say that should not be so on a quiet fleet. */
std::vector<std::string> fault_soak::stateProblems(const instance& instance)
{
    http_message question;
    question.method = "GET";
    question.target = "/metrics";
    question.fields = { { "Host", "node" } };
    std::optional<http_call_result> result;
    handle<http_client_connection> connection(new http_client_connection(m_context, {}));
    connection->call(instance.metrics, question, requestTimeout, requestTimeout,
        [&](http_call_result outcome) { result = std::move(outcome); });
    runUntil([&] { return result.has_value(); }, 2 * requestTimeout);
    connection->cancel();
    if (!result || !*result)
        return { "no metrics" };
    std::istringstream text((**result).body.take());
    double heldBytes = 0;
    double version = 0;
    for (std::string line; std::getline(text, line);) {
        auto value = line.starts_with('#') ? 0 : std::stod(line.substr(line.rfind(' ')));
        if (line.starts_with("pomelohub_held_bytes"))
            heldBytes += value;
        if (line.starts_with("pomelohub_configuration_version "))
            version = value;
    }
    std::vector<std::string> problems;
    if (heldBytes > static_cast<double>(maxHeldBytes))
        problems.push_back("holds " + std::to_string(heldBytes) + " bytes");
    if (version != m_configurationVersion)
        problems.push_back(
            "configuration " + std::to_string(version) + " of " + std::to_string(m_configurationVersion));
    return problems;
}

soak_report fault_soak::run()
{
    soak_report report;
    report.faults = makeSchedule(m_settings.seed, m_settings.schedule);
    report.startError = startFleet();
    if (report.startError)
        return report;
    report.startedAt = m_clock().monotonic;
    for (const auto& fault : report.faults)
        after(fault.at, [this, fault] { play(fault); });
    for (const auto& each : m_instances) {
        for (std::size_t i = 0; i < m_settings.callersPerNode; ++i) {
            m_callers.push_back(std::make_unique<soak_caller>(m_context, each->callers, m_random(), m_checker,
                soak_caller::hooks { m_clock,
                    [this, node = each->number](instant now) {
                        return makeRequest(node, services.at(m_random() % services.size()), now);
                    },
                    encodeRequest }));
            m_callers.back()->start();
        }
    }
    runUntil([] { return false; }, m_settings.schedule.length + m_settings.schedule.maxFault);
    endFaults();
    checkRecovery();
    report.breaches = m_checker.finish(m_disturbances);
    report.sent = m_checker.sentCount();
    report.served = m_checker.successCount();
    report.refused = m_checker.refusalCount();
    report.missing = m_checker.missingCount();
    return report;
}

} // namespace pomelohub
