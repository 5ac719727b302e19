/** \file
 * Defines outcome_judge, by which the node beside a backend server tells a gray failure from what requests
 * met there. That node sees every request of the backend server, so a few outcomes are enough.
 */
#pragma once

#include "core_types.h"

namespace pomelohub {

/** How a request ended at a backend server. */
enum class backend_outcome {
    served,
    failed, ///< An answer that says that the server failed.
    broken, ///< No whole answer: reset, cut short, or bytes that are no answer.
    stuck, ///< Still no answer after many times the usual time.
};

/** Text of \p outcome in logs. */
std::string_view toText(backend_outcome outcome);

/** Which suspect backend servers a request accepts. */
enum class suspect_rule {
    trialsOnly,
    failingInPart, ///< None that fails nearly all requests.
    any, ///< All servers of the service are suspect, so that suspicion tells nothing.
};

/** Text of \p rule in messages and logs. */
std::string_view toText(suspect_rule rule);

/** The rule that \p text names; trials only for any other text. */
suspect_rule suspectRuleFromText(std::string_view text);

struct judge_policy {
    double memory = 0.7; ///< Share of the former estimate that each outcome leaves.
    double failedWeight = 0.6; ///< A server fails some requests by itself, so one proves little.
    double brokenWeight = 1.0;
    double suspectAbove = 0.27; ///< Estimated failing share that makes the server suspect.
    duration trialInterval = std::chrono::milliseconds(600); ///< Between trials of a suspect server.
    std::uint32_t servedToClear = 2; ///< Requests served in a row that clear it.
    std::uint32_t mostServedToClear = 6; ///< Each relapse asks one more, up to this.
    duration quietToClear
        = std::chrono::milliseconds(2500); ///< Without a failure a suspect server gets any request.
    /** A server that fails more of its requests gets trials only while others of its service work: a caller
     * is better off with the refusal of a request that has not run than with an unknown outcome. */
    double mostFailingShare = 0.8;
    duration relapseWindow = std::chrono::seconds(10); ///< A suspicion within it counts as a relapse.
};

/** Thread safety: one thread at a time. */
class outcome_judge {
public:
    explicit outcome_judge(judge_policy policy = {});

    /** Notes the outcome of a request that was sent to the server at \p startedAt. \return whether the server
     * became suspect or was cleared by it. */
    bool note(backend_outcome outcome, instant startedAt, instant now);

    bool isSuspect() const { return m_isSuspect; }

    /** Whether a suspect server is due one more request that may be repeated elsewhere. Takes that turn. */
    bool takeTrial(instant now);

    /** Whether the server gets a request that is no trial and accepts what \p rule says. */
    bool accepts(suspect_rule rule) const;

    /** Whether the last failure is so long ago that a request that runs once may be the trial. */
    bool isQuiet(instant now) const { return now - m_lastFailure > m_policy.quietToClear; }

    /** Another start of the server: what was seen no longer counts. */
    void reset();

    /** Of the last requests. */
    double failingShare() const { return m_failingShare; }

private:
    double weightOf(backend_outcome outcome) const;

    judge_policy m_policy;
    double m_evidence = 0; ///< Of failure; outcomes that prove more weigh more.
    double m_failingShare = 0;
    bool m_isSuspect = false;
    std::uint32_t m_servedInRow = 0; ///< Of those that were sent since it became suspect.
    std::uint32_t m_servedToClear;
    instant m_suspectSince {};
    instant m_nextTrial {};
    instant m_lastFailure {};
};

} // namespace pomelohub
