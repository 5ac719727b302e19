#include "peer_service.h"

#include "parse_number.h"

namespace pomelohub {

namespace {

    constexpr std::size_t maxRequestBytes = 64 * 1024;

    void sendResponse(const handle<exchange>& incoming, const std::string& body)
    {
        incoming->responseBody().writeUnbounded(body);
        incoming->responseBody().finish();
        incoming->respond({ 200, {} });
    }

    template <typename Answer> void respondOrRefuse(const handle<exchange>& incoming, result<Answer> outcome)
    {
        if (outcome)
            sendResponse(incoming, encode(*outcome));
        else
            incoming->refuse(outcome.error());
    }

} // namespace

peer_service::peer_service(handle<backend_host> host, handle<action_authority> authority,
    handle<control_plane> control, node_metrics& metrics)
    : m_host(std::move(host))
    , m_authority(std::move(authority))
    , m_control(std::move(control))
    , m_metrics(metrics)
{
}

void peer_service::submit(const handle<exchange>& incoming, const node_id& peer)
{
    const auto& headers = incoming->request().headers;
    if (auto backend = headerValue(headers, backendHeader))
        return m_host->submit(incoming, backend_server_id(*backend));
    if (headerValue(headers, actionHeader))
        return m_authority->submit(incoming);
    collectBody(incoming->requestBodyHandle(), maxRequestBytes,
        [self = handle<peer_service>(this), incoming, peer](const result<std::string>& body) {
            if (body)
                self->handleControlRequest(incoming, peer, *body);
            else
                self->rejectMessage(incoming);
        });
}

void peer_service::rejectMessage(const handle<exchange>& incoming)
{
    m_metrics.countBadInput("peers");
    incoming->refuse(
        { execution::notRun, refusal_reason::malformedRequest, "the message is not understood", {} });
}

void peer_service::handleControlRequest(
    const handle<exchange>& incoming, const node_id& peer, const std::string& body)
{
    const auto& path = incoming->request().path;
    if (path == control_path::rate)
        return handleRateRequest(incoming, peer, body);
    if (path == control_path::ejection)
        return handleEjectionRequest(incoming, body);
    if (path.starts_with(control_path::records))
        return handleRecordsRequest(incoming);
    if (path == control_path::members)
        return m_control->withState([incoming](control_state& state, const present&) {
            sendResponse(incoming, encode(state.memberRecords()));
        });
    if (path != control_path::bootstrapState)
        return rejectMessage(incoming);
    m_control->withState([incoming](control_state& state, const present& now) {
        if (state.readiness(now.monotonic) == node_readiness::starting)
            incoming->refuse({ execution::notRun, refusal_reason::nodeStarting, "no state yet", {} });
        else
            sendResponse(incoming, encode(state.bootstrapState()));
    });
}

void peer_service::handleRateRequest(
    const handle<exchange>& incoming, const node_id& peer, const std::string& body)
{
    auto request = decodeRateRequest(body);
    // A node may request tokens only for itself; its certificate identifies it.
    if (!request || request->entry.node != peer)
        return rejectMessage(incoming);
    m_control->withState([incoming, request](control_state& state, const present& now) {
        respondOrRefuse(incoming, state.grant(*request, now.monotonic));
    });
}

void peer_service::handleEjectionRequest(const handle<exchange>& incoming, const std::string& body)
{
    auto request = decodeEjectionRequest(body);
    if (!request)
        return rejectMessage(incoming);
    m_control->withState([incoming, request](control_state& state, const present& now) {
        respondOrRefuse(incoming, state.permit(*request, now.monotonic));
    });
}

void peer_service::handleRecordsRequest(const handle<exchange>& incoming)
{
    auto rest = incoming->request().path.substr(control_path::records.size());
    auto separator = rest.find('/');
    auto stream = logStreamFromText(rest.substr(0, separator));
    auto from = parseNumber<std::uint64_t>(separator == std::string::npos ? "" : rest.substr(separator + 1));
    if (!stream || !from)
        return rejectMessage(incoming);
    m_control->withState([incoming, stream, from](control_state& state, const present&) {
        sendResponse(incoming, encode(state.recentRecords(*stream, *from)));
    });
}

} // namespace pomelohub
