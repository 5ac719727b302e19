#include "fault_soak.h"

#include "loopback_address.h"
#include "soak_messages.h"

#include <algorithm>
#include <sstream>

namespace pomelohub {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr duration processCheckInterval = milliseconds(20);
    constexpr duration startLimit = seconds(30);
    constexpr duration recoveryLimit = seconds(15);
    constexpr duration storeAwayTime = milliseconds(300); ///< Before it comes back from a copy.
    constexpr std::size_t maxHeldBytes = 1 << 20; ///< Of a node that has nothing to do.
    constexpr int okStatus = 200;

} // namespace

fault_soak::fault_soak(soak_settings settings, clock_hook clock)
    : m_settings(std::move(settings))
    , m_clock(std::move(clock))
    , m_checker(responseBodyOf)
    , m_store(m_context, m_clock)
    , m_storeAddress(freeEndpoint())
    , m_processTimer(m_context)
    , m_random(m_settings.seed)
{
    m_store.setBehaviour([this](const http_message&) { return m_storeBehaviour; });
}

fault_soak::~fault_soak()
{
    // Connections of callers end before the nodes, so that their hooks do not run on a part of this.
    m_callers.clear();
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

void fault_soak::configure()
{
    std::vector<std::string> names(soakServices.begin(), soakServices.end());
    std::vector<emulated_route> routes;
    routes.reserve(names.size());
    for (const auto& name : names)
        routes.push_back({ name, "/" + name + "/", name, name == soakServices.front() });
    m_configuration = makeConfiguration(++m_configurationVersion, names, routes, { soakApiKey }).dump();
    m_store.configure(m_configuration);
}

std::optional<std::string> fault_soak::startInstance(std::size_t number)
{
    std::string service(soakServices.at(number % soakServices.size()));
    m_instances.push_back(std::make_unique<soak_instance>(m_context, number, service, m_storeAddress,
        m_settings.program, m_settings.directory, m_checker,
        soak_instance::hooks { m_clock,
            [this](duration time, std::function<void()> action) { after(time, std::move(action)); },
            [this](
                const promise_checker::disturbance& disturbance) { m_disturbances.push_back(disturbance); },
            [this](std::uint64_t below) { return m_random() % below; } }));
    return m_instances.back()->start();
}

std::optional<std::string> fault_soak::startFleet()
{
    if (auto error = m_store.listen(m_storeAddress))
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

void fault_soak::checkProcesses()
{
    auto now = m_clock().monotonic;
    for (const auto& each : m_instances)
        each->checkProcess(now);
    m_processTimer.startAfter(processCheckInterval, [this] { checkProcesses(); });
}

promise_checker::request fault_soak::makeRequest(std::size_t node, std::string_view service, instant now)
{
    promise_checker::request request;
    request.id = "q" + std::to_string(++m_lastRequest);
    request.service = service;
    request.mustRunOnce = request.service != soakServices.front();
    request.node = node;
    request.sentAt = now;
    m_checker.recordSent(request);
    return request;
}

void fault_soak::startCallers()
{
    for (const auto& each : m_instances) {
        for (std::size_t i = 0; i < m_settings.callersPerNode; ++i) {
            m_callers.push_back(
                std::make_unique<soak_caller>(m_context, each->callerAddress(), m_random(), m_checker,
                    soak_caller::hooks { m_clock,
                        [this, node = each->node().number](instant now) {
                            return makeRequest(node, soakServices.at(m_random() % soakServices.size()), now);
                        },
                        encodeRequest }));
            m_callers.back()->start();
        }
    }
}

http_call_result fault_soak::call(const asio::ip::tcp::endpoint& server, const http_message& request)
{
    std::optional<http_call_result> result;
    handle<http_client_connection> connection(new http_client_connection(m_context, {}));
    connection->call(server, request, requestTimeout, requestTimeout + responseSlack,
        [&](http_call_result outcome) { result = std::move(outcome); });
    runUntil([&] { return result.has_value(); }, 2 * (requestTimeout + responseSlack));
    connection->cancel();
    return result ? std::move(*result) : tl::unexpected(http_call_failure::noResponse);
}

bool fault_soak::serves(const soak_instance& instance, std::string_view service)
{
    auto request = makeRequest(instance.node().number, service, m_clock().monotonic);
    auto result = call(instance.node().callers, encodeRequest(request));
    recordResult(m_checker, request, result, m_clock().monotonic);
    return result && result->status == okStatus;
}

bool fault_soak::areAllServed()
{
    return std::all_of(m_instances.begin(), m_instances.end(), [this](const auto& each) {
        return each->isRunning()
            && std::all_of(soakServices.begin(), soakServices.end(),
                [&](std::string_view service) { return serves(*each, service); });
    });
}

void fault_soak::play(const planned_fault& fault)
{
    switch (fault.kind) {
    case fault_kind::storeUnavailable:
        playOnStore(store_behaviour::unavailable, fault.length);
        break;
    case fault_kind::storeSilent:
        playOnStore(store_behaviour::silent, fault.length);
        break;
    case fault_kind::storeLosesReplies:
        playOnStore(store_behaviour::losesReply, fault.length);
        break;
    case fault_kind::changeConfiguration:
        configure();
        break;
    case fault_kind::restoreStore:
        restoreStore(fault.length);
        break;
    default:
        m_instances.at(fault.node)->play(fault);
    }
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

/** Lets the store go back to a copy that is made now and is \p copyAge old then. */
void fault_soak::restoreStore(duration copyAge)
{
    m_store.makeCopy();
    after(copyAge, [this] {
        playOnStore(store_behaviour::unavailable, storeAwayTime);
        m_store.restoreCopy();
    });
    after(copyAge + 2 * storeAwayTime, [this] { m_store.configure(m_configuration); });
}

/** Precondition: the longest fault has ended by itself. */
void fault_soak::endFaults()
{
    m_storeBehaviour = store_behaviour::normal;
    auto areCalm = [this] {
        return std::all_of(
            m_instances.begin(), m_instances.end(), [](const auto& each) { return each->isCalm(); });
    };
    if (!runUntil(areCalm, soakCalmLimit))
        m_checker.recordBreach("the faults of the soak end", "", m_clock().monotonic);
}

void fault_soak::checkRecovery()
{
    for (const auto& each : m_callers)
        each->stop();
    auto isQuiet = [this] {
        return std::none_of(
            m_callers.begin(), m_callers.end(), [](const auto& each) { return each->isWaiting(); });
    };
    if (!runUntil(isQuiet, requestTimeout + 2 * responseSlack))
        m_checker.recordBreach("callers get their last responses", "", m_clock().monotonic);
    if (!runUntil([this] { return areAllServed(); }, recoveryLimit))
        m_checker.recordBreach("all is served again after the faults", "", m_clock().monotonic);
    for (const auto& each : m_instances) {
        for (const auto& problem : stateProblems(*each))
            m_checker.recordBreach("a node is in its usual state after the faults",
                "node " + std::to_string(each->node().number) + ": " + problem, m_clock().monotonic);
    }
}

/** \return what the metrics of a node say that should not be so on a quiet fleet. */
std::vector<std::string> fault_soak::stateProblems(const soak_instance& instance)
{
    http_message question;
    question.method = "GET";
    question.target = "/metrics";
    question.fields = { { "Host", "node" } };
    auto response = call(instance.node().metrics, question);
    if (!response)
        return { "no metrics" };
    std::istringstream text(response->body.take());
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
    startCallers();
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
