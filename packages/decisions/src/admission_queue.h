/** \file
 * Defines admission_queue, which limits the concurrent requests of one backend server to its slots and queues
 * the others by rank. Under overload, a request that could not start in time is refused on arrival, while its
 * sender still has time to try another server.
 */
#pragma once

#include "fair_queue.h"
#include "request_error.h"
#include "start_rate_limit.h"
#include "start_window.h"

#include <map>

namespace pomelohub {

/** A request for a slot. */
struct admission_request {
    handle<queued_request>
        request; ///< The queue sets its rank, and its deadline to the latest time of its start.
    instant deadline {}; ///< When its caller stops waiting for the answer.
    std::uint32_t rank = 0; ///< Lower ranks start first.
    duration maxQueueTime {}; ///< Maximum wait for a slot that the sender accepts.
    bool isNested = false; ///< Sent by a backend server, which holds a slot until the answer.
};

struct admission_policy {
    std::size_t capacity = 256; ///< Maximum number of waiting requests; bounds memory.
    double previousMeanWeight = 0.8; ///< Weight of the previous mean in the moving average of latencies.
    duration initialMeanLatency = std::chrono::milliseconds(200); ///< Before the first answer.
    /** Fraction of the mean latency that must be left of a request's time to start it. */
    double minTimeLeftFraction = 0.5;
    /** Factor by which requests of lower rank may prolong a wait beyond its maximum. */
    double maxQueueTimeSlack = 1.5;
    double warmupBurst = 2; ///< Requests that may be sent to a cold server at once.
    double requestLimitBurst = 2; ///< Requests that may be sent at once to a server that names a limit.
    /** Lowest rate at which a server is sent requests that names a lower limit: its answers tell when the
     * limit ends. */
    double minRequestsPerSecond = 0.25;
};

/** Thread safety: one thread at a time. */
class admission_queue {
public:
    using start_hook = std::function<void(handle<queued_request>, instant now)>;
    using refuse_hook = std::function<void(handle<queued_request>, const request_error&)>;

    admission_queue(admission_policy policy, start_hook start, refuse_hook refuse);

    /** Starts the request, queues it, or refuses it. The hooks are not called for a request that is refused
     * here. \return the refusal, if any. */
    result<void> admit(const admission_request& request, instant now);

    /** Frees a slot. \param latency of the request if it was answered, for the mean latency; nothing
     * otherwise. */
    void release(std::optional<duration> latency, instant now);

    /** Notes that a request that was started is sent to the server, or is not going to be. Each request that
     * was started is to be followed by one of these calls, the second before release(). */
    void recordStart(instant now) { m_startWindow.recordStart(now); }
    void withdrawStart() { m_startWindow.withdraw(); }

    /** Number of requests that were sent to the server in the last second. */
    std::size_t recentStarts(instant now) const { return m_startWindow.startCount(now); }

    /** Removes a waiting request. \return whether it was still waiting. */
    bool remove(queued_request& request);

    /** Refuses the waiting requests that \p isRefused selects for \p reason. */
    void refuseIf(const std::function<bool(const queued_request&)>& isRefused, const request_error& reason,
        instant now);

    /** Refuses all waiting requests for \p reason. */
    void refuseAll(const request_error& reason, instant now);

    /** Refuses expired requests and starts waiting ones while slots and the limits of the rate allow. To be
     * called at nextStartTime(). */
    void dispatch(instant now);

    void setSlots(std::uint32_t slots, instant now);

    /** Limits starts to \p perSecond until \p until, while the server is cold; 0 for no limit. */
    void setWarmupLimit(double perSecond, instant until);

    /** Limits the requests that are sent in any second since the server is last known to have been warm;
     * nothing for no limit. */
    void setStartLimit(std::optional<std::size_t> count) { m_startWindow.setLimit(count); }

    /** The server was warm at \p time. */
    void confirmWarm(instant time, instant now);

    /** Whether the server is to be asked whether it is warm, before the limit of starts delays requests. */
    bool needsWarmthConfirmation(instant now) const { return m_startWindow.needsConfirmation(now); }

    /** Limits starts to \p perSecond, as the server asks in its answers; nothing for no limit. */
    void setRequestLimit(std::optional<double> perSecond, instant now);

    /** Number of requests that the server can run at once, which a limit of its rate lowers, too. */
    std::uint32_t usableSlots(instant now) const;

    /** When a limit of the rate lets the next waiting request start; nothing when no request waits for that.
     */
    std::optional<instant> nextStartTime(instant now) const;

    std::size_t waitingCount() const;

    /** Number of the waiting requests that are expected to start here rather than in another queue. */
    double expectedStarts() const;
    std::uint32_t inUse() const { return m_slotsInUse; }
    std::uint32_t slots() const { return m_slots; }
    duration meanLatency() const { return m_meanLatency; }

    /** Estimated wait of a request with \p rank that arrives now. Later requests of lower rank may prolong
     * it.
     */
    duration estimatedWait(std::uint32_t rank, instant now) const;

private:
    void expire(instant now);
    void refuseExpired(handle<queued_request> request);
    double expectedStartsBefore(std::uint32_t rank) const;
    bool mayStart(instant now);

    admission_policy m_policy;
    start_hook m_start;
    refuse_hook m_refuse;
    std::map<std::uint32_t, fair_queue> m_ranks;
    std::uint32_t m_slots = 1;
    std::uint32_t m_slotsInUse = 0;
    duration m_meanLatency;
    start_rate_limit m_warmupLimit;
    start_rate_limit m_requestLimit;
    start_window m_startWindow;
    bool m_isDispatching = false;
};

} // namespace pomelohub
