/** \file
 * Defines cold_server_settings, how far the requests that a cold backend server gets may exceed its warm-up
 * rate.
 */
#pragma once

#include <algorithm>
#include <cstddef>

namespace pomelohub {

struct cold_server_settings {
    double rateFactor = 1; ///< Of the warm-up rate, within one second.
    double extraRequests = 0; ///< Added to that.

    /** Most requests that may reach a server within one second unless it is known to be warm. */
    std::size_t maxStartsPerSecond(double warmupPerSecond) const
    {
        return static_cast<std::size_t>(std::max(1.0, warmupPerSecond * rateFactor + extraRequests));
    }
};

} // namespace pomelohub
