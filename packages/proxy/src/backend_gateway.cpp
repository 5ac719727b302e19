#include "backend_gateway.h"

#include <algorithm>

namespace pomelohub {

namespace {

    using std::chrono::milliseconds;

    /** Bytes that an answer of a backend server may have; it is held whole so that a cut one can be told. */
    constexpr std::size_t maxAnswerBytes = 32 << 20;
    constexpr std::size_t maxAnswerHead = 64 << 10;
    constexpr std::size_t maxIdleConnections = 64;
    constexpr int firstServerError = 500;
    constexpr int firstError = 400;
    /** Interval of the checks for stuck requests and the cold rate. */
    constexpr duration tickInterval = milliseconds(100);

    /** Verdict of a refusal, out of the type that returns carry. */
    verdict refusal(refusal_reason reason, std::string detail, milliseconds retryAfter = {})
    {
        return verdict { execution::notRun, reason, std::move(detail), retryAfter };
    }

} // namespace

backend_gateway::backend_gateway(asio::io_context& context, asio::ip::tcp::endpoint backend,
    service_id service, data_centre_id dataCentre, const dialect& dialect, gateway_policy policy,
    event_log& log, hooks hooks)
    : m_context(context)
    , m_timer(context)
    , m_backend(std::move(backend))
    , m_service(std::move(service))
    , m_dataCentre(std::move(dataCentre))
    , m_dialect(dialect)
    , m_policy(policy)
    , m_log(log)
    , m_hooks(std::move(hooks))
    , m_queue(
          {},
          [this](const handle<queued_request>& request, instant now) {
              start(boost::static_pointer_cast<gateway_request>(request), now);
          },
          [this](const handle<queued_request>& request, const verdict& reason) {
              refuse(static_cast<gateway_request&>(*request), reason, false);
          })
{
    tick();
}

backend_gateway::~backend_gateway()
{
    for (const auto& request : m_active) {
        request->reply = nullptr;
        if (request->m_connection)
            request->m_connection->cancel();
    }
    for (const auto& idle : m_idle) {
        idle.connection->ended = nullptr;
        idle.connection->cancel();
    }
}

result<void> backend_gateway::check(gateway_request& request, instant now)
{
    auto snapshot = m_hooks.snapshot();
    if (m_isLeaving)
        return notRun(refusal_reason::nodeLeaving, "the node beside the backend server stops");
    if (request.request.service != m_service)
        return notRun(refusal_reason::noBackendServer, "another service runs here");
    if (snapshot && snapshot->evacuated.contains(m_dataCentre))
        return notRun(refusal_reason::dataCentreOutOfService, "the data centre takes no new work");
    if (m_identity.isLeaving())
        return notRun(refusal_reason::backendServerDraining, "the backend server leaves");
    if (!m_identity.isAccepting())
        return notRun(refusal_reason::noBackendServer, "the backend server has not announced itself");
    if (!m_judge.isSuspect())
        return {};
    bool mayTry = request.request.repeats == repeat_rule::idempotent || m_judge.isQuiet(now);
    request.m_isTrial = mayTry && m_judge.takeTrial(now);
    if (request.m_isTrial || m_judge.accepts(request.request.suspects))
        return {};
    return notRun(refusal_reason::backendServerFailed, "the backend server fails requests");
}

duration backend_gateway::avoidanceFor(refusal_reason reason) const
{
    switch (reason) {
    case refusal_reason::nodeLeaving:
    case refusal_reason::backendServerDraining:
        return std::chrono::seconds(2); // It does not come back before its next start.
    case refusal_reason::dataCentreOutOfService:
        return milliseconds(500);
    case refusal_reason::noBackendServer:
        return milliseconds(300);
    case refusal_reason::backendServerFailed:
        return milliseconds(
            200); // Short of the interval between trials, so that each of them finds a request.
    case refusal_reason::backendServerShed:
        return milliseconds(100);
    default:
        return {};
    }
}

void backend_gateway::submit(const handle<gateway_request>& request)
{
    auto now = m_hooks.clock().monotonic;
    request->organisation = request->request.organisation;
    request->m_endsBy = now + request->request.timeLeft;
    auto admitted = check(*request, now);
    if (admitted) {
        admission_request wish { request, request->m_endsBy, request->request.rank, request->request.patience,
            request->request.isNested };
        admitted = m_queue.offer(wish, now);
    }
    if (!admitted)
        refuse(*request, admitted.error(), false);
    schedule();
}

void backend_gateway::refuse(gateway_request& request, const verdict& reason, bool reachedBackend)
{
    forward_reply reply;
    reply.answer = tl::unexpected(reason);
    reply.reachedBackend = reachedBackend;
    reply.avoidFor = avoidanceFor(reason.reason);
    finish(request, std::move(reply));
}

void backend_gateway::finish(gateway_request& request, forward_reply reply)
{
    if (request.m_stage == gateway_request::stage::done)
        return;
    handle<gateway_request> self(&request);
    request.m_stage = gateway_request::stage::done;
    request.m_connection = nullptr;
    std::erase(m_active, self);
    reply.report = report();
    auto hook = std::move(request.reply);
    request.reply = nullptr;
    request.granted = nullptr;
    if (hook)
        hook(std::move(reply));
}

void backend_gateway::start(const handle<gateway_request>& request, instant now)
{
    m_active.push_back(request);
    request->m_startedAt = now;
    if (request->isMessageHere) {
        run(request, now);
        return;
    }
    request->m_stage = gateway_request::stage::granted;
    request->granted();
}

void backend_gateway::commit(gateway_request& request)
{
    if (request.m_stage != gateway_request::stage::granted)
        return;
    run(&request, m_hooks.clock().monotonic);
}

void backend_gateway::run(const handle<gateway_request>& request, instant now)
{
    request->m_stage = gateway_request::stage::running;
    auto left = request->m_endsBy - now;
    // The server may have begun to leave while the request waited.
    if (!m_identity.isAccepting() || left <= duration::zero()) {
        auto reason = left <= duration::zero() ? refusal_reason::deadlineExceeded
                                               : refusal_reason::backendServerDraining;
        asio::post(m_context, [this, request, reason] {
            m_queue.release(std::nullopt, m_hooks.clock().monotonic);
            refuse(*request, refusal(reason, "the backend server cannot start it any more"), false);
        });
        return;
    }
    request->m_startedAt = now;
    auto message = m_dialect.makeBackendRequest(request->request, { m_identity.current().id, left });
    request->m_connection = takeConnection(now);
    request->m_connection->call(m_backend, message, m_policy.connectTimeout, left,
        [this, request](http_call_result result) { takeResult(*request, std::move(result)); });
}

void backend_gateway::takeResult(gateway_request& request, http_call_result result)
{
    handle<gateway_request> self(&request);
    auto now = m_hooks.clock().monotonic;
    if (result)
        takeAnswer(request, std::move(*result), now);
    else
        takeFailure(request, result.error(), now);
    schedule();
}

void backend_gateway::takeAnswer(gateway_request& request, http_message&& answer, instant now)
{
    auto connection = request.m_connection;
    auto info = m_dialect.readBackendAnswer(answer);
    bool isForOther = info.answers && *info.answers != request.request.id;
    bool isUnproved = answer.status < firstError && !info.hasReceipt;
    if (isForOther || isUnproved || info.hasEncodedBody) {
        connection->cancel();
        noteOutcome(request, backend_outcome::broken, now);
        m_queue.release(std::nullopt, now);
        forward_reply reply;
        reply.answer
            = mayHaveRun(refusal_reason::backendServerFailed, "the answer is not that of the request");
        reply.reachedBackend = true;
        finish(request, std::move(reply));
        return;
    }
    if (connection->isReusable())
        keepConnection(connection, now);
    if (info.isOtherInstance) {
        m_identity.forget();
        m_queue.release(std::nullopt, now);
        refuse(request, refusal(refusal_reason::noBackendServer, "another server has the address"), true);
        return;
    }
    if (info.wasNotRun) {
        m_queue.release(std::nullopt, now);
        refuse(request, refusal(refusal_reason::backendServerShed, "the backend server rejected it"), true);
        return;
    }
    bool isFailure = answer.status >= firstServerError;
    noteOutcome(request, isFailure ? backend_outcome::failed : backend_outcome::served, now);
    m_hooks.answered(request.request.fingerprint);
    m_queue.release(isFailure ? std::nullopt : std::optional(now - request.m_startedAt), now);
    forward_reply reply;
    removeConnectionFields(answer);
    reply.answer = std::move(answer);
    reply.reachedBackend = true;
    finish(request, std::move(reply));
}

void backend_gateway::takeFailure(gateway_request& request, http_call_failure failure, instant now)
{
    if (failure == http_call_failure::notConnected) {
        // Nothing listens there: the server has ended, and what ran at the time may have ended it.
        noteCrash(now);
        m_identity.forget();
        m_queue.release(std::nullopt, now);
        refuse(request, refusal(refusal_reason::noBackendServer, "the backend server takes no connection"),
            false);
        return;
    }
    bool isLate = now >= request.m_endsBy;
    if (!isLate) {
        noteOutcome(request, backend_outcome::broken, now);
        m_brokenRuns.push_back({ request.request.fingerprint, now });
    }
    m_queue.release(std::nullopt, now); // After the judgement, which may give back what waits.
    forward_reply reply;
    auto reason = isLate ? refusal_reason::deadlineExceeded : refusal_reason::backendServerFailed;
    reply.answer = mayHaveRun(reason,
        failure == http_call_failure::badAnswer ? "the answer was cut short or spoiled" : "no answer came");
    reply.reachedBackend = true;
    finish(request, std::move(reply));
}

void backend_gateway::noteOutcome(gateway_request& request, backend_outcome outcome, instant now)
{
    if (outcome != backend_outcome::served) {
        m_log.write(event_weight::failure, "run_failed", request.request.id,
            { { "backend", m_identity.isKnown() ? m_identity.current().id.text() : "" },
                { "outcome", toText(outcome) }, { "after", now - request.m_startedAt },
                { "trial", request.m_isTrial }, { "in_use", m_queue.inUse() },
                { "failing_percent", static_cast<std::uint64_t>(m_judge.failingShare() * 100) } });
    }
    if (!m_judge.note(outcome, request.m_startedAt, now))
        return;
    m_log.write(event_weight::always, m_judge.isSuspect() ? "backend_suspect" : "backend_cleared",
        request.request.id,
        { { "backend", m_identity.isKnown() ? m_identity.current().id.text() : "" },
            { "failing_percent", static_cast<std::uint64_t>(m_judge.failingShare() * 100) } });
    // Those that wait have not run and may find a server that serves them.
    if (m_judge.isSuspect())
        m_queue.refuseAll(
            refusal(refusal_reason::backendServerFailed, "the backend server fails requests"), now);
}

void backend_gateway::noteCrash(instant now)
{
    auto id = m_identity.isKnown() ? m_identity.current().id : backend_server_id();
    for (const auto& each : m_brokenRuns) {
        if (now - each.at < m_policy.crashWindow)
            m_hooks.crashed(each.fingerprint, id);
    }
    m_brokenRuns.clear();
}

void backend_gateway::cancel(gateway_request& request)
{
    handle<gateway_request> self(&request);
    auto now = m_hooks.clock().monotonic;
    switch (request.m_stage) {
    case gateway_request::stage::waiting:
        m_queue.withdraw(request);
        request.reply = nullptr;
        finish(request, {});
        break;
    case gateway_request::stage::granted:
        request.reply = nullptr;
        finish(request, {});
        m_queue.release(std::nullopt, now);
        break;
    case gateway_request::stage::running:
        request.reply = nullptr;
        if (request.request.repeats == repeat_rule::idempotent) {
            request.m_connection->cancel();
            finish(request, {});
            m_queue.release(std::nullopt, now);
        }
        break;
    case gateway_request::stage::done:
        break;
    }
    schedule();
}

handle<http_client_connection> backend_gateway::takeConnection(instant now)
{
    while (!m_idle.empty()) {
        auto idle = m_idle.front();
        m_idle.pop_front();
        idle.connection->ended = nullptr;
        if (idle.connection->isReusable() && now < idle.until)
            return idle.connection;
        idle.connection->cancel();
    }
    return handle<http_client_connection>(
        new http_client_connection(m_context, { maxAnswerHead, maxAnswerBytes }));
}

void backend_gateway::keepConnection(const handle<http_client_connection>& connection, instant now)
{
    duration idleTime = m_policy.defaultIdleTime;
    if (auto announced = connection->announcedIdleTime())
        idleTime = std::max<duration>(*announced - m_policy.idleMargin, duration::zero());
    m_idle.push_front({ connection, now + idleTime });
    connection->ended = [this, raw = connection.get()] {
        std::erase_if(m_idle, [&](const idle_connection& each) { return each.connection.get() == raw; });
    };
    if (m_idle.size() > maxIdleConnections) {
        m_idle.back().connection->cancel();
        m_idle.pop_back();
    }
}

heartbeat_effect backend_gateway::takeHeartbeat(const backend_heartbeat& heartbeat)
{
    auto now = m_hooks.clock().monotonic;
    bool wasLeaving = m_identity.isLeaving();
    auto effect = m_identity.take(heartbeat, now);
    if (effect == heartbeat_effect::stale)
        return effect;
    if (effect == heartbeat_effect::newStart) {
        noteCrash(now);
        m_judge.reset();
        while (!m_idle.empty()) {
            m_idle.front().connection->cancel();
            m_idle.pop_front();
        }
        m_log.write(event_weight::always, "backend_started", {},
            { { "backend", heartbeat.id.text() }, { "service", heartbeat.service.text() },
                { "slots", heartbeat.slots }, { "cold", heartbeat.coldFor } });
    }
    applyColdness(now);
    m_queue.setSlots(heartbeat.slots, now);
    if (m_identity.isLeaving() && !wasLeaving) {
        m_log.write(event_weight::always, "backend_draining", {}, { { "backend", heartbeat.id.text() } });
        m_queue.refuseAll(refusal(refusal_reason::backendServerDraining, "the backend server leaves"), now);
    }
    return effect;
}

bool backend_gateway::takeLeave(const backend_server_id& id, wall_time startedAt)
{
    auto present = m_hooks.clock();
    if (!m_identity.leave(id, startedAt, present.wall))
        return false;
    m_log.write(event_weight::always, "backend_left", {}, { { "backend", id.text() } });
    m_queue.refuseAll(
        refusal(refusal_reason::backendServerDraining, "the backend server leaves"), present.monotonic);
    return true;
}

void backend_gateway::applyColdness(instant now)
{
    auto snapshot = m_hooks.snapshot();
    const auto* profile = snapshot && snapshot->routes ? snapshot->routes->profileOf(m_service) : nullptr;
    bool isCold = m_identity.isCold(now);
    m_queue.setCold(
        isCold && profile ? profile->warmupPerSecond * m_policy.coldShare : 0, m_identity.coldUntil());
}

void backend_gateway::startLeaving()
{
    m_isLeaving = true;
    m_queue.refuseAll(refusal(refusal_reason::nodeLeaving, "the node beside the backend server stops"),
        m_hooks.clock().monotonic);
}

void backend_gateway::refresh()
{
    auto now = m_hooks.clock().monotonic;
    auto snapshot = m_hooks.snapshot();
    applyColdness(now);
    if (snapshot && snapshot->evacuated.contains(m_dataCentre))
        m_queue.refuseAll(
            refusal(refusal_reason::dataCentreOutOfService, "the data centre takes no new work"), now);
}

backend_report backend_gateway::report() const
{
    return { m_queue.inUse(), static_cast<std::uint32_t>(m_queue.waiting()), m_queue.slots(),
        m_queue.meanLatency(), m_judge.failingShare(), m_identity.isCold(m_hooks.clock().monotonic),
        m_judge.isSuspect() };
}

void backend_gateway::noteRunning()
{
    double running = 0;
    double repeats = 0;
    for (const auto& each : m_active) {
        bool isRunning = each->m_stage == gateway_request::stage::running;
        running += isRunning ? 1 : 0;
        repeats += isRunning && each->request.isRepeat ? 1 : 0;
    }
    m_repeatShare = running > 0 ? repeats / running : 0;
}

void backend_gateway::schedule()
{
    noteRunning();
    m_activeCount = m_queue.inUse() + m_queue.waiting();
    auto now = m_hooks.clock().monotonic;
    auto next = m_queue.nextStart(now);
    if (!next || *next > now + tickInterval)
        return;
    m_timer.expires_at(*next);
    m_timer.async_wait([this](std::error_code error) {
        if (!error)
            tick();
    });
}

void backend_gateway::tick()
{
    auto now = m_hooks.clock().monotonic;
    m_queue.pump(now);
    auto stuckAge
        = std::max<duration>(m_policy.stuckAfter, scaled(m_queue.meanLatency(), m_policy.stuckFactor));
    std::vector<handle<gateway_request>> abandoned;
    for (const auto& request : m_active) {
        auto age = now - request->m_startedAt;
        if (request->m_stage == gateway_request::stage::granted && age > m_policy.commitTimeout)
            abandoned.push_back(request);
        if (request->m_stage == gateway_request::stage::running && !request->m_isStuck && age > stuckAge) {
            request->m_isStuck = true;
            noteOutcome(*request, backend_outcome::stuck, now);
        }
    }
    for (const auto& request : abandoned) {
        refuse(*request, refusal(refusal_reason::pathFailed, "the request did not follow its offer"), false);
        m_queue.release(std::nullopt, now);
    }
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](std::error_code error) {
        if (!error)
            tick();
    });
    schedule();
}

} // namespace pomelohub
