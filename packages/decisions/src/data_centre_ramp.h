/** \file
 * Defines data_centre_ramp, which returns traffic to a data centre step by step after it came back into
 * service, and stops it at once when it is taken out.
 */
#pragma once

#include "core_types.h"
#include "rcu_cell.h"

#include <unordered_map>

namespace pomelohub {

struct ramp_policy {
    duration length = std::chrono::seconds(30);
    std::uint32_t startWeight = 50; ///< In thousandths of the usual traffic.
};

/** Weights of data centres for chooser_policy::dataCentreWeight. Thread safety: update() by one thread at a
 * time, weightOf() by any. */
class data_centre_ramp {
public:
    explicit data_centre_ramp(ramp_policy policy);

    /** Sets whether \p dataCentre is in service at \p now. One first seen in service has full weight. */
    void update(const data_centre_id& dataCentre, bool inService, instant now);

    /** Share of the usual traffic at the last update, in thousandths. */
    std::uint32_t weightOf(const data_centre_id& dataCentre) const;

private:
    struct state {
        bool inService = true;
        instant since = instant::min();
        std::uint32_t weight = 1000;
    };
    struct weights : counted<weights> {
        std::unordered_map<data_centre_id, std::uint32_t> entries;
    };

    std::uint32_t weightFor(const state& state, instant now) const;

    ramp_policy m_policy;
    std::unordered_map<data_centre_id, state> m_states;
    rcu_cell<weights> m_published;
};

} // namespace pomelohub
