/** \file
 * Defines queueing_settings, which say for which routes requests may wait for room rather than search for an
 * idle server.
 */
#pragma once

#include "routing_table.h"

namespace pomelohub {

/** The default leaves queueing off for all routes. Thread safety: immutable. */
struct queueing_settings {
    /** Routes with at least this target latency tolerate queueing: several servers finish a request within
     * the time that their callers can wait. */
    duration minTargetLatency = duration::max();
    std::uint32_t parallelOffers = 1; ///< Servers in whose queues a request waits at once.

    /** Whether requests of \p rule may wait for room. Thread safety: any thread. */
    bool toleratesQueueing(const routing_rule& rule) const { return rule.targetLatency >= minTargetLatency; }
};

} // namespace pomelohub
