/** \file
 * Defines call_admission, which refuses requests whose runs would fail because a service that they call has
 * no room. It answers loads in which a called service is over its capacity: a run that fails by a call has
 * used a slot in vain, and its caller may not send it again, while a request that was refused unrun can come
 * back.
 */
#pragma once

#include "request_error.h"
#include "routing_table.h"

#include <map>

namespace pomelohub {

struct call_admission_policy {
    /** Time constant of the counts of runs and calls, from which the calls of a run are estimated. */
    duration learningTime = std::chrono::seconds(10);
    /** Time constant of the rate at which calls find room. */
    duration rateTime = std::chrono::seconds(3);
    double minRuns = 3; ///< Runs of a kind to have seen before its requests are refused.
    /** Factor by which a call without room lowers the rate of calls that is admitted. */
    double rateReduction = 0.85;
    /** Between two reductions, so that calls of one burst count once. */
    duration reductionInterval = std::chrono::milliseconds(500);
    /** The admitted rate grows by this factor each second, to find out whether there is more room. */
    double rateGrowthPerSecond = 1.12;
    /** The limit ends when it is this multiple of the rate of the calls that are made. */
    double releaseFactor = 2;
    double minCallsPerSecond = 0.5; ///< Always admitted, so that recovery is seen.
    double burst = 3; ///< Calls that may be made at once under the limit.
    /** Refused callers return within this range: the first after about one run, the last while most callers
     * still wait. */
    duration minRetryAfter = std::chrono::seconds(1);
    duration maxRetryAfter = std::chrono::seconds(6);
};

/** Why a request was refused, for the log. */
struct call_refusal {
    service_id calledService;
    double callsPerSecond = 0; ///< That are admitted.
    double callsPerRun = 0;
    request_error error;
};

/** What a gateway has learned of the calls that the runs at its backend server make. A restart forgets it;
 * while nothing is known, all requests are admitted. Thread safety: one thread at a time. */
class call_admission {
public:
    explicit call_admission(call_admission_policy policy)
        : m_policy(policy)
    {
    }

    /** Counts the start of a run. */
    void recordRun(request_kind kind, instant now);

    /** Counts a call of the backend server. \param running kinds of the requests that run there, one entry
     * for each: which of them has made the call is not known. \param hadNoRoom whether the call was refused
     * because no server of the called service had room. */
    void recordCall(const service_id& calledService, const std::vector<request_kind>& running, bool hadNoRoom,
        instant now);

    /** Decides whether a request can be expected to be served to its end. \param draw of the request, uniform
     * in [0, 1), which spreads the times at which refused callers return. \return the refusal, if any. */
    std::optional<call_refusal> check(request_kind kind, double draw, instant now);

private:
    /** A count that decays exponentially. */
    struct decaying_count {
        double value = 0;
        instant updatedAt {};

        void add(double amount, duration timeConstant, instant now);
        double at(duration timeConstant, instant now) const;
    };
    struct kind_profile {
        decaying_count runs;
        std::map<service_id, decaying_count> calls;
    };
    /** The limit of the calls to one service, as a token bucket. */
    struct call_limit {
        decaying_count calls; ///< All that were made.
        decaying_count served; ///< Those that found room.
        bool isActive = false;
        double perSecond = 0;
        double tokens = 0;
        instant updatedAt {};
        instant reducedAt {};
    };

    double callsPerRun(const kind_profile& profile, const decaying_count& calls, instant now) const;
    double rateOf(const decaying_count& count, instant now) const;
    void advance(call_limit& limit, instant now) const;

    call_admission_policy m_policy;
    std::unordered_map<request_kind, kind_profile> m_kinds;
    std::map<service_id, call_limit> m_limits;
};

} // namespace pomelohub
