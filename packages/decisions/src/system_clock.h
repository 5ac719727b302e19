/** \file
 * Defines readSystemClock(), the only place where a process reads the clocks of the system. All other code
 * receives the current time as an argument or through a clock_hook.
 */
#pragma once

#include "core_types.h"

namespace pomelohub {

/** Reads both clocks of this machine. Thread safety: any thread. */
inline present readSystemClock()
{
    return { std::chrono::steady_clock::now(),
        std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now()) };
}

} // namespace pomelohub
