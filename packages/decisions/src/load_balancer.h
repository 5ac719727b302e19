/** \file
 * Defines chooseBackend(), which load-balances requests over the backend servers of a service by the power
 * of two random choices. Servers that drain, are ejected or take no work, and those in a data centre that is
 * out of service, are no candidates.
 */
#pragma once

#include "fleet_view.h"

#include <span>

namespace pomelohub {

/** Returns a uniformly distributed integer in [0, \p bound). Tests and benchmarks pass a seeded generator. */
using random_hook = std::function<std::uint64_t(std::uint64_t bound)>;

/** Returns the share of its usual traffic that a data centre takes now, in thousandths; 0 while it is out of
 * service. */
using data_centre_weight_hook = std::function<std::uint32_t(const data_centre_id&)>;

/** Returns the index of the chosen one of \p candidates, which are never empty. */
using pick_hook = std::function<std::size_t(std::span<const backend_entry* const> candidates)>;

/** Configures chooseBackend(). Thread safety: immutable after start; the hooks are called from any thread. */
struct load_balancing_policy {
    random_hook random;
    data_centre_weight_hook dataCentreWeight;
    pick_hook pick; ///< Optional; replaces the choice between two random candidates.
};

/** Chooses a backend server from \p view that is not in \p excluded, which lists those already tried.
 * \return null when no backend server is usable. Thread safety: any thread; the result points into \p view,
 * which the caller must keep alive. */
const backend_entry* chooseBackend(const service_view& view, std::span<const backend_server_id> excluded,
    const data_centre_id& home, const load_balancing_policy& policy, instant now);

/** Load by which candidates are compared: work in flight, scaled by slots, latency and weight. */
double loadOf(const backend_entry& candidate, const data_centre_id& home);

} // namespace pomelohub
