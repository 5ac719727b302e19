#include "rate_client.h"

namespace pomelohub {

namespace {

    constexpr duration maxRefillWait = std::chrono::milliseconds(250);
    constexpr duration requestTimeout = std::chrono::milliseconds(500);

} // namespace

rate_client::rate_client(handle<control_plane> control, clock_hook clock)
    : m_control(std::move(control))
    , m_clock(std::move(clock))
{
}

bool rate_client::refill(const handle<organisation_leases>& leases, bool wait)
{
    auto requestedAt = m_clock().monotonic;
    auto seen = leases->responses.value();
    auto request = makeRefillRequest(*leases, m_control->state().self(), requestedAt);
    if (request)
        sendRequest(
            *request, [leases, part = request->partition.index, requestedAt](const rate_grant& grant) {
                applyGrant(*leases, part, grant, requestedAt);
            });
    if (!wait || availableTokens(*leases, requestedAt) > 0)
        return true;
    // No request is in flight, so every authority has responded that it has no tokens at present.
    if (!request && !hasPendingRequest(*leases))
        return false;
    leases->responses.waitUntilChanged(seen, requestedAt + maxRefillWait);
    return true;
}

void rate_client::sendRequest(const rate_request& request, std::function<void(const rate_grant&)> done)
{
    holder_request holderRequest { control_path::rate, encode(request), requestTimeout, {}, {} };
    holderRequest.handleLocally = [request, done](control_state& state, const present& now) {
        done(state.grant(request, now.monotonic).value_or(rate_grant {}));
    };
    holderRequest.done = [done = std::move(done)](const result<std::string>& received) {
        auto grant = received ? decodeRateGrant(*received) : std::nullopt;
        done(grant.value_or(rate_grant {}));
    };
    m_control->sendToHolder(slotOf(hashOf(request.partition)), holderRequest);
}

} // namespace pomelohub
