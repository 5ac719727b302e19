#include "backend_gateway.h"

#include <algorithm>
#include <cmath>

namespace pomelohub {

namespace {

    using std::chrono::milliseconds;

    /** Maximum size of a backend server's response. The whole response is buffered, so that a truncated one
     * is detected before anything is passed on. */
    constexpr std::size_t maxResponseBytes = 32 << 20;
    constexpr std::size_t maxResponseHeaderBytes = 64 << 10;
    constexpr std::size_t maxIdleConnections = 64;
    constexpr int firstServerError = 500;
    constexpr int firstError = 400;
    /** Interval of the checks for stuck requests and expired grants, while there are requests. */
    constexpr duration checkInterval = milliseconds(100);

    /** A refusal as a plain request_error; notRun() returns it wrapped in tl::unexpected. */
    request_error refusal(refusal_reason reason, std::string detail, milliseconds retryAfter = {})
    {
        return request_error { execution::notRun, reason, std::move(detail), retryAfter };
    }

} // namespace

backend_gateway::backend_gateway(asio::io_context& context, asio::ip::tcp::endpoint backend,
    service_id service, data_centre_id dataCentre, const header_codec& codec, gateway_policy policy,
    event_log& log, hooks hooks)
    : m_context(context)
    , m_timer(context)
    , m_backend(std::move(backend))
    , m_service(std::move(service))
    , m_dataCentre(std::move(dataCentre))
    , m_codec(codec)
    , m_policy(policy)
    , m_log(log)
    , m_hooks(std::move(hooks))
    , m_stuckThreshold(policy.stuckThreshold)
    , m_queue(
          {},
          [this](const handle<queued_request>& request, instant now) {
              start(boost::static_pointer_cast<gateway_request>(request), now);
          },
          [this](const handle<queued_request>& request, const request_error& reason) {
              refuse(static_cast<gateway_request&>(*request), reason, false);
          })
{
}

backend_gateway::~backend_gateway()
{
    for (const auto& request : m_activeRequests) {
        request->onReply = nullptr;
        request->onGranted = nullptr;
        if (request->m_connection)
            request->m_connection->cancel();
    }
    for (const auto& idle : m_idleConnections) {
        idle.connection->onIdleClosed = nullptr;
        idle.connection->cancel();
    }
    if (m_verification)
        m_verification->cancel();
    if (m_question)
        m_question->cancel();
}

result<void> backend_gateway::checkAdmission(gateway_request& request, instant now)
{
    auto snapshot = m_hooks.snapshot();
    if (m_isDraining)
        return notRun(refusal_reason::nodeLeaving, "the node beside the backend server stops");
    if (request.request.service != m_service)
        return notRun(refusal_reason::noBackendServer, "another service runs here");
    if (snapshot && snapshot->evacuated.contains(m_dataCentre))
        return notRun(refusal_reason::dataCentreOutOfService, "the data centre takes no new work");
    if (m_identity.isLeaving())
        return notRun(refusal_reason::backendServerDraining, "the backend server leaves");
    if (!m_identity.isAccepting())
        return notRun(refusal_reason::noBackendServer, "the backend server has not announced itself");
    const auto* profile = profileIn(snapshot);
    if (!m_warmupPerSecond || (m_identity.isCold(now) && !profile))
        return notRun(refusal_reason::nodeStarting, "it is not known yet what a cold server can handle");
    if (m_hooks.isQuarantined(request.request.fingerprint, now))
        return tl::unexpected(quarantineRefusal(request.request.fingerprint));
    if (m_healthCheck.failureRisk(now) <= request.request.maxFailureRisk)
        return {};
    auto rule = request.request.trialRule;
    bool mayBeTrial = rule == trial_rule::always
        || (rule == trial_rule::afterFailures && m_healthCheck.hasNoRecentFailure(now));
    request.m_isTrial = mayBeTrial && m_healthCheck.tryStartTrial(now);
    if (request.m_isTrial)
        return {};
    return notRun(refusal_reason::backendServerFailed, "the backend server fails requests");
}

duration backend_gateway::avoidDurationFor(refusal_reason reason) const
{
    switch (reason) {
    case refusal_reason::nodeLeaving:
    case refusal_reason::backendServerDraining:
        return std::chrono::seconds(2); // The server takes no requests before its next start.
    case refusal_reason::dataCentreOutOfService:
        return milliseconds(500);
    case refusal_reason::noBackendServer:
        return milliseconds(300);
    case refusal_reason::backendServerFailed:
        return milliseconds(
            200); // Shorter than the interval between trials, so that a request is available for each trial.
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
    request->parallelOffers = request->request.parallelOffers;
    request->m_deadline = now + request->request.timeLeft;
    auto admitted = checkAdmission(*request, now);
    if (admitted) {
        admission_request admission { request, request->m_deadline, request->request.rank,
            request->request.maxQueueTime, request->request.isNested };
        admitted = m_queue.admit(admission, now);
    }
    if (!admitted)
        refuse(*request, admitted.error(), false);
    scheduleNextStart();
}

void backend_gateway::refuse(gateway_request& request, const request_error& reason, bool hasReachedBackend)
{
    forward_reply reply;
    reply.response = tl::unexpected(reason);
    reply.hasReachedBackend = hasReachedBackend;
    reply.avoidFor = avoidDurationFor(reason.reason);
    finish(request, std::move(reply));
}

void backend_gateway::finish(gateway_request& request, forward_reply reply)
{
    if (request.m_stage == gateway_request::stage::done)
        return;
    handle<gateway_request> self(&request);
    request.m_stage = gateway_request::stage::done;
    request.m_connection = nullptr;
    std::erase(m_activeRequests, self);
    m_failedCalls = std::min(m_failedCalls, m_activeRequests.size());
    reply.report = report();
    auto hook = std::move(request.onReply);
    request.onReply = nullptr;
    request.onGranted = nullptr;
    if (hook)
        hook(std::move(reply));
}

void backend_gateway::finishAsMayHaveRun(gateway_request& request, refusal_reason reason, std::string detail)
{
    forward_reply reply;
    reply.response = mayHaveRun(reason, std::move(detail));
    reply.hasReachedBackend = true;
    finish(request, std::move(reply));
}

void backend_gateway::start(const handle<gateway_request>& request, instant now)
{
    m_activeRequests.push_back(request);
    request->m_startedAt = now;
    if (request->hasPayload) {
        run(request, now);
        return;
    }
    request->m_stage = gateway_request::stage::granted;
    request->onGranted();
}

void backend_gateway::commit(gateway_request& request)
{
    if (request.m_stage != gateway_request::stage::granted)
        return;
    run(&request, m_hooks.clock().monotonic);
}

/** Checks again what may have changed while the request waited. */
result<void> backend_gateway::checkStart(const gateway_request& request, instant now) const
{
    if (now >= request.m_deadline)
        return notRun(refusal_reason::deadlineExceeded, "the backend server cannot start it any more");
    if (!m_identity.isAccepting())
        return notRun(refusal_reason::backendServerDraining, "the backend server cannot start it any more");
    if (m_hooks.isQuarantined(request.request.fingerprint, now))
        return tl::unexpected(quarantineRefusal(request.request.fingerprint));
    return {};
}

void backend_gateway::run(const handle<gateway_request>& request, instant now)
{
    request->m_stage = gateway_request::stage::running;
    auto remaining = request->m_deadline - now;
    if (auto startable = checkStart(*request, now); !startable) {
        asio::post(m_context, [this, request, reason = startable.error()] {
            if (request->m_stage == gateway_request::stage::done)
                return; // It was cancelled, which has released its slot.
            releaseSlot(*request, std::nullopt, m_hooks.clock().monotonic);
            refuse(*request, reason, false);
        });
        return;
    }
    request->m_startedAt = now;
    request->m_isSent = true;
    m_queue.recordStart(now);
    request->m_backend = m_identity.current().id;
    request->m_backendStartedAt = m_identity.current().startedAt;
    auto message = m_codec.makeBackendRequest(request->request, { request->m_backend, remaining });
    request->m_connection = acquireConnection(now);
    request->m_connection->call(m_backend, message, m_policy.connectTimeout, remaining,
        [this, request](http_call_result result) { handleResult(*request, std::move(result)); });
}

/** Frees the slot of \p request. \param latency as in admission_queue::release(). */
void backend_gateway::releaseSlot(
    const gateway_request& request, std::optional<duration> latency, instant now)
{
    if (!request.m_isSent)
        m_queue.withdrawStart();
    m_queue.release(latency, now);
}

void backend_gateway::handleResult(gateway_request& request, http_call_result result)
{
    handle<gateway_request> self(&request);
    auto now = m_hooks.clock().monotonic;
    if (result)
        handleResponse(request, std::move(*result), now);
    else
        handleFailure(request, result.error(), now);
    scheduleNextStart();
}

void backend_gateway::handleResponse(gateway_request& request, http_message&& response, instant now)
{
    auto connection = request.m_connection;
    auto info = m_codec.readBackendResponse(response);
    bool isForOtherRequest = info.requestId && *info.requestId != request.request.id;
    bool isUnsigned = response.status < firstError && !info.hasSignature;
    // Without an id, a refusal may be an earlier one that was sent again.
    bool isUnprovenRefusal = (info.wasNotRun || info.isOtherServerStart) && !info.requestId;
    if (isForOtherRequest || isUnsigned || isUnprovenRefusal || info.hasEncodedBody) {
        connection->cancel();
        recordOutcome(request, backend_outcome::broken, now);
        releaseSlot(request, std::nullopt, now);
        finishAsMayHaveRun(
            request, refusal_reason::backendServerFailed, "the answer is not that of the request");
        return;
    }
    if (connection->isReusable())
        poolConnection(connection, now);
    if (!info.isOtherServerStart) {
        recordSignOfLife(now);
        applyRequestLimit(info.requestLimit, now);
        if (info.isLeaving && m_identity.recordLeaving(request.m_backend, request.m_backendStartedAt))
            handleLeaving(now);
    }
    if (info.isOtherServerStart) {
        m_identity.forget();
        releaseSlot(request, std::nullopt, now);
        refuse(request, refusal(refusal_reason::noBackendServer, "another server has the address"), true);
        return;
    }
    if (info.wasNotRun) {
        releaseSlot(request, std::nullopt, now);
        refuse(request, refusal(refusal_reason::backendServerShed, "the backend server rejected it"), true);
        return;
    }
    bool isFailure = response.status >= firstServerError;
    if (isFailure && m_failedCalls > 0) {
        --m_failedCalls;
        m_log.write(event_priority::failure, "run_failed_by_call", request.request.id,
            { { "backend", request.m_backend.text() }, { "after", now - request.m_startedAt } });
    } else {
        recordOutcome(request, isFailure ? backend_outcome::failed : backend_outcome::served, now);
    }
    if (!isFailure)
        m_stuckThreshold.record(request.request.isNested, now - request.m_startedAt);
    m_hooks.onResponse(request.request.fingerprint);
    releaseSlot(request, isFailure ? std::nullopt : std::optional(now - request.m_startedAt), now);
    forward_reply reply;
    removeHopByHopFields(response);
    reply.response = std::move(response);
    reply.hasReachedBackend = true;
    finish(request, std::move(reply));
}

void backend_gateway::applyRequestLimit(std::optional<double> perSecond, instant now)
{
    if (m_requestLimit == perSecond)
        return;
    m_requestLimit = perSecond;
    m_queue.setRequestLimit(perSecond, now);
    m_log.write(event_priority::failure, "backend_limit", {},
        { { "backend", m_identity.isKnown() ? m_identity.current().id.text() : "" },
            { "per_1000_s", static_cast<std::uint64_t>(perSecond.value_or(0) * 1000) },
            { "limited", perSecond.has_value() } });
}

void backend_gateway::handleFailure(gateway_request& request, http_call_failure failure, instant now)
{
    if (failure == http_call_failure::notConnected) {
        // The connection was refused or timed out, so the server is assumed to have exited, and a running
        // request may have crashed it.
        reportCrash("connection_refused", now);
        m_identity.forget();
        releaseSlot(request, std::nullopt, now);
        refuse(request, refusal(refusal_reason::noBackendServer, "the backend server takes no connection"),
            false);
        return;
    }
    if (failure == http_call_failure::memoryExhausted) {
        handleOversizedResponse(request, now);
        return;
    }
    bool isPastDeadline = now >= request.m_deadline;
    if (!isPastDeadline) {
        recordOutcome(request, backend_outcome::broken, now);
        m_interruptedRequests.push_back({ request.request.id,
            { request.request.fingerprint, request.m_backend, request.m_backendStartedAt, request.m_startedAt,
                now } });
    }
    // After recordOutcome(), which may refuse the requests that wait.
    releaseSlot(request, std::nullopt, now);
    verifyServer();
    auto reason = isPastDeadline ? refusal_reason::deadlineExceeded : refusal_reason::backendServerFailed;
    finishAsMayHaveRun(request, reason,
        failure == http_call_failure::invalidResponse ? "the answer was cut short or spoiled"
                                                      : "no answer came");
}

/** Ends a request whose response this process cannot hold. The server is at fault if it has announced no
 * length, as it may never end. */
void backend_gateway::handleOversizedResponse(gateway_request& request, instant now)
{
    auto connection = request.m_connection;
    m_log.write(event_priority::failure, "response_given_up", request.request.id,
        { { "backend", request.m_backend.text() }, { "after", now - request.m_startedAt },
            { "received", static_cast<std::uint64_t>(connection->receivedBytes()) },
            { "has_length", connection->hasResponseLength() } });
    if (!connection->hasResponseLength())
        recordOutcome(request, backend_outcome::broken, now);
    releaseSlot(request, std::nullopt, now);
    finishAsMayHaveRun(request, refusal_reason::memoryExhausted, "the response is too large to be held");
}

void backend_gateway::recordOutcome(gateway_request& request, backend_outcome outcome, instant now)
{
    if (outcome != backend_outcome::served) {
        m_log.write(event_priority::failure, "run_failed", request.request.id,
            { { "backend", m_identity.isKnown() ? m_identity.current().id.text() : "" },
                { "fingerprint", request.request.fingerprint }, { "outcome", toText(outcome) },
                { "after", now - request.m_startedAt }, { "trial", request.m_isTrial },
                { "in_use", m_queue.inUse() },
                { "risk_percent", percentOf(m_healthCheck.failureRisk(now)) } });
    }
    m_healthCheck.setBaseFailureRatio(baseFailureRatio());
    bool hasChanged = m_healthCheck.record(outcome, now);
    // Waiting requests have not run, so they are refused and can be sent to another server.
    if (outcome != backend_outcome::served)
        m_queue.refuseIf(
            [risk = m_healthCheck.failureRisk(now)](const queued_request& waiting) {
                return static_cast<const gateway_request&>(waiting).request.maxFailureRisk < risk;
            },
            refusal(refusal_reason::backendServerFailed, "the backend server fails requests"), now);
    if (!hasChanged)
        return;
    m_log.write(event_priority::always, m_healthCheck.isSuspect() ? "backend_suspect" : "backend_cleared",
        request.request.id,
        { { "backend", m_identity.isKnown() ? m_identity.current().id.text() : "" },
            { "outcome", toText(outcome) }, { "risk_percent", percentOf(m_healthCheck.failureRisk(now)) },
            { "base_percent", percentOf(m_healthCheck.baseFailureRatio()) } });
}

/** The failure ratio that most servers of the service have, as far as this node has heard: what they share is
 * not a fault of one of them. */
double backend_gateway::baseFailureRatio() const
{
    auto snapshot = m_hooks.snapshot();
    if (!snapshot)
        return 0;
    auto peers = snapshot->services.find(m_service);
    if (peers == snapshot->services.end())
        return 0;
    std::vector<double> ratios;
    for (const auto& each : peers->second) {
        if (auto ratio = each->observedFailureRatio())
            ratios.push_back(*ratio);
    }
    if (ratios.empty())
        return 0;
    auto middle = ratios.begin() + static_cast<std::ptrdiff_t>((ratios.size() - 1) / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    return *middle;
}

/** The server has answered a request, so that earlier interruptions were not its crash. */
void backend_gateway::recordSignOfLife(instant now)
{
    std::erase_if(m_interruptedRequests,
        [&](const interrupted_request& each) { return now - each.run.crashedAt > m_policy.maxReadDelay; });
}

/** Finds out whether the server that interrupted requests has crashed, without waiting for the next request:
 * a crash has closed all connections, and new ones are refused. */
void backend_gateway::verifyServer()
{
    if (m_interruptedRequests.empty() || !m_idleConnections.empty() || m_verification)
        return;
    m_verification = makeConnection();
    m_verification->open(m_backend, m_policy.connectTimeout,
        [this](std::error_code error) { handleVerification(std::exchange(m_verification, nullptr), error); });
}

void backend_gateway::handleVerification(
    const handle<http_client_connection>& connection, std::error_code error)
{
    auto now = m_hooks.clock().monotonic;
    if (!error)
        poolConnection(connection, now);
    if (error != asio::error::connection_refused)
        return;
    reportCrash("connection_refused", now);
    m_identity.forget();
}

/** Asks a server that this process knows by a possibly late heartbeat only whether it has announced its
 * shutdown to an earlier process of this node. Called for each heartbeat, and so repeated until it answers.
 */
void backend_gateway::confirmServer(instant now)
{
    if (m_identity.needsConfirmation())
        askServer(now);
}

/** Asks a server that gets many requests whether it is still warm. */
void backend_gateway::confirmWarmth(instant now)
{
    bool isDue = now >= m_nextWarmthQuestion && m_queue.needsWarmthConfirmation(now);
    if (isDue && m_identity.isAccepting() && !m_identity.isCold(now))
        askServer(now);
}

void backend_gateway::askServer(instant now)
{
    if (m_question)
        return;
    auto snapshot = m_hooks.snapshot();
    const auto* profile = profileIn(snapshot);
    if (!profile || profile->healthPath.empty())
        return;
    http_message question;
    question.method = "GET";
    question.target = profile->healthPath;
    question.fields = { { "Host", m_service.text() } };
    m_askedAt = now;
    m_question = acquireConnection(now);
    m_isQuestionPooled = m_question->isReusable();
    m_question->call(m_backend, question, m_policy.connectTimeout, m_policy.confirmationTimeout,
        [this](const http_call_result& answer) { handleServerAnswer(answer); });
}

void backend_gateway::handleServerAnswer(const http_call_result& answer)
{
    auto now = m_hooks.clock().monotonic;
    auto connection = std::exchange(m_question, nullptr);
    // One that was opened for the question is closed, so that a server without requests keeps no connection.
    if (answer && m_isQuestionPooled && connection->isReusable())
        poolConnection(connection, now);
    else
        connection->cancel();
    m_nextWarmthQuestion = now + m_policy.confirmationRetryInterval;
    if (answer && m_identity.isKnown())
        applyServerAnswer(*answer, now);
    scheduleNextStart();
}

void backend_gateway::applyServerAnswer(const http_message& answer, instant now)
{
    constexpr int okStatus = 200;
    auto info = m_codec.readBackendResponse(answer);
    const auto& current = m_identity.current();
    bool isCurrent = info.serverId == current.id;
    bool tellsWarmth = answer.status == okStatus && !info.wasNotRun && info.warmupLeft;
    m_log.write(event_priority::always, "backend_confirmation", {},
        { { "backend", current.id.text() }, { "status", answer.status }, { "is_current", isCurrent },
            { "leaving", info.isLeaving }, { "tells_warmth", tellsWarmth },
            { "cold", info.warmupLeft.value_or(duration::zero()) } });
    if (!isCurrent)
        return;
    if (tellsWarmth && *info.warmupLeft > duration::zero()) {
        m_identity.recordWarmup(now + *info.warmupLeft);
        applyWarmupLimit(now);
        recordWarmth("health", now);
    } else if (tellsWarmth) {
        m_nextWarmthQuestion = now;
        m_queue.confirmWarm(m_askedAt, now);
    }
    if (info.isLeaving && m_identity.recordLeaving(current.id, current.startedAt))
        handleLeaving(now);
    else if (answer.status == okStatus)
        m_identity.confirm();
}

void backend_gateway::reportCrash(std::string_view evidence, instant now)
{
    auto interrupted = std::exchange(m_interruptedRequests, {});
    if (interrupted.empty())
        return;
    auto lastInterruption = interrupted.back().run.crashedAt;
    auto count = interrupted.size();
    std::erase_if(interrupted,
        [&](const interrupted_request& each) { return now - each.run.crashedAt >= m_policy.crashWindow; });
    m_log.write(event_priority::always, "backend_crashed", {},
        { { "backend", m_identity.isKnown() ? m_identity.current().id.text() : "" }, { "evidence", evidence },
            { "requests", static_cast<std::uint64_t>(interrupted.size()) },
            { "interrupted", static_cast<std::uint64_t>(count) }, { "since_last", now - lastInterruption } });
    if (!interrupted.empty())
        m_hooks.onCrash(interrupted);
}

void backend_gateway::cancel(gateway_request& request)
{
    handle<gateway_request> self(&request);
    auto now = m_hooks.clock().monotonic;
    switch (request.m_stage) {
    case gateway_request::stage::waiting:
        m_queue.remove(request);
        request.onReply = nullptr;
        finish(request, {});
        break;
    case gateway_request::stage::granted:
        request.onReply = nullptr;
        finish(request, {});
        releaseSlot(request, std::nullopt, now);
        break;
    case gateway_request::stage::running:
        request.onReply = nullptr;
        if (request.request.retryRule == retry_rule::idempotent) {
            if (request.m_connection)
                request.m_connection->cancel();
            finish(request, {});
            releaseSlot(request, std::nullopt, now);
        }
        break;
    case gateway_request::stage::done:
        break;
    }
    scheduleNextStart();
}

handle<http_client_connection> backend_gateway::acquireConnection(instant now)
{
    while (!m_idleConnections.empty()) {
        auto idle = m_idleConnections.front();
        m_idleConnections.pop_front();
        idle.connection->onIdleClosed = nullptr;
        if (idle.connection->isReusable() && now < idle.until)
            return idle.connection;
        idle.connection->cancel();
    }
    return makeConnection();
}

handle<http_client_connection> backend_gateway::makeConnection()
{
    return handle<http_client_connection>(new http_client_connection(
        m_context, { maxResponseHeaderBytes, maxResponseBytes }, m_hooks.throttle));
}

void backend_gateway::poolConnection(const handle<http_client_connection>& connection, instant now)
{
    duration idleTimeout = m_policy.defaultIdleTimeout;
    if (auto announced = connection->keepAliveTimeout())
        idleTimeout = std::max<duration>(*announced - m_policy.idleTimeoutMargin, duration::zero());
    m_idleConnections.push_front({ connection, now + idleTimeout });
    connection->onIdleClosed = [this, raw = connection.get()] {
        std::erase_if(
            m_idleConnections, [&](const idle_connection& each) { return each.connection.get() == raw; });
        verifyServer();
    };
    if (m_idleConnections.size() > maxIdleConnections) {
        m_idleConnections.back().connection->cancel();
        m_idleConnections.pop_back();
    }
}

heartbeat_effect backend_gateway::handleHeartbeat(const backend_heartbeat& heartbeat)
{
    auto now = m_hooks.clock().monotonic;
    bool wasDraining = m_identity.isLeaving();
    auto effect = m_identity.applyHeartbeat(heartbeat, now);
    if (effect == heartbeat_effect::stale)
        return effect;
    if (effect == heartbeat_effect::newStart) {
        reportCrash("new_start", now);
        m_healthCheck.reset();
        applyRequestLimit(std::nullopt, now);
        if (m_question)
            std::exchange(m_question, nullptr)->cancel(); // It concerns the former start.
        while (!m_idleConnections.empty()) {
            m_idleConnections.front().connection->cancel();
            m_idleConnections.pop_front();
        }
        m_log.write(event_priority::always, "backend_started", {},
            { { "backend", heartbeat.id.text() }, { "service", heartbeat.service.text() },
                { "slots", heartbeat.slots }, { "cold", heartbeat.warmupLeft } });
    }
    applyWarmupLimit(now);
    recordWarmth("heartbeat", now);
    m_queue.setSlots(heartbeat.slots, now);
    if (m_identity.isLeaving() && !wasDraining)
        handleLeaving(now);
    confirmServer(now);
    return effect;
}

void backend_gateway::handleLeaving(instant now)
{
    m_log.write(
        event_priority::always, "backend_draining", {}, { { "backend", m_identity.current().id.text() } });
    m_queue.refuseAll(refusal(refusal_reason::backendServerDraining, "the backend server leaves"), now);
}

bool backend_gateway::handleDeregistration(const backend_server_id& id, wall_time startedAt)
{
    auto present = m_hooks.clock();
    if (!m_identity.deregister(id, startedAt, present.wall))
        return false;
    m_log.write(event_priority::always, "backend_left", {}, { { "backend", id.text() } });
    m_queue.refuseAll(
        refusal(refusal_reason::backendServerDraining, "the backend server leaves"), present.monotonic);
    return true;
}

/** \return the profile of the server's service, which lives as long as \p snapshot; null if there is none. */
const service_profile* backend_gateway::profileIn(const handle<const fleet_snapshot>& snapshot) const
{
    return snapshot && snapshot->routes ? snapshot->routes->profileOf(m_service) : nullptr;
}

void backend_gateway::applyWarmupLimit(instant now)
{
    auto snapshot = m_hooks.snapshot();
    if (const auto* profile = profileIn(snapshot))
        m_warmupPerSecond = profile->warmupPerSecond;
    auto perSecond = m_warmupPerSecond.value_or(0);
    m_queue.setWarmupLimit(
        m_identity.isCold(now) ? perSecond * m_policy.warmupRateFraction : 0, m_identity.warmupEndsAt());
    m_queue.setStartLimit(
        perSecond > 0 ? std::optional(m_policy.coldServers.maxStartsPerSecond(perSecond)) : std::nullopt);
}

/** Reports a change of whether the server is believed to be cold, and how many requests it got before. */
void backend_gateway::recordWarmth(std::string_view source, instant now)
{
    bool isCold = m_identity.isCold(now);
    if (std::exchange(m_isKnownAsCold, isCold) == isCold)
        return;
    m_log.write(event_priority::always, isCold ? "backend_cold" : "backend_warm", {},
        { { "backend", m_identity.current().id.text() }, { "source", source },
            { "left", isCold ? m_identity.warmupEndsAt() - now : duration::zero() },
            { "starts_in_last_second", static_cast<std::uint64_t>(m_queue.recentStarts(now)) } });
    if (m_hooks.onWarmthChanged)
        m_hooks.onWarmthChanged(isCold);
}

void backend_gateway::recordFailedCall()
{
    m_failedCalls = std::min(m_failedCalls + 1, m_activeRequests.size());
}

void backend_gateway::startDraining()
{
    m_isDraining = true;
    m_queue.refuseAll(refusal(refusal_reason::nodeLeaving, "the node beside the backend server stops"),
        m_hooks.clock().monotonic);
}

void backend_gateway::onSnapshotChanged()
{
    auto now = m_hooks.clock().monotonic;
    auto snapshot = m_hooks.snapshot();
    applyWarmupLimit(now);
    confirmServer(now);
    if (snapshot && snapshot->evacuated.contains(m_dataCentre))
        m_queue.refuseAll(
            refusal(refusal_reason::dataCentreOutOfService, "the data centre takes no new work"), now);
}

backend_report backend_gateway::report() const
{
    auto now = m_hooks.clock().monotonic;
    return { m_queue.inUse(), static_cast<std::uint32_t>(std::ceil(m_queue.expectedStarts())),
        m_queue.usableSlots(now), m_queue.meanLatency(), m_healthCheck.failureRisk(now),
        m_identity.isCold(now), m_healthCheck.isSuspect(), m_healthCheck.observedFailureRatio() };
}

void backend_gateway::updateRetryShare()
{
    double running = 0;
    double retries = 0;
    for (const auto& each : m_activeRequests) {
        bool isRunning = each->m_stage == gateway_request::stage::running;
        running += isRunning ? 1 : 0;
        retries += isRunning && each->request.isRetry ? 1 : 0;
    }
    m_retryShare = running > 0 ? retries / running : 0;
}

void backend_gateway::scheduleNextStart()
{
    updateRetryShare();
    confirmWarmth(m_hooks.clock().monotonic);
    m_activeCount = m_queue.inUse() + m_queue.waitingCount();
    if (m_activeCount > 0)
        scheduleChecks(m_hooks.clock().monotonic);
}

void backend_gateway::scheduleChecks(instant now)
{
    auto next = now + checkInterval;
    if (auto nextStart = m_queue.nextStartTime(now))
        next = std::min(next, *nextStart);
    if (next >= m_nextCheck)
        return;
    m_nextCheck = next;
    m_timer.startAt(next, [this] { runChecks(); });
}

void backend_gateway::runChecks()
{
    auto now = m_hooks.clock().monotonic;
    m_nextCheck = instant::max();
    m_queue.dispatch(now);
    std::vector<handle<gateway_request>> expiredGrants;
    for (const auto& request : m_activeRequests) {
        auto age = now - request->m_startedAt;
        if (request->m_stage == gateway_request::stage::granted && age > m_policy.commitTimeout)
            expiredGrants.push_back(request);
        if (request->m_stage == gateway_request::stage::running && !request->m_isStuck
            && age > m_stuckThreshold.age(request->request.isNested)) {
            request->m_isStuck = true;
            recordOutcome(*request, backend_outcome::stuck, now);
        }
    }
    for (const auto& request : expiredGrants) {
        if (request->m_stage != gateway_request::stage::granted)
            continue; // A hook of another one has ended it.
        refuse(*request, refusal(refusal_reason::pathFailed, "the request did not follow its offer"), false);
        releaseSlot(*request, std::nullopt, now);
    }
    scheduleNextStart();
}

} // namespace pomelohub
