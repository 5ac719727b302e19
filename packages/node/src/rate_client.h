/** \file
 * Defines rate_client, which requests rate tokens from the authorities for the rate filter.
 */
#pragma once

#include "control_plane.h"
#include "rate_filter.h"

namespace pomelohub {

/** Thread safety: any thread. */
class rate_client : public ref_counted<rate_client> {
public:
    rate_client(handle<control_plane> control, clock_hook clock);

    /** Implements refill_hook. A wait ends after a fixed maximum time. */
    bool refill(const handle<organisation_leases>& leases, bool wait);

private:
    void sendRequest(const rate_request& request, std::function<void(const rate_grant&)> done);

    handle<control_plane> m_control;
    clock_hook m_clock;
};

} // namespace pomelohub
