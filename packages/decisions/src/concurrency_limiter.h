/** \file
 * Defines concurrency_limiter, which limits the number of requests that a backend server runs concurrently.
 * The limit starts low while the server is cold, rises with successful responses, and is reset when a warm
 * server becomes cold without saying so.
 */
#pragma once

#include "fleet_view.h"

namespace pomelohub {

/** The result of one request at a backend server. */
struct request_outcome {
    bool hasFailed = false; ///< The server shed it, returned an error or did not respond.
    duration latency {};
};

struct concurrency_limit_policy {
    /** The limit rises by one after this many successful responses in a row for each request that it allows;
     * while the server reports that it is cold, for the square of that number, as the latency of a cold
     * server cannot be told from that of a busy machine. */
    std::uint32_t successesPerIncrease = 4;
    /** A response that takes longer than the mean latency times this factor counts as a failure. */
    double slowFactor = 4;
    /** A response with a latency below this value never counts as slow. */
    duration minSlowLatency = std::chrono::milliseconds(10);
    /** Consecutive failures that reset the limit to its initial value. */
    std::uint32_t failuresToReset = 3;
    /** Returns the initial limit for a server with \p slots; benchmarks replace it to compare policies. */
    std::function<std::uint32_t(std::uint32_t slots)> initialLimit = [](std::uint32_t) { return 1U; };
};

/** Adapts a limit between 1 and the number of slots of the server. Thread safety: one thread at a time. */
class concurrency_limiter {
public:
    concurrency_limiter(std::uint32_t slots, concurrency_limit_policy policy);

    /** Records the condition that the backend server reports. A restarted server reports cold, and the
     * change to cold resets the limit. */
    void setCondition(backend_condition condition);

    /** Reserves room for one request. \return false when the limit is reached. */
    bool tryAcquire();

    /** Ends a reservation and adapts the limit to \p sample. Precondition: tryAcquire() returned true. */
    void release(const request_outcome& sample);

    /** Ends a reservation for which nothing was sent to the backend server; the limit stays. */
    void releaseUnused();

    std::uint32_t limit() const { return m_limit; }
    std::uint32_t inUse() const { return m_inUse; }
    std::uint32_t slots() const { return m_slots; }
    bool isRamping() const { return m_limit < m_slots; }

private:
    bool isFailure(const request_outcome& sample) const;
    void recordSuccess(duration latency);
    void reset();

    std::uint32_t m_slots;
    concurrency_limit_policy m_policy;
    backend_condition m_condition = backend_condition::cold;
    std::uint32_t m_limit = 1;
    std::uint32_t m_inUse = 0;
    std::uint32_t m_successes = 0;
    std::uint32_t m_consecutiveFailures = 0;
    duration m_meanLatency { 0 };
};

} // namespace pomelohub
