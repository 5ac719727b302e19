#include "retry_policy.h"

#include <algorithm>

namespace pomelohub {

static constexpr std::int64_t retryCost = 100;

retry_budget::retry_budget(std::int64_t retryPercent, std::int64_t reserve)
    : m_retryPercent(retryPercent)
    , m_maxBalance(reserve * retryCost)
    , m_balance(m_maxBalance)
{
}

void retry_budget::recordRequest()
{
    if (m_balance.fetch_add(m_retryPercent) + m_retryPercent > m_maxBalance)
        m_balance.store(m_maxBalance);
}

bool retry_budget::tryAcquire()
{
    auto balance = m_balance.load();
    while (balance >= retryCost) {
        if (m_balance.compare_exchange_weak(balance, balance - retryCost))
            return true;
    }
    return false;
}

static bool isFinalReason(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::backendServerDraining:
    case refusal_reason::backendServerBusy:
    case refusal_reason::backendServerShed:
    case refusal_reason::backendServerFailed:
    case refusal_reason::dataCentreOutOfService:
    case refusal_reason::nodeLeaving:
    case refusal_reason::nodeStarting:
    case refusal_reason::pathFailed:
    case refusal_reason::noBackendServer:
        return false;
    default:
        return true;
    }
}

bool mayRetry(const failed_attempt& attempt, const retry_policy& policy, instant now)
{
    if (attempt.attempts >= policy.maxAttempts || now >= attempt.deadline || !attempt.isBodyReplayable)
        return false;
    if (isFinalReason(attempt.outcome.reason))
        return false;
    bool isCrash = attempt.outcome.reason == refusal_reason::backendServerFailed
        && attempt.outcome.outcome == execution::mayHaveRun;
    if (isCrash && attempt.attempts >= policy.maxAttemptsAfterCrash)
        return false;
    return attempt.outcome.outcome == execution::notRun || attempt.isIdempotent;
}

} // namespace pomelohub
