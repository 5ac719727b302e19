/** \file
 * Defines retry_allowance, this node's part of the repeats that all nodes together may send to a service: a
 * share of its requests, and a reserve that is divided among the nodes.
 */
#pragma once

#include "core_types.h"

#include <unordered_map>

namespace pomelohub {

/** What all nodes together may send, as the operators agreed with their users. */
struct retry_limits {
    double share = 0.2; ///< Repeats for each request.
    double reserve = 50; ///< Repeats beyond that in any window.
    duration window = std::chrono::seconds(10);
};

/** Thread safety: one thread at a time. */
class retry_allowance {
public:
    /** \param holders that divide the node's part, one for each thread that serves requests. */
    retry_allowance(retry_limits limits, std::size_t holders);

    /** Notes a first try. \param nodes that divide the reserve at present. */
    void noteRequest(const service_id& service, std::size_t nodes, instant now);

    /** Takes one repeat if there is one. */
    bool tryTake(const service_id& service, std::size_t nodes, instant now);

private:
    struct account {
        double level = 0;
        instant accruedAt {};
    };

    account& accrue(const service_id& service, std::size_t nodes, instant now);
    double mostHeld(std::size_t nodes) const;

    retry_limits m_limits;
    double m_holders;
    std::unordered_map<service_id, account> m_accounts;
};

} // namespace pomelohub
