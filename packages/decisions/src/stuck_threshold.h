/** \file
 * Defines stuck_threshold, which decides from what age a running request counts as stuck.
 */
#pragma once

#include "core_types.h"

#include <array>

namespace pomelohub {

struct stuck_threshold_policy {
    duration minAge = std::chrono::milliseconds(1200);
    /** Used for a kind of request of which none has been answered yet. */
    duration initialAge = std::chrono::seconds(3);
    double meanFactor = 4; ///< A stuck request is older than this multiple of the mean of its kind.
    double previousWeight = 0.9; ///< Weight of the previous mean in the moving average.
};

/** Thread safety: one thread at a time. */
class stuck_threshold {
public:
    explicit stuck_threshold(stuck_threshold_policy policy = {});

    /** Records the time that a request took. The nested calls of other backend servers, \p isNested, and the
     * requests of callers take times of different orders. */
    void record(bool isNested, duration responseTime);

    /** The age from which a request counts as stuck. */
    duration age(bool isNested) const;

private:
    stuck_threshold_policy m_policy;
    std::array<duration, 2> m_means {}; ///< Of the requests of callers and of nested calls; zero at first.
};

} // namespace pomelohub
