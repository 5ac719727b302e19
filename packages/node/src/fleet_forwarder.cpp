#include "fleet_forwarder.h"

namespace pomelohub {

namespace {

    /** Retries for each hundred requests, and how many are allowed from the start. */
    constexpr std::int64_t retryShare = 20;
    constexpr std::int64_t retryReserve = 50;

    /** How long a backend server that takes no work is left out, until news of it have come. */
    constexpr duration timeForNews = std::chrono::seconds(2);

    /** Whether the node beside a backend server says that it takes no work at all. */
    bool isRefusalOfWork(refusal_reason reason)
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
        return pomelohub::fingerprintOf(organisation, request.service.text(), head.method, head.path);
    }

    std::optional<std::uint64_t> numberIn(const response_head& head, std::string_view name)
    {
        auto text = headerValue(head.headers, name);
        return text ? std::optional<std::uint64_t>(std::strtoull(text->c_str(), nullptr, 10)) : std::nullopt;
    }

} // namespace

fleet_forwarder::fleet_forwarder(forwarder_parts parts, retry_policy policy)
    : m_parts(std::move(parts))
    , m_policy(policy)
    , m_budget(retryShare, retryReserve)
{
}

void fleet_forwarder::note(const attempt_state& state, std::string outcome, std::string reason) const
{
    m_parts.decided(
        { m_parts.clock().wall, state.request.requestId, "forward", std::move(outcome), std::move(reason) });
}

void fleet_forwarder::forward(const handle<exchange>& outer, forward_request request)
{
    m_budget.recordRequest();
    handle<attempt_state> state(new attempt_state);
    state->outer = outer;
    state->request = std::move(request);
    tryNext(state);
}

void fleet_forwarder::tryNext(const handle<attempt_state>& state)
{
    auto fleet = m_parts.state.fleet().load();
    auto found = fleet ? fleet->services.find(state->request.service) : decltype(fleet->services.end()) {};
    handle<const service_view> view;
    if (fleet && found != fleet->services.end())
        view = found->second;
    const auto* target = view
        ? chooseBackend(*view, state->tried, m_parts.home, m_parts.chooser, m_parts.clock().monotonic)
        : nullptr;
    if (!target) {
        note(*state, "refused", "no backend server of " + state->request.service.text() + " is usable");
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
    state->sentAt = m_parts.clock().monotonic;
    note(*state, "chosen", target.id.text() + " in " + target.dataCentre.text());
    auto head = state->outer->request();
    removeHeader(head.headers, backendHeader);
    head.headers.emplace_back(std::string(backendHeader), target.id.text());
    handle<exchange> inner(new exchange(std::move(head), *state->outer));
    target.stats->inFlight.fetch_add(1);
    inner->setResponseHook(
        [self = handle<fleet_forwarder>(this), state, inner] { self->ended(state, inner); });
    state->outer->setCancelHook([inner] { inner->cancel(); });
    if (target.node == m_parts.state.self().node) {
        m_parts.host->submit(inner, target.id);
        return;
    }
    auto endpoint = m_parts.state.endpointOf(target.node);
    if (endpoint)
        m_parts.peers->send({ target.node, *endpoint }, inner);
    else
        inner->refuse({ execution::notRun, refusal_reason::pathFailed, "the node's address is unknown", {} });
}

void fleet_forwarder::ended(const handle<attempt_state>& state, const handle<exchange>& inner)
{
    state->stats->inFlight.fetch_sub(1);
    auto response = *inner->response();
    if (response)
        answered(state, std::move(*response));
    else
        failed(state, response.error());
}

void fleet_forwarder::answered(const handle<attempt_state>& state, response_head head)
{
    auto latency = m_parts.clock().monotonic - state->sentAt;
    if (auto served = numberIn(head, servedHeader))
        latency = std::chrono::microseconds(*served);
    state->stats->recordResult(head.status >= 500, latency);
    if (auto load = numberIn(head, loadHeader))
        state->stats->reportedLoad = static_cast<std::uint32_t>(*load);
    auto fingerprint = fingerprintOf(*state->outer, state->request);
    if (m_parts.state.quarantine().isSuspect(fingerprint))
        m_parts.cleared(fingerprint);
    note(*state, "answered", state->backend + " status " + std::to_string(head.status));
    std::erase_if(
        head.headers, [](const header_field& field) { return field.first.starts_with(internalPrefix); });
    removeHeader(head.headers, servedByHeader);
    head.headers.emplace_back(std::string(servedByHeader), state->backend);
    state->outer->respond(std::move(head));
}

void fleet_forwarder::failed(const handle<attempt_state>& state, const request_error& why)
{
    auto now = m_parts.clock().monotonic;
    bool takesNoWork = why.outcome == execution::notRun && isRefusalOfWork(why.reason);
    if (takesNoWork)
        state->stats->unavailableUntil = now + timeForNews;
    if (isFailureOfBackend(why))
        state->stats->recordResult(true, now - state->sentAt);
    note(*state, "failed",
        state->backend + " " + std::string(toText(why.outcome)) + " " + std::string(toText(why.reason)) + ": "
            + why.detail);
    // A server that shut its connection in the middle of a run may have been brought down by it.
    if (why.reason == refusal_reason::backendServerFailed && why.outcome == execution::mayHaveRun)
        m_parts.crashed(fingerprintOf(*state->outer, state->request), backend_server_id(state->backend),
            state->request.requestId);
    failed_attempt attempt { why, state->attempts, state->request.isIdempotent,
        state->outer->requestBody().rewind(), state->outer->deadline() };
    if (!state->outer->isCancelled() && mayRetry(attempt, m_policy, now)
        && (takesNoWork || m_budget.tryAcquire())) {
        m_parts.retried();
        tryNext(state);
        return;
    }
    state->outer->requestBody().closeReader();
    state->outer->refuse(why);
}

} // namespace pomelohub
