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
    auto seen = leases->arrivals.value();
    auto request = refillRequest(*leases, m_control->state().self(), asked);
    if (request)
        ask(*request, [leases, part = request->part.part, asked](const rate_grant& grant) {
            takeGrant(*leases, part, grant, asked);
        });
    if (!wait || availableTokens(*leases, asked) > 0)
        return true;
    // Without a question under way, every authority has said that it has no token now.
    if (!request && !isAsking(*leases))
        return false;
    leases->arrivals.waitBeyond(seen, asked + longestWait);
    return true;
}

void rate_client::ask(const rate_request& request, std::function<void(const rate_grant&)> done)
{
    const auto& state = m_control->state();
    auto holder = state.holderOf(slotOf(hashOf(request.part)));
    if (!holder)
        return done({});
    if (*holder == state.self().node) {
        m_control->withState([request, done = std::move(done)](control_state& own, const present& now) {
            done(own.grant(request, now.monotonic).value_or(rate_grant {}));
        });
        return;
    }
    auto endpoint = state.endpointOf(*holder);
    if (!endpoint)
        return done({});
    m_control->ask({ *holder, *endpoint }, std::string(control_path::rate), encode(request), askTimeout,
        [done = std::move(done)](const result<std::string>& given) {
            auto grant = given ? decodeRateGrant(*given) : std::nullopt;
            done(grant.value_or(rate_grant {}));
        });
}

} // namespace pomelohub
