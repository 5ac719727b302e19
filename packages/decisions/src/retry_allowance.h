/** \file
 * Defines retry_limits and retry_allowance, the retry budget of a service over all nodes. It consists of a
 * fraction of the service's requests, which each node earns with its own, and a reserve, whose tokens one
 * owner grants like those of an organisation's rate.
 */
#pragma once

#include "routing_table.h"

#include <unordered_map>

namespace pomelohub {

/** The retry budget of a service over all nodes, as agreed with the users. */
struct retry_limits {
    double share = 0.2; ///< Retries per request.
    double reserve = 50; ///< Further retries in any window.
    duration window = std::chrono::seconds(10);
};

/** The reserve of \p service in the form of the limits of an organisation. No window allows more than the
 * agreed reserve. */
handle<const organisation_limits> reserveOf(const retry_limits& limits, const service_id& service);

/** The service whose reserve has the id \p id; nothing when \p id is that of an organisation. */
std::optional<service_id> reservedServiceOf(const organisation_id& id);

/** The retries that this node has earned. Thread safety: one thread at a time. */
class retry_allowance {
public:
    explicit retry_allowance(retry_limits limits);

    /** Counts the first attempt of a request. */
    void noteRequest(const service_id& service);

    /** Takes one earned retry. \return whether there was one. */
    bool tryTake(const service_id& service);

private:
    retry_limits m_limits;
    std::unordered_map<service_id, double> m_earnedRetries;
};

} // namespace pomelohub
