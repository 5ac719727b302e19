/** \file
 * Defines the one place where a process reads its clocks. All else gets the present time as an argument or
 * through a clock_hook.
 */
#pragma once

#include "core_types.h"

namespace pomelohub {

/** The present time of this machine. Thread safety: any thread. */
inline present readSystemClock()
{
    return { std::chrono::steady_clock::now(),
        std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now()) };
}

} // namespace pomelohub
