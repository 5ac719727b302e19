/** \file
 * Defines data_centre_slow_start, a slow start: it returns traffic to a data centre gradually after the data
 * centre comes back into service. Traffic stops at once when a data centre is taken out of service.
 */
#pragma once

#include "core_types.h"
#include "rcu_cell.h"

#include <unordered_map>

namespace pomelohub {

struct slow_start_policy {
    duration window = std::chrono::seconds(30); ///< Time until the data centre has full weight again.
    std::uint32_t initialWeight = 50; ///< In thousandths of the usual traffic.
};

/** Provides the weights of data centres for load_balancing_policy::dataCentreWeight. Thread safety: update()
 * by one thread at a time, weightOf() by any thread. */
class data_centre_slow_start {
public:
    explicit data_centre_slow_start(slow_start_policy policy);

    /** Sets whether \p dataCentre is in service at \p now and publishes its weight. A data centre that is in
     * service at the first update has full weight without a slow start. */
    void update(const data_centre_id& dataCentre, bool isInService, instant now);

    /** Share of its usual traffic that \p dataCentre takes as of the last update, in thousandths. A data
     * centre that was never updated has full weight. */
    std::uint32_t weightOf(const data_centre_id& dataCentre) const;

private:
    struct data_centre_state {
        bool isInService = true;
        instant restoredAt = instant::min();
        std::uint32_t weight = 1000;
    };
    struct weight_map : ref_counted<weight_map> {
        std::unordered_map<data_centre_id, std::uint32_t> entries;
    };

    std::uint32_t weightFor(const data_centre_state& state, instant now) const;

    slow_start_policy m_policy;
    std::unordered_map<data_centre_id, data_centre_state> m_states;
    rcu_cell<weight_map> m_weights;
};

} // namespace pomelohub
