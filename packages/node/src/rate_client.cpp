#include "rate_client.h"

namespace pomelohub {

namespace {

    constexpr duration longestWait = std::chrono::milliseconds(250);
    constexpr duration askTimeout = std::chrono::milliseconds(500);

} // namespace

rate_client::rate_client(handle<control_plane> control, clock_hook clock)
    : m_control(std::move(control))
    , m_clock(std::move(clock))
{
}

bool rate_client::refill(const handle<organisation_leases>& leases, bool wait)
{
    auto asked = m_clock().monotonic;
    auto seen = leases->responses.value();
    auto request = makeRefillRequest(*leases, m_control->state().self(), asked);
    if (request)
        ask(*request, [leases, part = request->partition.index, asked](const rate_grant& grant) {
            applyGrant(*leases, part, grant, asked);
        });
    if (!wait || availableTokens(*leases, asked) > 0)
        return true;
    // No request is in flight, so every authority has responded that it has no tokens at present.
    if (!request && !hasPendingRequest(*leases))
        return false;
    leases->responses.waitUntilChanged(seen, asked + longestWait);
    return true;
}

void rate_client::ask(const rate_request& request, std::function<void(const rate_grant&)> done)
{
    holder_question question { control_path::rate, encode(request), askTimeout, {}, {} };
    question.own = [request, done](control_state& state, const present& now) {
        done(state.grant(request, now.monotonic).value_or(rate_grant {}));
    };
    question.done = [done = std::move(done)](const result<std::string>& given) {
        auto grant = given ? decodeRateGrant(*given) : std::nullopt;
        done(grant.value_or(rate_grant {}));
    };
    m_control->askHolder(slotOf(hashOf(request.partition)), question);
}

} // namespace pomelohub
