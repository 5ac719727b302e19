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

/** Records of the operators' log from a given position on. */
struct operator_changes {
    std::vector<operator_change> changes;
    std::uint64_t position = 0; ///< Where the next read starts: one past the last record.
};

/** Thread safety: the hooks are called, and invoke their callbacks, on the thread of the control loop. At
 * most one call of each hook is in progress. */
struct fleet_store {
    /** Reads the full operator state. */
    std::function<void(store_callback<operator_state>)> readOperatorState;

    /** Long poll: returns the changes from \p position on, or an empty list if there are none within \p wait.
     */
    std::function<void(std::uint64_t position, duration wait, store_callback<operator_changes>)>
        pollOperatorChanges;

    /** Reads the announcements of all nodes. */
    std::function<void(store_callback<std::vector<instance_announcement>>)> readAnnouncements;

    /** Stores the announcement of this node, replacing an earlier one. */
    std::function<void(const instance_announcement&, store_callback<std::monostate>)> announce;
};

} // namespace pomelohub
