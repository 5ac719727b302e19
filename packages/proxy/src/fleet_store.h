/** \file
 * Defines fleet_store, the interface of the durable metadata store as the control loop uses it.
 */
#pragma once

#include "fleet_controller.h"

#include <variant>

namespace pomelohub {

/** Why a call to the store failed. */
enum class store_failure {
    unavailable, ///< No response, or the store reported that it can't serve the call now.
    recordsDeleted, ///< The requested records have been deleted; the caller must read the full state instead.
    invalidCall, ///< The call is invalid; a retry would fail, too.
};

template <typename T> using store_callback = std::function<void(tl::expected<T, store_failure>)>;

/** Records of the operators' log from a given offset on. */
struct operator_changes {
    std::vector<operator_change> changes;
    /** Where the next read starts: one past the last record. Its era is that of the store when it answered,
     * so it may differ from that of the position at which the read began. */
    log_position position;
};

/** Thread safety: the hooks are called, and invoke their callbacks, on the thread of the control loop. At
 * most one call of each hook is in progress. */
struct fleet_store {
    /** Reads the full operator state. */
    std::function<void(store_callback<operator_snapshot>)> readOperatorState;

    /** Long poll: returns the changes from \p offset on, or an empty list if there are none within \p wait.
     */
    std::function<void(std::uint64_t offset, duration wait, store_callback<operator_changes>)>
        pollOperatorChanges;

    /** Reads the announcements of all nodes. */
    std::function<void(store_callback<std::vector<instance_announcement>>)> readAnnouncements;

    /** Stores the announcement of this node, replacing an earlier one. */
    std::function<void(const instance_announcement&, store_callback<std::monostate>)> announce;

    /** Sets what is told the era of each answer that names it, also of refusals, before the callback of the
     * call. Unset if the store has no eras. */
    std::function<void(std::function<void(store_era)>)> observeEra = nullptr;
};

} // namespace pomelohub
