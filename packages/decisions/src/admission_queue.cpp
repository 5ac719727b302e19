#include "admission_queue.h"

#include <algorithm>
#include <cmath>

namespace pomelohub {

admission_queue::admission_queue(admission_policy policy, start_hook start, refuse_hook refuse)
    : m_policy(policy)
    , m_start(std::move(start))
    , m_refuse(std::move(refuse))
    , m_meanLatency(policy.firstMean)
{
}

std::size_t admission_queue::waiting() const
{
    std::size_t sum = 0;
    for (const auto& [rank, queue] : m_ranks)
        sum += queue.size();
    return sum;
}

std::size_t admission_queue::waitingBefore(std::uint32_t rank) const
{
    std::size_t sum = 0;
    for (const auto& [other, queue] : m_ranks) {
        if (other <= rank)
            sum += queue.size();
    }
    return sum;
}

duration admission_queue::estimatedWait(std::uint32_t rank, instant now) const
{
    auto ahead = static_cast<double>(waitingBefore(rank));
    duration wait {};
    if (m_inUse >= m_slots || ahead > 0)
        wait = scaled(m_meanLatency, (ahead + 1) / std::max(1U, m_slots));
    if (isColdAt(now)) {
        auto missing = ahead + 1 - m_coldTokens;
        if (missing > 0) {
            auto paced = durationOf(missing / m_coldPerSecond);
            wait = std::max(wait, std::min(paced, m_coldUntil - now));
        }
    }
    return wait;
}

result<void> admission_queue::offer(const admission_request& request, instant now)
{
    accrue(now);
    auto left = request.deadline - now;
    auto leastRun = scaled(m_meanLatency, m_policy.startShare);
    if (left < leastRun)
        return notRun(refusal_reason::deadlineExceeded, "too little time is left to run");
    // A nested call frees the slot that its caller holds, so it goes before all others.
    auto rank = request.isNested ? 0 : request.rank + 1;
    auto wait = estimatedWait(rank, now);
    if (wait > request.patience || wait + leastRun > left) {
        auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(wait);
        return notRun(refusal_reason::backendServerBusy, "the wait for a slot is too long", retryAfter);
    }
    request.request->rank = rank;
    request.request->deadline
        = now + std::min(left - leastRun, scaled(request.patience, m_policy.patienceSlack));
    auto& queue = m_ranks.try_emplace(rank, m_policy.capacity).first->second;
    auto displaced = queue.push(request.request);
    if (displaced == request.request)
        return notRun(refusal_reason::backendServerBusy, "the queue is full",
            std::chrono::ceil<std::chrono::milliseconds>(wait));
    if (displaced)
        m_refuse(displaced, notRun(refusal_reason::backendServerBusy, "displaced from a full queue").value());
    pump(now);
    return {};
}

void admission_queue::release(std::optional<duration> latency, instant now)
{
    if (m_inUse > 0)
        --m_inUse;
    if (latency) {
        m_meanLatency
            = scaled(m_meanLatency, m_policy.latencyMemory) + scaled(*latency, 1 - m_policy.latencyMemory);
    }
    pump(now);
}

bool admission_queue::withdraw(queued_request& request)
{
    auto found = m_ranks.find(request.rank);
    return found != m_ranks.end() && found->second.remove(request);
}

void admission_queue::refuseAll(const verdict& reason, instant now)
{
    for (auto& [rank, queue] : m_ranks) {
        auto refuse = [&](handle<queued_request> request) { m_refuse(std::move(request), reason); };
        while (auto request = queue.pop(now, refuse))
            refuse(request);
    }
}

void admission_queue::setSlots(std::uint32_t slots, instant now)
{
    m_slots = std::max(1U, slots);
    pump(now);
}

void admission_queue::setCold(double perSecond, instant until)
{
    if (m_coldPerSecond != perSecond)
        m_coldTokens = std::min(m_coldTokens, 1.0);
    m_coldPerSecond = perSecond;
    m_coldUntil = until;
}

void admission_queue::accrue(instant now)
{
    auto passed = std::chrono::duration<double>(now - m_accruedAt).count();
    m_accruedAt = now;
    m_coldTokens = std::min(m_policy.coldBurst, m_coldTokens + passed * m_coldPerSecond);
}

bool admission_queue::takeColdToken(instant now)
{
    accrue(now);
    if (m_coldTokens < 1)
        return false;
    m_coldTokens -= 1;
    return true;
}

bool admission_queue::mayStart(instant now)
{
    if (m_inUse >= m_slots)
        return false;
    return !isColdAt(now) || takeColdToken(now);
}

void admission_queue::refuseLate(handle<queued_request> request)
{
    m_refuse(std::move(request),
        notRun(refusal_reason::backendServerBusy, "waited for a slot as long as it could").value());
}

void admission_queue::expire(instant now)
{
    for (auto& [rank, queue] : m_ranks)
        queue.expire(now, [this](handle<queued_request> request) { refuseLate(std::move(request)); });
}

void admission_queue::pump(instant now)
{
    // A hook may release a slot at once, which would start requests out of order.
    if (m_isPumping)
        return;
    m_isPumping = true;
    expire(now);
    auto expired = [this](handle<queued_request> request) { refuseLate(std::move(request)); };
    for (auto& [rank, queue] : m_ranks) {
        while (queue.size() > 0 && mayStart(now)) {
            auto request = queue.pop(now, expired);
            if (!request)
                break;
            ++m_inUse;
            m_start(std::move(request), now);
        }
    }
    m_isPumping = false;
}

std::optional<instant> admission_queue::nextStart(instant now) const
{
    if (waiting() == 0 || m_inUse >= m_slots || !isColdAt(now))
        return std::nullopt;
    auto missing = std::max(0.0, 1 - m_coldTokens);
    auto wait = durationOf(missing / m_coldPerSecond);
    return std::min(m_coldUntil, m_accruedAt + wait + std::chrono::milliseconds(1));
}

} // namespace pomelohub
