/** \file
 * Defines passive_health_check, a passive health check by which the sidecar node of a backend server
 * estimates from the outcomes of its requests how likely the next one fails. Since that node sees every
 * request of the backend server, a few outcomes are enough.
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

/** A hidden Markov model: the server is sound, fails a part of its requests, or fails nearly all of them. */
struct passive_health_policy {
    /** Bounds of the failure ratio of a sound server, which is learnt from the servers of its service. */
    double minBaseFailureRatio = 0.01;
    double maxBaseFailureRatio = 0.5;
    double partialFailureRatio = 0.4;
    double fullFailureRatio = 0.97;
    /** Of the failures of a sound server, the share in which it is stuck. */
    double stuckShare = 0.25;
    /** Before a gray failure of each kind begins. */
    duration meanTimeToPartialFailure = std::chrono::seconds(40);
    duration meanTimeToFullFailure = std::chrono::seconds(300);
    duration meanFailureTime = std::chrono::seconds(4);
    double suspectRisk = 0.5; ///< Failure risk above which the server is suspect.
    double clearedRisk = 0.15; ///< Failure risk below which it is not suspect any more.
    double previousWeight = 0.98; ///< Weight of the previous value in the observed failure ratio.
    duration trialInterval = std::chrono::milliseconds(600); ///< Between trials of a server at risk.
    /** After this time without a failure, a request that must run once may be a trial, too. */
    duration minFailureFreeTime = std::chrono::milliseconds(1500);
};

/** Thread safety: one thread at a time. */
class passive_health_check {
public:
    explicit passive_health_check(passive_health_policy policy = {});

    /** Records the outcome of a request. \return whether it made the server suspect or ended the suspicion.
     */
    bool record(backend_outcome outcome, instant now);

    /** The probability that a request which is sent at \p now fails although a sound server would serve it.
     * Failures that all servers of the service share are no risk of this one. Without outcomes the risk
     * approaches that of a server of which nothing is known. */
    double failureRisk(instant now) const;

    /** Whether the last outcomes have made it suspect. */
    bool isSuspect() const { return m_isSuspect; }

    /** Whether a trial request is due at a server at risk. If so, starts the interval until the next one. */
    bool tryStartTrial(instant now);

    /** Whether the last failure is so long ago that a request that must run once may be a trial. */
    bool hasNoRecentFailure(instant now) const { return now - m_lastFailure > m_policy.minFailureFreeTime; }

    /** Forgets the outcomes, since the server was restarted. */
    void reset();

    /** Sets the failure ratio of sound servers of the service. */
    void setBaseFailureRatio(double ratio);
    double baseFailureRatio() const { return m_baseFailureRatio; }

    /** Moving average over many requests, for setBaseFailureRatio() of other servers. */
    double observedFailureRatio() const { return m_observedFailureRatio; }

private:
    /** Probabilities of the states other than sound. */
    struct belief {
        double partial = 0;
        double full = 0;
    };

    belief beliefAt(instant now) const;
    double riskOf(const belief& state) const;
    double partialFailureRatio() const;

    passive_health_policy m_policy;
    belief m_belief; ///< At m_updatedAt.
    instant m_updatedAt {};
    double m_baseFailureRatio;
    double m_observedFailureRatio;
    bool m_isSuspect = false;
    instant m_nextTrialAt {};
    instant m_lastFailure {};
};

} // namespace pomelohub
