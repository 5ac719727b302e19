/** \file
 * Defines gray_failure_detector, which detects gray failures: backend servers that, compared with the others
 * of their service, are slow, fail more requests, or do not respond while the others do. An entry node judges
 * by the results of its own requests only, and reduces the load-balancing weight of the servers that it
 * suspects.
 */
#pragma once

#include "fleet_view.h"

#include <deque>

namespace pomelohub {

/** Statistics of one backend server over a window of time. */
struct backend_window {
    std::uint64_t responses = 0;
    std::uint64_t failures = 0;
    std::chrono::microseconds latencySum { 0 };
    std::uint32_t stalledRequests = 0; ///< In flight at the end of a tick that had no response at all.
};

/** Returns whether the window \p own shows a gray failure, compared with the sum of the windows of the other
 * backend servers of the service. Benchmarks replace it to compare policies. */
using gray_failure_hook = std::function<bool(const backend_window& own, const backend_window& others)>;

struct gray_failure_policy {
    std::uint32_t windowTicks = 4; ///< Length of the sliding window, in ticks.
    std::uint32_t minResponses = 3; ///< With fewer, failures and latency are not judged.
    std::uint32_t minFailures = 2; ///< A single failure may be chance.
    double failureRatio = 0.3; ///< Bad if the failed share exceeds that of the others by this.
    double slowFactor = 3; ///< Ratio to the mean latency of the others above which a server is slow.
    double smallSampleAllowance = 2; ///< slowFactor is scaled by 1 + this / responses.
    std::chrono::microseconds slowMargin { 20'000 }; ///< Minimum excess over the mean latency of the others.
    std::uint32_t badTicksToSuspect = 2;
    std::uint32_t goodTicksToClear = 20; ///< Greater than badTicksToSuspect, to avoid flapping.
    std::uint32_t suspectWeight = 50; ///< In thousandths. The traffic left shows when the server recovers.
    gray_failure_hook isGrayFailure; ///< Optional; replaces the rule above.
};

/** Judges the backend servers of all services. Thread safety: one thread at a time; backend_stats are shared
 * with requests, which update them concurrently. */
class gray_failure_detector {
public:
    explicit gray_failure_detector(gray_failure_policy policy);

    /** Ends the current tick of the service \p view, judges its backend servers and sets the weight of each.
     * Call it at a fixed interval. \return the backend servers of the service that are suspect. */
    std::vector<backend_server_id> tick(const service_view& view);

    /** Removes backend servers whose statistics have at most \p otherReferences references beside the one of
     * this detector, because no view contains them any more. */
    void trim(unsigned otherReferences);

private:
    struct backend_history {
        handle<backend_stats> stats;
        std::uint64_t responses = 0;
        std::uint64_t failures = 0;
        std::uint64_t latencySum = 0;
        std::deque<backend_window> ticks;
        std::uint32_t badTicks = 0;
        std::uint32_t goodTicks = 0;
        bool isSuspect = false;
    };

    backend_window closeTick(backend_history& history, const backend_stats& stats) const;
    bool isBad(const backend_window& own, const backend_window& others) const;
    void recordTick(backend_history& history, bool isBadTick) const;

    gray_failure_policy m_policy;
    std::unordered_map<const backend_stats*, backend_history> m_histories;
};

} // namespace pomelohub
