/** \file
 * Defines admission_queue, which admits requests to the slots of one backend server and orders those that
 * wait. It answers loads at and above the server's capacity: what cannot start in time is refused on arrival,
 * while its caller still has time to go elsewhere.
 */
#pragma once

#include "fair_queue.h"
#include "verdict.h"

#include <map>

namespace pomelohub {

/** What one request asks of the queue. */
struct admission_request {
    handle<queued_request> request; ///< The queue sets its deadline to the time by which it must start.
    instant deadline {}; ///< End of its caller's wait.
    std::uint32_t rank = 0; ///< Lower ranks start first.
    duration patience {}; ///< Longest wait for a slot that the sender accepts.
    bool isNested = false; ///< Another backend server holds a slot until this one is answered.
};

struct admission_policy {
    std::size_t capacity = 256; ///< Requests that may wait; bounds memory.
    double latencyMemory = 0.8; ///< Share of the former mean that each latency leaves.
    duration firstMean = std::chrono::milliseconds(200); ///< Assumed before the first answer.
    double startShare = 0.5; ///< A request with less than this share of the mean left does not start.
    double patienceSlack = 1.5; ///< A wait may exceed the patience by this factor when urgent requests come.
    double coldBurst = 2; ///< Requests that a cold server may be sent at once.
};

/** Thread safety: one thread at a time. */
class admission_queue {
public:
    using start_hook = std::function<void(handle<queued_request>, instant now)>;
    using refuse_hook = std::function<void(handle<queued_request>, const verdict&)>;

    admission_queue(admission_policy policy, start_hook start, refuse_hook refuse);

    /** Starts the request, lets it wait, or refuses it. When it is refused the hooks are not called. */
    result<void> offer(const admission_request& request, instant now);

    /** Gives a slot back. \param latency of a request that was answered; nothing for others. */
    void release(std::optional<duration> latency, instant now);

    /** Takes a waiting request out. \return whether it still waited. */
    bool withdraw(queued_request& request);

    /** Refuses all that wait. */
    void refuseAll(const verdict& reason, instant now);

    /** Starts what may start. Call it when the cold rate may allow one more, see nextStart(). */
    void pump(instant now);

    void setSlots(std::uint32_t slots, instant now);

    /** Limits the starts to \p perSecond until \p until; 0 for no limit. */
    void setCold(double perSecond, instant until);

    /** When a waiting request may start at the cold rate; nothing when none waits for that. */
    std::optional<instant> nextStart(instant now) const;

    std::size_t waiting() const;
    std::uint32_t inUse() const { return m_inUse; }
    std::uint32_t slots() const { return m_slots; }
    duration meanLatency() const { return m_meanLatency; }

    /** Estimated wait of a request that comes now with \p rank; more urgent ones may come before it. */
    duration estimatedWait(std::uint32_t rank, instant now) const;

private:
    bool isColdAt(instant now) const { return m_coldPerSecond > 0 && now < m_coldUntil; }
    bool takeColdToken(instant now);
    void accrue(instant now);
    void expire(instant now);
    void refuseLate(handle<queued_request> request);
    std::size_t waitingBefore(std::uint32_t rank) const;
    bool mayStart(instant now);

    admission_policy m_policy;
    start_hook m_start;
    refuse_hook m_refuse;
    std::map<std::uint32_t, fair_queue> m_ranks;
    std::uint32_t m_slots = 1;
    std::uint32_t m_inUse = 0;
    duration m_meanLatency;
    double m_coldPerSecond = 0;
    instant m_coldUntil {};
    double m_coldTokens = 0;
    instant m_accruedAt {};
    bool m_isPumping = false;
};

} // namespace pomelohub
