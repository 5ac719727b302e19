/** \file
 * Defines decision and decision_history, which record what a node decided about a request or a backend server
 * and why, for the log and for the operators' explain command.
 */
#pragma once

#include "core_types.h"

#include <deque>
#include <vector>

namespace pomelohub {

/** One decision, with the fields of its log line. */
struct decision {
    wall_time at;
    std::string subject; ///< A request identifier or a backend server's name.
    std::string stage; ///< The component that decided, such as "rate" or "choose".
    std::string outcome;
    std::string reason;
};

/** Receives each decision when it is made. Thread safety: called from any thread. */
using decision_hook = std::function<void(decision)>;

/** Formats \p entry as a log line of key=value pairs. Values are quoted where needed. */
std::string toLogLine(const decision& entry);

/** Keeps the most recent decisions, up to a fixed number. Thread safety: one thread at a time. */
class decision_history {
public:
    explicit decision_history(std::size_t capacity);

    void add(decision entry);

    /** Returns the decisions about \p subject, oldest first. */
    std::vector<decision> findBySubject(const std::string& subject) const;

private:
    std::size_t m_capacity;
    std::deque<decision> m_decisions;
};

} // namespace pomelohub
