/** \file
 * Defines reachability, by which one thread tracks which nodes answer. It sends no probes but observes the
 * requests that the thread sends to them.
 */
#pragma once

#include "core_types.h"

#include <optional>
#include <unordered_map>

namespace pomelohub {

struct reachability_policy {
    /** Minimum time between the first and the last of consecutive failures. */
    duration unreachableAfter = std::chrono::seconds(2);
    /** Time without a further failure after which the node is tried again. */
    duration failureLifetime = std::chrono::seconds(3);
};

/** Nodes are named by their endpoints. Thread safety: one thread at a time. */
class reachability {
public:
    explicit reachability(reachability_policy policy = {});

    /** Notes a request that got no answer. */
    void recordFailure(const std::string& endpoint, instant now);
    void recordResponse(const std::string& endpoint);

    /** Whether requests to the node have failed for so long that another node may take over for it. */
    bool isUnreachable(const std::string& endpoint, instant now) const;
    /** Number of such nodes. */
    std::size_t unreachableCount(instant now) const;

private:
    struct failure_period {
        instant firstFailure {};
        instant lastFailure {};
    };

    bool isUnreachable(const failure_period& period, instant now) const;

    reachability_policy m_policy;
    std::unordered_map<std::string, failure_period> m_failurePeriods;
};

} // namespace pomelohub
