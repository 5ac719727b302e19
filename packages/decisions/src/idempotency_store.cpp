#include "idempotency_store.h"

#include "hashing.h"

#include <algorithm>

namespace pomelohub {

static std::string entryName(const action_key& key)
{
    return key.organisation.text() + '\n' + key.service.text() + '\n' + key.key;
}

std::uint64_t hashOf(const action_key& key) { return stableHash("action/" + entryName(key)); }

std::optional<wall_time> issueTimeOf(std::string_view key)
{
    constexpr std::size_t uuidLength = 36;
    constexpr std::size_t versionPosition = 14;
    if (key.size() != uuidLength || key[versionPosition] != '7')
        return std::nullopt;
    std::uint64_t millis = 0;
    for (std::size_t i = 0; i < uuidLength; ++i) {
        bool isDash = i == 8 || i == 13 || i == 18 || i == 23;
        if (isDash != (key[i] == '-'))
            return std::nullopt;
        if (isDash)
            continue;
        auto c = static_cast<unsigned char>(key[i]);
        if (!std::isxdigit(c))
            return std::nullopt;
        auto value = std::isdigit(c) ? c - '0' : std::tolower(c) - 'a' + 10;
        if (i < 13)
            millis = millis << 4 | static_cast<std::uint64_t>(value);
    }
    return wall_time(std::chrono::milliseconds(millis));
}

idempotency_store::idempotency_store(idempotency_policy policy)
    : m_policy(policy)
    , m_slotStarts(slotCount, wall_time::min())
{
}

result<idempotency_decision> idempotency_store::begin(
    const action_key& key, const digest& request, wall_time now)
{
    // If the wall clock is set back, keys whose entries were already removed must stay expired.
    m_latestTime = std::max(m_latestTime, now);
    auto name = entryName(key);
    auto found = m_actions.find(name);
    return found == m_actions.end() ? beginNewAction(name, key, request, now)
                                    : handleRetry(found->second, request);
}

result<idempotency_decision> idempotency_store::beginNewAction(
    const std::string& name, const action_key& key, const digest& request, wall_time now)
{
    auto issued = issueTimeOf(key.key);
    if (!issued)
        return notRun(refusal_reason::idempotencyKeyInvalid, "the key is not a version 7 UUID");
    if (*issued > now + m_policy.clockSkew)
        return notRun(refusal_reason::idempotencyKeyInvalid, "the key's time lies in the future");
    auto slot = slotOf(hashOf(key));
    auto start = m_slotStarts[slot];
    auto oldestAllowed = m_latestTime - m_policy.retention;
    if (start != wall_time::min())
        oldestAllowed = std::max(oldestAllowed, start + m_policy.clockSkew);
    if (*issued <= oldestAllowed)
        return mayHaveRun(refusal_reason::idempotencyKeyExpired,
            "the key is older than this authority's memory, so the request may have run before");
    if (m_actions.size() >= m_policy.maxEntries)
        return notRun(
            refusal_reason::backendServerBusy, "the memory of actions is full", std::chrono::seconds(1));
    m_actions.emplace(name, action { slot, request, *issued, phase::running, {} });
    return idempotency_decision(run_action {});
}

result<idempotency_decision> idempotency_store::handleRetry(const action& storedAction, const digest& request)
{
    if (storedAction.request != request)
        return notRun(refusal_reason::idempotencyKeyReused, "the key was used for another request");
    switch (storedAction.state) {
    case phase::running:
        return idempotency_decision(await_action {});
    case phase::completed:
        return idempotency_decision(replay_response { storedAction.response });
    case phase::responseDropped:
        return mayHaveRun(
            refusal_reason::backendServerFailed, "the request ran, but its answer was too large to be kept");
    case phase::unknown:
        break;
    }
    return mayHaveRun(refusal_reason::backendServerFailed, "the request may have run before");
}

void idempotency_store::finish(const action_key& key, stored_response response)
{
    auto found = m_actions.find(entryName(key));
    if (found == m_actions.end())
        return;
    auto& storedAction = found->second;
    auto bytes = response.body.size();
    if (bytes > m_policy.maxBodyBytes || m_responseBytes + bytes > m_policy.maxResponseBytes) {
        storedAction.state = phase::responseDropped;
        return;
    }
    storedAction.state = phase::completed;
    storedAction.response = std::move(response);
    m_responseBytes += bytes;
}

void idempotency_store::forget(const action_key& key)
{
    auto found = m_actions.find(entryName(key));
    if (found != m_actions.end() && found->second.state == phase::running)
        m_actions.erase(found);
}

void idempotency_store::markUnknown(const action_key& key)
{
    auto found = m_actions.find(entryName(key));
    if (found != m_actions.end() && found->second.state == phase::running)
        found->second.state = phase::unknown;
}

void idempotency_store::startSlot(slot_index slot, wall_time since)
{
    m_slotStarts[slot] = since;
    std::erase_if(m_actions, [&](auto& entry) {
        if (entry.second.slot != slot)
            return false;
        subtractResponseBytes(entry.second);
        return true;
    });
}

void idempotency_store::subtractResponseBytes(const action& storedAction)
{
    if (storedAction.state == phase::completed)
        m_responseBytes -= storedAction.response.body.size();
}

void idempotency_store::trim(wall_time now)
{
    m_latestTime = std::max(m_latestTime, now);
    std::erase_if(m_actions, [&](auto& entry) {
        bool isExpired = entry.second.issued <= m_latestTime - m_policy.retention;
        if (isExpired && entry.second.state != phase::running) {
            subtractResponseBytes(entry.second);
            return true;
        }
        return false;
    });
}

} // namespace pomelohub
