/** \file
 * Defines reachability, what one thread knows of which nodes answer, from the requests that it sends them
 * anyway.
 */
#pragma once

#include "core_types.h"

#include <optional>
#include <unordered_map>

namespace pomelohub {

struct reachability_policy {
    duration lostAfter = std::chrono::seconds(2); ///< Of failures without an answer in between.
    duration forgetAfter = std::chrono::seconds(3); ///< Without a further failure the node is tried again.
};

/** Thread safety: one thread at a time. */
class reachability {
public:
    explicit reachability(reachability_policy policy = {});

    void noteFailure(const std::string& endpoint, instant now);
    void noteAnswer(const std::string& endpoint);

    /** Whether nothing has reached the node for long enough that another one may stand in for it. */
    bool isLost(const std::string& endpoint, instant now) const;
    std::size_t lostCount(instant now) const;

private:
    struct failing {
        instant since {};
        instant last {};
    };

    bool isLost(const failing& entry, instant now) const;

    reachability_policy m_policy;
    std::unordered_map<std::string, failing> m_failing;
};

} // namespace pomelohub
