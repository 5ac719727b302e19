/** \file
 * Defines retry_policy and retry_budget, which decide whether an entry node may retry a request at another
 * backend server and limit the number of retries.
 */
#pragma once

#include "request_error.h"

#include <atomic>

namespace pomelohub {

/** Limits retries to a share of the requests, so that retries cannot amplify an overload. Thread safety: any
 * thread. */
class retry_budget {
public:
    /** \param retryPercent retries allowed for each hundred requests. \param reserve retries that are allowed
     * at the start, which is also the maximum that accumulates. */
    retry_budget(std::int64_t retryPercent, std::int64_t reserve);

    /** Records the first attempt of a request, which adds to the budget. */
    void recordRequest();

    /** Takes one retry from the budget. \return false when none is left. */
    bool tryAcquire();

private:
    std::int64_t m_retryPercent;
    std::int64_t m_maxBalance;
    std::atomic<std::int64_t> m_balance; ///< In hundredths of a retry, as is m_maxBalance.
};

struct retry_policy {
    std::uint32_t maxAttempts = 3;
    std::uint32_t maxAttemptsAfterCrash = 2; ///< If the backend server crashed while it ran the request.
};

/** The state of a request after an attempt has failed. */
struct failed_attempt {
    request_error outcome;
    std::uint32_t attempts = 1; ///< Attempts so far, the failed one included.
    bool isIdempotent = false;
    bool isBodyReplayable = false; ///< The whole body of the request can be sent again.
    instant deadline {};
};

/** Whether the request may be retried at \p now, not considering the budget. A request that may have run is
 * retried only if it is idempotent. */
bool mayRetry(const failed_attempt& attempt, const retry_policy& policy, instant now);

} // namespace pomelohub
