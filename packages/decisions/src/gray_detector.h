/** \file
 * Defines gray_detector, by which an entry node judges backend servers from what its own requests met, each
 * against the others of its service, and takes weight from those that serve badly.
 */
#pragma once

#include "fleet_view.h"

#include <deque>

namespace pomelohub {

/** What one backend server did in a span of time. */
struct backend_window {
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
    std::chrono::microseconds latencySum { 0 };
    std::uint32_t stuck = 0; ///< Requests in flight while no answer came at all.
};

/** Judges one window against the sum of the others of its service; replaced to measure other policies. */
using gray_judgement_hook = std::function<bool(const backend_window& own, const backend_window& others)>;

struct gray_policy {
    std::uint32_t windowTicks = 4; ///< Ticks that make up a window.
    std::uint32_t minimumAnswers = 3; ///< Fewer answers in a window prove nothing.
    std::uint32_t minimumFailures = 2; ///< One failure may be chance.
    double failureShare = 0.3; ///< Failed share that is bad, unless the others fail as much.
    double slowFactor = 3; ///< How many times slower than the others is bad, over many answers.
    double scarceAnswers = 2; ///< Raises slowFactor by this over the number of answers, when they are few.
    std::chrono::microseconds slowMargin { 20'000 }; ///< And by how much at least.
    std::uint32_t badTicksToSuspect = 2;
    std::uint32_t goodTicksToClear = 20; ///< Longer than badTicksToSuspect, against flapping.
    std::uint32_t suspectWeight = 50; ///< In thousandths; what is left serves to see recovery.
    gray_judgement_hook judge; ///< Replaces the rule above where set.
};

/** Thread safety: one thread at a time; backend_stats are shared with requests. */
class gray_detector {
public:
    explicit gray_detector(gray_policy policy);

    /** Closes the present tick for \p view and sets the weight of each backend server. Call it at a steady
     * interval. \return the backend servers of the service that are suspect. */
    std::vector<backend_server_id> tick(const service_view& view);

    /** Forgets backend servers of whose statistics at most \p otherHolders others hold a count. */
    void trim(unsigned otherHolders);

private:
    struct history {
        handle<backend_stats> stats;
        std::uint64_t answers = 0;
        std::uint64_t failures = 0;
        std::uint64_t latencySum = 0;
        std::deque<backend_window> ticks;
        std::uint32_t badTicks = 0;
        std::uint32_t goodTicks = 0;
        bool suspect = false;
    };

    backend_window closeTick(history& past, const backend_stats& stats) const;
    bool isBad(const backend_window& own, const backend_window& others) const;
    void noteTick(history& past, bool bad) const;

    gray_policy m_policy;
    std::unordered_map<const backend_stats*, history> m_histories;
};

} // namespace pomelohub
