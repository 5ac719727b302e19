#include "fleet_forwarder.h"

namespace pomelohub {

namespace {

    /** Retries allowed per hundred requests, and the number allowed from the start. */
    constexpr std::int64_t retryPercent = 20;
    constexpr std::int64_t retryReserve = 50;

    /** How long a backend server that refuses all requests is excluded. This gives the announcement of its
     * new state time to arrive. */
    constexpr duration unavailablePeriod = std::chrono::seconds(2);

    /** Whether the reason says that the backend server or its sidecar node accepts no requests at all. */
    bool isUnavailableReason(refusal_reason reason)
    {
        return reason == refusal_reason::backendServerDraining || reason == refusal_reason::nodeLeaving
            || reason == refusal_reason::dataCentreOutOfService || reason == refusal_reason::noBackendServer;
    }

    bool isFailureOfBackend(const request_error& why)
    {
        return why.reason == refusal_reason::backendServerFailed || why.reason == refusal_reason::pathFailed
            || why.reason == refusal_reason::deadlineExceeded
            || why.reason == refusal_reason::backendServerShed;
    }

    request_fingerprint fingerprintOf(const exchange& outer, const forward_request& request)
    {
        const auto& head = outer.request();
        auto organisation = headerValue(head.headers, organisationHeader).value_or("");
        return pomelohub::fingerprintOf(
            { organisation, request.service.text(), head.method, head.path, {}, {} });
    }

    std::optional<std::uint64_t> numericHeader(const response_head& head, std::string_view name)
    {
        auto text = headerValue(head.headers, name);
        return text ? std::optional<std::uint64_t>(std::strtoull(text->c_str(), nullptr, 10)) : std::nullopt;
    }

} // namespace

fleet_forwarder::fleet_forwarder(forwarder_dependencies dependencies, retry_policy policy)
    : m_dependencies(std::move(dependencies))
    , m_policy(policy)
    , m_budget(retryPercent, retryReserve)
{
}

void fleet_forwarder::recordDecision(
    const attempt_state& state, std::string outcome, std::string reason) const
{
    m_dependencies.onDecision({ m_dependencies.clock().wall, state.request.requestId, "forward",
        std::move(outcome), std::move(reason) });
}

void fleet_forwarder::forward(const handle<exchange>& outer, forward_request request)
{
    m_budget.recordRequest();
    handle<attempt_state> state(new attempt_state);
    state->outer = outer;
    state->request = std::move(request);
    startAttempt(state);
}

void fleet_forwarder::startAttempt(const handle<attempt_state>& state)
{
    auto fleet = m_dependencies.state.fleet().load();
    auto found = fleet ? fleet->services.find(state->request.service) : decltype(fleet->services.end()) {};
    handle<const service_view> view;
    if (fleet && found != fleet->services.end())
        view = found->second;
    const auto* target = view ? chooseBackend(*view, state->tried, m_dependencies.home,
                             m_dependencies.loadBalancing, m_dependencies.clock().monotonic)
                              : nullptr;
    if (!target) {
        recordDecision(
            *state, "refused", "no backend server of " + state->request.service.text() + " is usable");
        state->outer->refuse({ execution::notRun, refusal_reason::noBackendServer,
            "no backend server of the service is usable", std::chrono::milliseconds(1000) });
        return;
    }
    view->activity->hasRequests.store(true, std::memory_order_relaxed);
    send(state, *target);
}

void fleet_forwarder::send(const handle<attempt_state>& state, const backend_entry& target)
{
    ++state->attempts;
    state->tried.push_back(target.id);
    state->stats = target.stats;
    state->backend = target.id.text();
    state->sentAt = m_dependencies.clock().monotonic;
    recordDecision(*state, "chosen", target.id.text() + " in " + target.dataCentre.text());
    auto head = state->outer->request();
    removeHeader(head.headers, backendHeader);
    head.headers.emplace_back(std::string(backendHeader), target.id.text());
    handle<exchange> inner(new exchange(std::move(head), *state->outer));
    target.stats->inFlight.fetch_add(1);
    inner->setResponseHook(
        [self = handle<fleet_forwarder>(this), state, inner] { self->handleOutcome(state, inner); });
    state->outer->setCancelHook([inner] { inner->cancel(); });
    if (target.node == m_dependencies.state.self().node) {
        m_dependencies.host->submit(inner, target.id);
        return;
    }
    auto endpoint = m_dependencies.state.endpointOf(target.node);
    if (endpoint)
        m_dependencies.peers->send({ target.node, *endpoint }, inner);
    else
        inner->refuse({ execution::notRun, refusal_reason::pathFailed, "the node's address is unknown", {} });
}

void fleet_forwarder::handleOutcome(const handle<attempt_state>& state, const handle<exchange>& inner)
{
    state->stats->inFlight.fetch_sub(1);
    auto response = *inner->response();
    if (response)
        handleResponse(state, std::move(*response));
    else
        handleFailure(state, response.error());
}

void fleet_forwarder::handleResponse(const handle<attempt_state>& state, response_head head)
{
    auto latency = m_dependencies.clock().monotonic - state->sentAt;
    if (auto served = numericHeader(head, servedHeader))
        latency = std::chrono::microseconds(*served);
    state->stats->recordResult(head.status >= 500, latency);
    if (auto load = numericHeader(head, loadHeader))
        state->stats->reportedLoad = static_cast<std::uint32_t>(*load);
    auto fingerprint = fingerprintOf(*state->outer, state->request);
    if (m_dependencies.state.noteBackendResponse(fingerprint, m_dependencies.clock().monotonic))
        m_dependencies.onCleared(fingerprint);
    recordDecision(*state, "answered", state->backend + " status " + std::to_string(head.status));
    std::erase_if(head.headers,
        [](const header_field& field) { return field.first.starts_with(internalHeaderPrefix); });
    removeHeader(head.headers, servedByHeader);
    head.headers.emplace_back(std::string(servedByHeader), state->backend);
    state->outer->respond(std::move(head));
}

void fleet_forwarder::handleFailure(const handle<attempt_state>& state, const request_error& why)
{
    auto now = m_dependencies.clock().monotonic;
    bool isUnavailable = why.outcome == execution::notRun && isUnavailableReason(why.reason);
    if (isUnavailable)
        state->stats->unavailableUntil = now + unavailablePeriod;
    if (isFailureOfBackend(why))
        state->stats->recordResult(true, now - state->sentAt);
    recordDecision(*state, "failed",
        state->backend + " " + std::string(toText(why.outcome)) + " " + std::string(toText(why.reason)) + ": "
            + why.detail);
    // A backend server whose connection broke while it ran a request may have been crashed by that request.
    if (why.reason == refusal_reason::backendServerFailed && why.outcome == execution::mayHaveRun)
        m_dependencies.onCrash(fingerprintOf(*state->outer, state->request),
            backend_server_id(state->backend), state->sentAt, state->request.requestId);
    failed_attempt attempt { why, state->attempts, state->request.isIdempotent,
        state->outer->requestBody().rewind(), state->outer->deadline() };
    if (!state->outer->isCancelled() && mayRetry(attempt, m_policy, now)
        && (isUnavailable || m_budget.tryAcquire())) {
        m_dependencies.onRetry();
        startAttempt(state);
        return;
    }
    state->outer->requestBody().closeReader();
    state->outer->refuse(why);
}

} // namespace pomelohub
