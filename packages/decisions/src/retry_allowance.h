/** \file
 * Defines retry_limits and retry_allowance: the repeats that all nodes together may send to a service are a
 * share of its requests, which each node earns with its own, and a reserve, which one owner hands out like
 * the rate of an organisation.
 */
#pragma once

#include "routing_table.h"

#include <unordered_map>

namespace pomelohub {

/** What all nodes together may send, as the operators agreed with their users. */
struct retry_limits {
    double share = 0.2; ///< Repeats for each request.
    double reserve = 50; ///< Repeats beyond that in any window.
    duration window = std::chrono::seconds(10);
};

/** The reserve of \p service in the form in which owners grant. Any window holds at most the agreed reserve.
 */
handle<const organisation_limits> reserveOf(const retry_limits& limits, const service_id& service);

/** The service whose reserve \p id names, or nothing when it names an organisation. */
std::optional<service_id> reservedServiceOf(const organisation_id& id);

/** The share that this node earned. Thread safety: one thread at a time. */
class retry_allowance {
public:
    explicit retry_allowance(retry_limits limits);

    /** Notes a first try. */
    void noteRequest(const service_id& service);

    /** Takes one repeat if the share has one. */
    bool tryTake(const service_id& service);

private:
    retry_limits m_limits;
    std::unordered_map<service_id, double> m_levels;
};

} // namespace pomelohub
