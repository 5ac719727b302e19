/** \file
 * Defines admission_gate, which limits the requests that a backend server runs at once. It starts low for a
 * cold one, grows with good answers, and falls back when a warm one turns cold without warning.
 */
#pragma once

#include "fleet_view.h"

namespace pomelohub {

/** How one request at a backend server ended. */
struct service_sample {
    bool failed = false; ///< Shed, an error of the server, or no answer.
    duration latency {};
};

struct gate_policy {
    /** Good answers that raise the limit by one, for each slot of the present limit. */
    std::uint32_t answersPerStep = 4;
    /** An answer this many times slower than usual counts as bad. */
    double slowFactor = 4;
    /** Latency below which no answer counts as slow. */
    duration slowFloor = std::chrono::milliseconds(10);
    /** Bad answers in a row that send the gate back to the start. */
    std::uint32_t badAnswersToReset = 3;
    /** Limit to start from, given the slots; replaced to measure other policies. */
    std::function<std::uint32_t(std::uint32_t slots)> startLimit = [](std::uint32_t) { return 1U; };
};

/** Thread safety: one thread at a time. */
class admission_gate {
public:
    admission_gate(std::uint32_t slots, gate_policy policy);

    /** The backend server said that it is cold or warm; a restart is told as cold. */
    void setCondition(backend_condition condition);

    /** Takes a place if one is free. */
    bool tryAcquire();

    /** Gives the place back. Precondition: tryAcquire() gave it. */
    void release(const service_sample& sample);

    /** Gives the place back when nothing was sent to the backend server. */
    void releaseUnused();

    std::uint32_t limit() const { return m_limit; }
    std::uint32_t inUse() const { return m_inUse; }
    std::uint32_t slots() const { return m_slots; }
    bool isRamping() const { return m_limit < m_slots; }

private:
    bool isBad(const service_sample& sample) const;
    void noteGood(duration latency);
    void restart();

    std::uint32_t m_slots;
    gate_policy m_policy;
    backend_condition m_condition = backend_condition::cold;
    std::uint32_t m_limit = 1;
    std::uint32_t m_inUse = 0;
    std::uint32_t m_goodAnswers = 0;
    std::uint32_t m_badAnswers = 0;
    duration m_usual { 0 };
};

} // namespace pomelohub
