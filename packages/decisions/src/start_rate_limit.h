/** \file
 * Defines start_rate_limit, a token bucket that limits how many requests start at one backend server.
 */
#pragma once

#include "core_types.h"

namespace pomelohub {

/** Thread safety: one thread at a time. */
class start_rate_limit {
public:
    /** \param burst requests that may start at once after a pause. */
    explicit start_rate_limit(double burst);

    /** Limits starts to \p perSecond until \p until; 0 for no limit. A new rate begins without the tokens
     * that were saved at another. */
    void set(double perSecond, instant until);

    bool isActive(instant now) const { return m_perSecond > 0 && now < m_until; }

    /** Adds the tokens of the time since the last call. */
    void refill(instant now);

    /** Whether a request may start, after refill(). */
    bool mayStart(instant now) const { return !isActive(now) || m_tokens >= 1; }

    /** Takes the token of a request that starts. */
    void take(instant now);

    /** Time until \p count requests may have started, or until the limit ends; zero when there is none. */
    duration waitFor(double count, instant now) const;

    /** The rate in force; 0 when there is none. */
    double perSecond(instant now) const { return isActive(now) ? m_perSecond : 0; }

private:
    double m_burst;
    double m_perSecond = 0;
    instant m_until {};
    double m_tokens = 0;
    instant m_refilledAt {};
};

} // namespace pomelohub
