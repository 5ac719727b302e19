/** \file
 * Defines passive_health_check, a passive health check by which the sidecar node of a backend server detects
 * gray failures from the outcomes of its requests. Since that node sees every request of the backend server,
 * a few outcomes are enough.
 */
#pragma once

#include "core_types.h"

namespace pomelohub {

/** How a request ended at a backend server. */
enum class backend_outcome {
    served, ///< A complete answer that reports no server error.
    failed, ///< An answer that reports a server error.
    broken, ///< No complete answer: connection reset, truncated, or malformed.
    stuck, ///< No answer yet after a large multiple of the mean latency.
};

/** Text of \p outcome in logs. */
std::string_view toText(backend_outcome outcome);

/** Which suspect backend servers a request may be sent to. */
enum class suspect_rule {
    trialsOnly, ///< None, except as a trial that shows whether the server has recovered.
    failingInPart, ///< Those that do not fail nearly all of their requests.
    any, ///< Any: when all servers of a service are suspect, suspicion does not tell them apart.
};

/** Text of \p rule in messages and logs. */
std::string_view toText(suspect_rule rule);

/** The rule that \p text names; suspect_rule::trialsOnly for any other text. */
suspect_rule suspectRuleFromText(std::string_view text);

struct passive_health_policy {
    double previousWeight = 0.7; ///< Weight of the previous estimate in the moving averages of outcomes.
    double failedWeight = 0.6; ///< Below brokenWeight, as healthy servers fail some requests, too.
    double brokenWeight = 1.0;
    double suspectThreshold = 0.27; ///< Weighted failure ratio from which the server is suspect.
    duration trialInterval = std::chrono::milliseconds(600); ///< Between trials of a suspect server.
    std::uint32_t successesToClear = 2; ///< Consecutive served requests that end a suspicion.
    std::uint32_t maxSuccessesToClear = 6; ///< Each relapse adds one to the number required, up to this.
    /** After this time without a failure, any request may be a trial. */
    duration minFailureFreeTime = std::chrono::milliseconds(2500);
    /** A suspect server with a higher failure ratio gets only trials while other servers of its service work:
     * a refusal that says that the request has not run serves a caller better than an unknown outcome. */
    double maxFailureRatio = 0.8;
    /** Becoming suspect again within this time is a relapse. */
    duration relapseWindow = std::chrono::seconds(10);
};

/** Thread safety: one thread at a time. */
class passive_health_check {
public:
    explicit passive_health_check(passive_health_policy policy = {});

    /** Records the outcome of a request that was sent to the server at \p startedAt. \return whether it made
     * the server suspect or ended the suspicion. */
    bool record(backend_outcome outcome, instant startedAt, instant now);

    bool isSuspect() const { return m_isSuspect; }

    /** Whether a suspect server is due for a trial request. If so, starts the interval until the next one. */
    bool tryStartTrial(instant now);

    /** Whether a request with \p rule may be sent to the server although it is not a trial. */
    bool accepts(suspect_rule rule) const;

    /** Whether the last failure is so long ago that a request that must run once may be a trial. */
    bool hasNoRecentFailure(instant now) const { return now - m_lastFailure > m_policy.minFailureFreeTime; }

    /** Forgets the outcomes, since the server was restarted. */
    void reset();

    /** Moving average over the recent requests. */
    double failureRatio() const { return m_failureRatio; }

private:
    double weightOf(backend_outcome outcome) const;

    passive_health_policy m_policy;
    double m_failureScore = 0; ///< Moving average of failures, weighted by the kind of outcome.
    double m_failureRatio = 0;
    bool m_isSuspect = false;
    std::uint32_t m_successesInRow = 0; ///< Among requests that were sent since it became suspect.
    std::uint32_t m_successesToClear;
    instant m_suspectSince {};
    instant m_nextTrialAt {};
    instant m_lastFailure {};
};

} // namespace pomelohub
