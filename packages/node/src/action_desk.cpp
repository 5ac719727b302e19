#include "action_desk.h"

namespace pomelohub {

static constexpr std::chrono::milliseconds unavailableRetryDelay { 1000 };

action_desk::action_desk(idempotency_policy policy, is_slot_authority_hook isSlotAuthority)
    : m_store(policy)
    , m_isSlotAuthority(std::move(isSlotAuthority))
{
}

void action_desk::begin(const action_key& key, const digest& request, const present& now, action_hook done)
{
    if (!m_isSlotAuthority(slotOf(hashOf(key)), now.monotonic)) {
        done(notRun(refusal_reason::authorityUnavailable, "this node does not hold the key's slot",
            unavailableRetryDelay));
        return;
    }
    auto decision = m_store.begin(key, request, now.wall);
    if (decision && std::holds_alternative<await_action>(*decision))
        m_waiting[key].push_back({ request, std::move(done) });
    else
        done(std::move(decision));
}

void action_desk::retryWaiting(const action_key& key, const present& now)
{
    auto waiting = m_waiting.extract(key);
    if (waiting.empty())
        return;
    for (auto& each : waiting.mapped())
        begin(key, each.request, now, std::move(each.done));
}

void action_desk::finish(const action_key& key, stored_response answer, const present& now)
{
    m_store.finish(key, std::move(answer));
    retryWaiting(key, now);
}

void action_desk::forget(const action_key& key, const present& now)
{
    m_store.forget(key);
    retryWaiting(key, now);
}

void action_desk::markUnknown(const action_key& key, const present& now)
{
    m_store.markUnknown(key);
    retryWaiting(key, now);
}

} // namespace pomelohub
