#include "ejection_budget.h"

#include "hashing.h"

#include <algorithm>

namespace pomelohub {

std::uint64_t ejectionHashOf(const service_id& service) { return stableHash("ejection/" + service.text()); }

ejection_budget::ejection_budget(ejection_policy policy)
    : m_policy(policy)
{
}

std::uint32_t ejection_budget::maxEjections(const service_capacity& capacity) const
{
    auto aboveFloor = capacity.backendServers - std::min(capacity.backendServers, capacity.minInUse);
    return std::min(aboveFloor, capacity.backendServers * m_policy.maxEjectionPercent / 100);
}

void ejection_budget::recordReports(suspect_map& suspects, const ejection_request& request, instant now) const
{
    for (const auto& suspect : request.suspects)
        suspects[suspect].reporters[request.reporter] = now;
    for (auto& [backend, suspect] : suspects) {
        std::erase_if(suspect.reporters,
            [&](const auto& reporter) { return now - reporter.second > m_policy.reportLifetime; });
    }
    std::erase_if(suspects, [&](const auto& entry) {
        return entry.second.reporters.empty() && entry.second.ejectedUntil <= now;
    });
}

bool ejection_budget::hasEnoughReporters(const suspect_state& suspect, const service_capacity& capacity) const
{
    auto requiredReporters = std::max(1U, std::min(m_policy.minReporters, capacity.entryNodes));
    return suspect.reporters.size() >= requiredReporters;
}

ejection_permit ejection_budget::request(
    const ejection_request& request, const service_capacity& capacity, instant now)
{
    auto& suspects = m_services[request.service];
    recordReports(suspects, request, now);
    auto isEjected = [&](const auto& entry) { return entry.second.ejectedUntil > now; };
    auto ejectedCount
        = static_cast<std::uint32_t>(std::count_if(suspects.begin(), suspects.end(), isEjected));
    auto ejectionLimit = maxEjections(capacity);
    ejection_permit permit;
    permit.lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(m_policy.permitLifetime);
    for (auto& [backend, suspect] : suspects) {
        bool isRenewal = suspect.ejectedUntil > now;
        // When the floor is raised, permits beyond the new limit are not renewed and expire.
        if (hasEnoughReporters(suspect, capacity)
            && (isRenewal ? ejectedCount <= ejectionLimit : ejectedCount < ejectionLimit)) {
            ejectedCount += isRenewal ? 0 : 1;
            suspect.ejectedUntil = now + m_policy.permitLifetime;
        }
        if (suspect.ejectedUntil <= now)
            continue;
        permit.ejected.push_back(backend);
        auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(suspect.ejectedUntil - now);
        permit.lifetime = std::min(permit.lifetime, remaining);
    }
    return permit;
}

} // namespace pomelohub
