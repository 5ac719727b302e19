/** \file
 * Defines crash_quarantine, which blocks a request that has crashed two backend servers, so that it does not
 * crash a third one when its caller resends it, to whichever node.
 */
#pragma once

#include "core_types.h"
#include "rcu_cell.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace pomelohub {

/** Identifies equal requests: a hash of organisation, service, method and target. */
using request_fingerprint = std::uint64_t;

request_fingerprint fingerprintOf(std::string_view organisation, std::string_view service,
    std::string_view method, std::string_view target);

/** A quarantined fingerprint, in the form in which nodes exchange it. */
struct quarantine_notice {
    request_fingerprint fingerprint = 0;
    std::chrono::milliseconds timeLeft { 0 }; ///< Time until the end of the quarantine.
};

struct quarantine_policy {
    std::uint32_t minCrashedServers = 2; ///< Backend servers that must crash.
    duration quarantineDuration = std::chrono::minutes(5); ///< Of a quarantine and of a suspicion.
    std::size_t maxSuspects = 10'000;
    std::size_t maxNoticesPerMessage = 5;
};

/** Thread safety: isQuarantined(), count() and isSuspect() from any thread, all else by one thread at a time.
 */
class crash_quarantine {
public:
    explicit crash_quarantine(quarantine_policy policy);

    bool isQuarantined(request_fingerprint fingerprint, instant now) const;

    /** Number of fingerprints that are suspect or quarantined. Thread safety: any thread. */
    std::size_t count() const;

    /** Whether a backend server crashed while it ran the request. Thread safety: any thread. */
    bool isSuspect(request_fingerprint fingerprint) const;

    /** Notes that \p backend crashed while it ran the request, and its sidecar node did not. A request that
     * many callers send is in flight in any crash, so a quarantine takes crashes of several servers without
     * an answer in between. \return whether the request is quarantined now. */
    bool recordCrash(request_fingerprint fingerprint, const backend_server_id& backend, instant now);

    /** Ends the suspicion or quarantine of the request: a backend server answered it, so it is not what
     * crashes them. */
    void recordResponse(request_fingerprint fingerprint);

    /** Adds the quarantined fingerprints that another node sent. \return those that were not quarantined
     * here.
     */
    std::vector<request_fingerprint> addNotices(const std::vector<quarantine_notice>& notices, instant now);

    /** Quarantined fingerprints to send to another node, in rotation when there are many. */
    std::vector<quarantine_notice> notices(instant now);

    /** Removes suspicions and quarantines that have ended. */
    void removeExpired(instant now);

private:
    struct suspect {
        std::set<backend_server_id> crashed;
        instant lastCrash {};
    };
    struct quarantine_table : ref_counted<quarantine_table> {
        /** End of each quarantine; in the past for fingerprints that are only suspect. */
        std::unordered_map<request_fingerprint, instant> until;
    };

    void setQuarantineEnd(request_fingerprint fingerprint, instant until);

    quarantine_policy m_policy;
    std::unordered_map<request_fingerprint, suspect> m_suspects;
    rcu_cell<quarantine_table> m_table;
    std::size_t m_nextNotice = 0;
};

} // namespace pomelohub
