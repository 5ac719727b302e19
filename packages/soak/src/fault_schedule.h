/** \file
 * Defines makeSchedule(), which draws the faults of a soak from a seed.
 */
#pragma once

#include "core_types.h"

#include <vector>

namespace pomelohub {

enum class fault_kind {
    // Of the process of a node.
    suspendNode, ///< It stands still.
    killNode,
    stopNode, ///< SIGTERM; it is started again after its end.
    // Of the way from other nodes to a node.
    delayLink,
    resetLink,
    cutLink,
    cutLinkOneWay, ///< Replies are held back.
    // Of the backend server beside a node.
    crashServer, ///< It loses all connections and starts again.
    resetServer, ///< Its connections are reset, in the middle of what passes.
    stallServer, ///< It takes requests and does not respond.
    failServer, ///< It responds with an error to half of its requests.
    leaveServer, ///< It says that it leaves, and is replaced.
    delayHeartbeat, ///< A heartbeat arrives again, late.
    // Of all nodes at once.
    storeUnavailable,
    storeSilent,
    storeLosesReplies,
    changeConfiguration,
    // Of the way from a node to the store.
    resetStoreLink,
    cutStoreLink,
    cutStoreLinkOneWay, ///< Responses are held back.
    // Of the way from callers to a node.
    delayCallerLink,
    resetCallerLink,
    cutCallerLink,
    cutCallerLinkOneWay, ///< Responses are held back.
    // Of all nodes at once.
    restoreStore, ///< It comes back from a copy that is as old as the fault is long; operators write again.
};
constexpr std::size_t faultKindCount = 25;

std::string_view toText(fault_kind kind);

struct planned_fault {
    fault_kind kind = fault_kind::suspendNode;
    duration at {}; ///< From the start of the traffic.
    duration length {};
    std::size_t node = 0; ///< Not used by the faults of the store and by changes of the configuration.
};

struct schedule_policy {
    std::size_t nodeCount = 9;
    duration length = std::chrono::seconds(15); ///< No fault begins later.
    duration meanGap = std::chrono::milliseconds(500); ///< Between the starts of two faults or series.
    duration meanLinkGap
        = std::chrono::seconds(1); ///< The same for those of the ways to the store and from callers.
    duration minFault = std::chrono::milliseconds(100);
    duration maxFault = std::chrono::milliseconds(3000);
    duration meanRestoreGap = std::chrono::seconds(8); ///< The same for the store's copies.
    double seriesShare = 0.3; ///< Of the draws that repeat one fault at one node in short order.
    std::uint32_t maxSeries = 5;
    duration maxSeriesGap = std::chrono::milliseconds(700);
};

/** \return the same faults for the same arguments, ordered by time. Faults may overlap, also at one node. */
std::vector<planned_fault> makeSchedule(std::uint64_t seed, const schedule_policy& policy);

} // namespace pomelohub
