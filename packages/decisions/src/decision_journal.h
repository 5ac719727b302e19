/** \file
 * Defines decision and decision_journal: what the fleet decided about a request or a backend server and why,
 * for the log and for the operator's explain command.
 */
#pragma once

#include "core_types.h"

#include <deque>
#include <vector>

namespace pomelohub {

/** One decision in the form of its log line. */
struct decision {
    wall_time at;
    std::string subject; ///< A request identifier or a backend server's name.
    std::string stage; ///< Which part decided, such as "rate" or "choose".
    std::string outcome;
    std::string reason;
};

/** Takes decisions as they are made. Thread safety: called from any thread. */
using decision_hook = std::function<void(decision)>;

/** The form of a decision in the log: key=value pairs with quoted values where needed. */
std::string toLogLine(const decision& made);

/** The latest decisions, a fixed number of them. Thread safety: one thread at a time. */
class decision_journal {
public:
    explicit decision_journal(std::size_t capacity);

    void add(decision made);

    /** The decisions about \p subject, oldest first. */
    std::vector<decision> about(const std::string& subject) const;

private:
    std::size_t m_capacity;
    std::deque<decision> m_decisions;
};

} // namespace pomelohub
