#include "stuck_threshold.h"

#include <algorithm>

namespace pomelohub {

stuck_threshold::stuck_threshold(stuck_threshold_policy policy)
    : m_policy(policy)
{
}

void stuck_threshold::record(bool isNested, duration responseTime)
{
    auto& mean = m_means.at(isNested ? 1 : 0);
    mean = mean == duration::zero()
        ? responseTime
        : scaled(mean, m_policy.previousWeight) + scaled(responseTime, 1 - m_policy.previousWeight);
}

duration stuck_threshold::age(bool isNested) const
{
    auto mean = m_means.at(isNested ? 1 : 0);
    if (mean == duration::zero())
        return m_policy.initialAge;
    return std::max(m_policy.minAge, scaled(mean, m_policy.meanFactor));
}

} // namespace pomelohub
