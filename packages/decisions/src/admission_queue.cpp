#include "admission_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pomelohub {

admission_queue::admission_queue(admission_policy policy, start_hook start, refuse_hook refuse)
    : m_policy(policy)
    , m_start(std::move(start))
    , m_refuse(std::move(refuse))
    , m_meanLatency(policy.initialMeanLatency)
    , m_warmupLimit(policy.warmupBurst)
    , m_requestLimit(policy.requestLimitBurst)
{
}

std::size_t admission_queue::waitingCount() const
{
    std::size_t total = 0;
    for (const auto& [rank, queue] : m_ranks)
        total += queue.size();
    return total;
}

double admission_queue::expectedStarts() const
{
    return expectedStartsBefore(std::numeric_limits<std::uint32_t>::max());
}

double admission_queue::expectedStartsBefore(std::uint32_t rank) const
{
    double total = 0;
    for (const auto& [queuedRank, queue] : m_ranks) {
        if (queuedRank <= rank)
            total += queue.expectedStarts();
    }
    return total;
}

duration admission_queue::estimatedWait(std::uint32_t rank, instant now) const
{
    auto requestsAhead = expectedStartsBefore(rank);
    duration wait {};
    if (m_slotsInUse >= m_slots || requestsAhead > 0)
        wait = scaled(m_meanLatency, (requestsAhead + 1) / std::max(1U, m_slots));
    wait = std::max(wait, m_warmupLimit.waitFor(requestsAhead + 1, now));
    wait = std::max(wait, m_requestLimit.waitFor(requestsAhead + 1, now));
    wait = std::max(wait, m_startWindow.waitFor(requestsAhead + 1, now));
    return wait;
}

result<void> admission_queue::admit(const admission_request& request, instant now)
{
    m_warmupLimit.refill(now);
    m_requestLimit.refill(now);
    auto timeLeft = request.deadline - now;
    auto minRunTime = scaled(m_meanLatency, m_policy.minTimeLeftFraction);
    if (timeLeft < minRunTime)
        return notRun(refusal_reason::deadlineExceeded, "too little time is left to run");
    // The caller of a nested request holds a slot until the answer, so nested requests start first.
    auto rank = request.isNested ? 0 : request.rank + 1;
    auto wait = estimatedWait(rank, now);
    if (wait > request.maxQueueTime || wait + minRunTime > timeLeft) {
        auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(wait);
        return notRun(refusal_reason::backendServerBusy, "the wait for a slot is too long", retryAfter);
    }
    request.request->rank = rank;
    request.request->deadline
        = now + std::min(timeLeft - minRunTime, scaled(request.maxQueueTime, m_policy.maxQueueTimeSlack));
    auto& queue = m_ranks.try_emplace(rank, m_policy.capacity).first->second;
    auto displaced = queue.push(request.request);
    if (displaced == request.request)
        return notRun(refusal_reason::backendServerBusy, "the queue is full",
            std::chrono::ceil<std::chrono::milliseconds>(wait));
    if (displaced)
        m_refuse(displaced, notRun(refusal_reason::backendServerBusy, "displaced from a full queue").value());
    dispatch(now);
    return {};
}

void admission_queue::release(std::optional<duration> latency, instant now)
{
    if (m_slotsInUse > 0)
        --m_slotsInUse;
    if (latency) {
        m_meanLatency = scaled(m_meanLatency, m_policy.previousMeanWeight)
            + scaled(*latency, 1 - m_policy.previousMeanWeight);
    }
    dispatch(now);
}

bool admission_queue::remove(queued_request& request)
{
    auto found = m_ranks.find(request.rank);
    return found != m_ranks.end() && found->second.remove(request);
}

void admission_queue::refuseIf(
    const std::function<bool(const queued_request&)>& isRefused, const request_error& reason, instant now)
{
    expire(now);
    for (auto& [rank, queue] : m_ranks)
        queue.takeIf(
            isRefused, [&](handle<queued_request> request) { m_refuse(std::move(request), reason); });
}

void admission_queue::refuseAll(const request_error& reason, instant now)
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
    dispatch(now);
}

void admission_queue::setWarmupLimit(double perSecond, instant until) { m_warmupLimit.set(perSecond, until); }

void admission_queue::confirmWarm(instant time, instant now)
{
    m_startWindow.confirmWarm(time);
    dispatch(now);
}

void admission_queue::setRequestLimit(std::optional<double> perSecond, instant now)
{
    m_requestLimit.refill(now);
    if (perSecond)
        m_requestLimit.set(std::max(*perSecond, m_policy.minRequestsPerSecond), instant::max());
    else
        m_requestLimit.set(0, {});
    dispatch(now);
}

std::uint32_t admission_queue::usableSlots(instant now) const
{
    auto perSecond = m_requestLimit.perSecond(now);
    if (perSecond <= 0)
        return m_slots;
    // By Little's law, as many requests run at once as start within the time that one takes.
    auto running = std::ceil(perSecond * std::chrono::duration<double>(m_meanLatency).count());
    return std::clamp(static_cast<std::uint32_t>(std::min<double>(running, m_slots)), 1U, m_slots);
}

bool admission_queue::mayStart(instant now)
{
    if (m_slotsInUse >= m_slots || !m_startWindow.mayStart(now))
        return false;
    m_warmupLimit.refill(now);
    m_requestLimit.refill(now);
    if (!m_warmupLimit.mayStart(now) || !m_requestLimit.mayStart(now))
        return false;
    m_warmupLimit.take(now);
    m_requestLimit.take(now);
    return true;
}

void admission_queue::refuseExpired(handle<queued_request> request)
{
    m_refuse(std::move(request),
        notRun(refusal_reason::backendServerBusy, "waited for a slot as long as it could").value());
}

void admission_queue::expire(instant now)
{
    for (auto& [rank, queue] : m_ranks)
        queue.expire(now, [this](handle<queued_request> request) { refuseExpired(std::move(request)); });
}

void admission_queue::dispatch(instant now)
{
    // A hook may release a slot synchronously; the recursive call would start requests out of order.
    if (m_isDispatching)
        return;
    m_isDispatching = true;
    expire(now);
    auto expired = [this](handle<queued_request> request) { refuseExpired(std::move(request)); };
    for (auto& [rank, queue] : m_ranks) {
        while (queue.size() > 0 && mayStart(now)) {
            auto request = queue.pop(now, expired);
            if (!request)
                break;
            ++m_slotsInUse;
            m_startWindow.reserve();
            m_start(std::move(request), now);
        }
    }
    m_isDispatching = false;
}

std::optional<instant> admission_queue::nextStartTime(instant now) const
{
    bool isLimited
        = m_warmupLimit.isActive(now) || m_requestLimit.isActive(now) || !m_startWindow.mayStart(now);
    if (waitingCount() == 0 || m_slotsInUse >= m_slots || !isLimited)
        return std::nullopt;
    auto wait = std::max(
        { m_warmupLimit.waitFor(1, now), m_requestLimit.waitFor(1, now), m_startWindow.waitFor(1, now) });
    return now + wait + std::chrono::milliseconds(1);
}

} // namespace pomelohub
