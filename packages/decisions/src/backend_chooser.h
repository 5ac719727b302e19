/** \file
 * Defines backend_chooser, which picks a backend server for one request: the less loaded of two random
 * candidates, among those that are in use and in a data centre in service.
 */
#pragma once

#include "fleet_view.h"

#include <span>

namespace pomelohub {

/** Uniform random integers below the argument; tests and measurements pass a seeded one. */
using random_hook = std::function<std::uint64_t(std::uint64_t bound)>;

/** Share of the usual traffic that a data centre takes at present, in thousandths; 0 while out of service. */
using data_centre_weight_hook = std::function<std::uint32_t(const data_centre_id&)>;

/** Picks an index of \p candidates; the default is the less loaded of two. */
using pick_hook = std::function<std::size_t(std::span<const backend_entry* const> candidates)>;

/** How to choose. Thread safety: immutable after start; the hooks are called from any thread. */
struct chooser_policy {
    random_hook random;
    data_centre_weight_hook dataCentreWeight;
    pick_hook pick; ///< Replaces the choice among candidates where set.
};

/** Chooses among \p view, leaving out \p tried. \return null when no backend server may be used.
 * Thread safety: any thread; \p view must be kept alive by the caller. */
const backend_entry* chooseBackend(const service_view& view, std::span<const backend_server_id> tried,
    const data_centre_id& home, const chooser_policy& policy, instant now);

/** Load by which candidates are compared: work in flight, scaled by slots, latency and weight. */
double loadOf(const backend_entry& candidate, const data_centre_id& home);

} // namespace pomelohub
