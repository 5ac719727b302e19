/** \file
 * Defines service_retry_limits and service_retry_budget, the retry budget of a service over all nodes. It
 * consists of a fraction of the service's requests, which each node earns with its own, and a reserve, whose
 * tokens one owner grants like those of an organisation's rate.
 */
#pragma once

#include "routing_table.h"

#include <unordered_map>

namespace pomelohub {

/** The retry budget of a service over all nodes, as agreed with the users. */
struct service_retry_limits {
    double ratio = 0.2; ///< Retries per request.
    double reserve = 50; ///< Further retries in any window.
    duration window = std::chrono::seconds(10);
};

/** The reserve of \p service in the form of the limits of an organisation. No window allows more than the
 * agreed reserve. */
handle<const organisation_limits> retryReserveOf(
    const service_retry_limits& limits, const service_id& service);

/** The service whose reserve has the id \p id; nothing when \p id is that of an organisation. */
std::optional<service_id> serviceOfRetryReserve(const organisation_id& id);

/** The retries that this node has earned. Thread safety: one thread at a time. */
class service_retry_budget {
public:
    explicit service_retry_budget(service_retry_limits limits);

    /** Counts the first attempt of a request. */
    void recordRequest(const service_id& service);

    /** Takes one earned retry. \return whether there was one. */
    bool tryAcquire(const service_id& service);

private:
    service_retry_limits m_limits;
    std::unordered_map<service_id, double> m_earnedRetries;
};

} // namespace pomelohub
