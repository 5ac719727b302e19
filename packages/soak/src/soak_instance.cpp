#include "soak_instance.h"

#include "loopback_address.h"
#include "soak_messages.h"

#include <algorithm>
#include <csignal>
#include <fstream>

#include <sys/wait.h>

namespace pomelohub {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr duration exitSlack = seconds(1); ///< After the grace period, for a machine that is busy.
    constexpr duration lastMoments = milliseconds(500); ///< Of a process that was told to stop.
    constexpr duration resetNoticeTime
        = milliseconds(20); ///< Until callers do not use a connection that was reset.
    constexpr duration serverRestartTime = milliseconds(300);
    constexpr duration serviceTimeAfterLeaving = leavingBound + milliseconds(1500);
    constexpr duration heartbeatRepeatDelay = milliseconds(1500);
    constexpr duration linkDelay = milliseconds(40);
    constexpr std::uint32_t slots = 4;
    constexpr std::uint64_t maxRunMs = 30;
    constexpr int okStatus = 200;
    constexpr int failedStatus = 500;

    emulated_node makeNode(std::size_t number, std::string service)
    {
        emulated_node node { number, std::move(service), freeEndpoint(), freeEndpoint(), freeEndpoint(),
            freeEndpoint(), freeEndpoint(), freeEndpoint(), freeEndpoint(), freeEndpoint() };
        node.gracePeriod = soakGracePeriod;
        return node;
    }

    std::string describeEnd(int status)
    {
        return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                   : "exit status " + std::to_string(WEXITSTATUS(status));
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

soak_instance::soak_instance(asio::io_context& context, std::size_t number, std::string service,
    const asio::ip::tcp::endpoint& store, const std::string& program, const std::string& directory,
    promise_checker& checker, hooks hooks)
    : m_context(context)
    , m_node(makeNode(number, std::move(service)))
    , m_checker(checker)
    , m_hooks(std::move(hooks))
    , m_serverAddress(freeEndpoint())
    , m_callerAddress(freeEndpoint())
    , m_peerLink(context, m_node.peers, m_hooks.clock)
    , m_serverLink(context, m_serverAddress, m_hooks.clock)
    , m_storeLink(context, store, m_hooks.clock)
    , m_callerLink(context, m_node.callers, m_hooks.clock)
    , m_server(context,
          { m_node.service, "i-" + std::to_string(number), slots, m_serverAddress, m_node.server,
              m_node.control },
          { m_hooks.clock,
              [this](const http_message& request, const handle<http_responder>& responder) {
                  run(request, responder);
              },
              [this](const std::string& id) {
                  m_checker.recordLeavingAcknowledged(id, m_hooks.clock().monotonic);
              } })
    , m_process(program, { "--settings", directory + "/node-" + std::to_string(number) + ".json" },
          directory + "/node-" + std::to_string(number) + ".log")
{
    std::ofstream(directory + "/node-" + std::to_string(number) + ".json")
        << makeNodeSettings(m_node).dump(4);
    // A caller cannot tell it from a request that was lost.
    m_callerLink.onTargetRefused = [this] { disturbCallers(duration::zero()); };
}

std::optional<std::string> soak_instance::start()
{
    if (auto error = m_peerLink.listen(m_node.announcedPeers))
        return error;
    if (auto error = m_serverLink.listen(m_node.server))
        return error;
    if (auto error = m_storeLink.listen(m_node.store))
        return error;
    if (auto error = m_callerLink.listen(m_callerAddress))
        return error;
    if (auto error = m_process.start())
        return error;
    return m_server.start();
}

bool soak_instance::isCalm() const
{
    return m_process.isRunning() && !m_stoppedAt && m_suspensions == 0 && m_server.isRunning()
        && m_linkFaults.empty();
}

void soak_instance::run(const http_message& request, const handle<http_responder>& responder)
{
    auto now = m_hooks.clock().monotonic;
    std::string id(request.field("Request-Id").value_or(""));
    m_checker.recordRun({ id, m_node.service, m_server.id(), m_node.number }, now);
    if (request.hasField("Authorization"))
        m_checker.recordBreach("no server gets a key", id, now);
    if (request.method == "POST" && request.body.view() != requestBodyOf(id))
        m_checker.recordBreach("a server gets a request whole", id, now);
    bool fails = m_failures > 0 && m_hooks.random(2) == 0;
    auto response = makeResponse(fails ? failedStatus : okStatus, responseBodyOf(id), "text/plain");
    m_server.sign(response, request);
    auto respond = [responder, response = std::move(response)] { responder->respond(response); };
    if (m_stalls > 0) {
        m_stalledResponses.emplace_back(std::move(respond));
        return;
    }
    handle<pending_run> pending(new pending_run(m_context));
    auto& timer = pending->timer;
    timer.startAfter(
        milliseconds(m_hooks.random(maxRunMs)), [pending, respond = std::move(respond)] { respond(); });
}

void soak_instance::play(const planned_fault& fault)
{
    switch (fault.kind) {
    case fault_kind::suspendNode:
        suspendNode(fault.length);
        break;
    case fault_kind::killNode:
        killNode(fault.length);
        break;
    case fault_kind::stopNode:
        stopNode();
        break;
    case fault_kind::resetLink:
        m_peerLink.resetAll();
        break;
    case fault_kind::delayLink:
    case fault_kind::cutLink:
    case fault_kind::cutLinkOneWay:
        playOnLink(m_peerLink, peerLinkKinds, fault);
        break;
    case fault_kind::resetStoreLink:
        m_storeLink.resetAll();
        break;
    case fault_kind::cutStoreLink:
    case fault_kind::cutStoreLinkOneWay:
        playOnLink(m_storeLink, storeLinkKinds, fault);
        break;
    case fault_kind::resetCallerLink:
        disturbCallers(resetNoticeTime);
        m_callerLink.resetAll();
        break;
    case fault_kind::cutCallerLink:
    case fault_kind::cutCallerLinkOneWay:
        disturbCallers(fault.length);
        [[fallthrough]];
    case fault_kind::delayCallerLink:
        playOnLink(m_callerLink, callerLinkKinds, fault);
        break;
    case fault_kind::crashServer:
        crashServer(fault.length);
        break;
    case fault_kind::resetServer:
        m_serverLink.resetAll();
        break;
    case fault_kind::stallServer:
        stallServer(fault.length);
        break;
    case fault_kind::failServer:
        failServer(fault.length);
        break;
    case fault_kind::leaveServer:
        leaveServer();
        break;
    case fault_kind::delayHeartbeat:
        if (m_server.isRunning())
            m_server.repeatHeartbeat(heartbeatRepeatDelay);
        break;
    default:
        break; // It concerns no single instance.
    }
}

void soak_instance::suspendNode(duration length)
{
    if (!m_process.isRunning())
        return;
    ++m_suspensions;
    m_wasSuspendedSinceStop = true;
    m_process.signal(SIGSTOP);
    auto now = m_hooks.clock().monotonic;
    m_hooks.addDisturbance({ m_node.number, false, now, now + length + lastMoments });
    m_hooks.after(length, [this] {
        if (--m_suspensions == 0)
            m_process.signal(SIGCONT);
    });
}

void soak_instance::killNode(duration downTime)
{
    if (!m_process.isRunning())
        return;
    auto now = m_hooks.clock().monotonic;
    m_hooks.addDisturbance({ m_node.number, true, now, now + downTime + lastMoments });
    endNode(downTime);
}

void soak_instance::endNode(duration downTime)
{
    m_isKillExpected = true;
    m_process.signal(SIGKILL);
    m_hooks.after(downTime, [this] {
        if (!m_process.isRunning())
            m_process.start();
    });
}

void soak_instance::stopNode()
{
    if (!m_process.isRunning())
        return;
    if (!m_stoppedAt) {
        m_stoppedAt = m_hooks.clock().monotonic;
        m_wasSuspendedSinceStop = m_suspensions > 0;
    }
    m_process.signal(SIGTERM);
}

void soak_instance::checkProcess(instant now)
{
    auto name = "node " + std::to_string(m_node.number);
    if (auto status = m_process.poll()) {
        bool hasStopped = m_stoppedAt && *status == 0;
        if (!hasStopped && !m_isKillExpected)
            m_checker.recordBreach("no node ends by itself", name + ": " + describeEnd(*status), now);
        if (hasStopped)
            m_hooks.addDisturbance({ m_node.number, true, now - lastMoments, now + lastMoments });
        if (hasStopped || !m_isKillExpected)
            m_process.start();
        m_stoppedAt.reset();
        m_isKillExpected = false;
        return;
    }
    if (!m_stoppedAt || now - *m_stoppedAt < soakGracePeriod + exitSlack || m_isKillExpected)
        return;
    if (!m_wasSuspendedSinceStop)
        m_checker.recordBreach("a node that is told to stop ends within its grace period", name, now);
    m_hooks.addDisturbance({ m_node.number, true, *m_stoppedAt, now + lastMoments });
    endNode(lastMoments);
}

void soak_instance::disturbCallers(duration length)
{
    auto now = m_hooks.clock().monotonic;
    m_hooks.addDisturbance({ m_node.number, true, now, now + length, true });
}

void soak_instance::playOnLink(faulty_link& link, const link_kinds& kinds, const planned_fault& fault)
{
    m_linkFaults.push_back(fault);
    link.setCondition(conditionOf(kinds));
    m_hooks.after(fault.length, [this, &link, kinds, at = fault.at, kind = fault.kind] {
        auto ended = std::find_if(m_linkFaults.begin(), m_linkFaults.end(),
            [&](const planned_fault& each) { return each.at == at && each.kind == kind; });
        m_linkFaults.erase(ended);
        link.setCondition(conditionOf(kinds));
    });
}

link_condition soak_instance::conditionOf(const link_kinds& kinds) const
{
    link_condition condition;
    for (const auto& each : m_linkFaults) {
        condition.delay += each.kind == kinds.delay ? linkDelay : duration::zero();
        condition.isCutToTarget = condition.isCutToTarget || each.kind == kinds.cut;
        condition.isCutFromTarget
            = condition.isCutFromTarget || each.kind == kinds.cut || each.kind == kinds.cutOneWay;
    }
    return condition;
}

void soak_instance::crashServer(duration downTime)
{
    auto change = ++m_serverChanges;
    m_server.stop();
    m_serverLink.setCondition({ .isRefusing = true });
    m_serverLink.resetAll();
    m_hooks.after(downTime, [this, change] {
        if (change != m_serverChanges)
            return;
        m_serverLink.setCondition({});
        m_server.restart();
    });
}

void soak_instance::stallServer(duration length)
{
    ++m_stalls;
    m_hooks.after(length, [this] {
        if (--m_stalls > 0)
            return;
        for (const auto& respond : std::exchange(m_stalledResponses, {}))
            respond();
    });
}

void soak_instance::failServer(duration length)
{
    ++m_failures;
    m_hooks.after(length, [this] { --m_failures; });
}

void soak_instance::leaveServer()
{
    if (!m_server.isRunning())
        return;
    auto change = ++m_serverChanges;
    m_server.leave(m_hooks.random(2) == 0);
    m_hooks.after(serviceTimeAfterLeaving, [this, change] {
        if (change == m_serverChanges)
            crashServer(serverRestartTime);
    });
}

} // namespace pomelohub
