/** \file
 * Defines fleet_store, the hooks by which the control loop reads and writes what must last.
 */
#pragma once

#include "fleet_controller.h"

#include <variant>

namespace pomelohub {

/** Why a call brought nothing. */
enum class store_failure {
    unavailable, ///< No answer, or one that says that the store cannot serve now.
    historyGone, ///< The records that were asked for have been deleted; read the whole state.
    refused, ///< The call itself is wrong; repeating it does not help.
};

template <typename T> using store_hook = std::function<void(tl::expected<T, store_failure>)>;

/** Changes after a position. */
struct operator_changes {
    std::vector<operator_change> changes;
    std::uint64_t position = 0; ///< The first position not read.
};

/** Thread safety: the hooks are called, and call back, on the thread of the control loop. At most one call of
 * each hook is under way. */
struct fleet_store {
    std::function<void(store_hook<operator_state>)> readOperators;

    /** Waits up to \p wait for changes from \p position on. */
    std::function<void(std::uint64_t position, duration wait, store_hook<operator_changes>)> followOperators;

    std::function<void(store_hook<std::vector<instance_announcement>>)> readAnnouncements;
    std::function<void(const instance_announcement&, store_hook<std::monostate>)> announce;
};

} // namespace pomelohub
