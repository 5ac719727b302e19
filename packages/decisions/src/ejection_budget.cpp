#include "ejection_budget.h"

#include "hashing.h"

#include <algorithm>

namespace pomelohub {

std::uint64_t ejectionHashOf(const service_id& service) { return stableHash("ejection/" + service.text()); }

ejection_budget::ejection_budget(ejection_policy policy)
    : m_policy(policy)
{
}

std::uint32_t ejection_budget::allowance(const service_capacity& capacity) const
{
    auto aboveFloor = capacity.backendServers - std::min(capacity.backendServers, capacity.floor);
    return std::min(aboveFloor, capacity.backendServers * m_policy.largestShare / 100);
}

void ejection_budget::note(complaints& known, const ejection_request& request, instant now) const
{
    for (const auto& suspect : request.suspects)
        known[suspect].witnesses[request.witness] = now;
    for (auto& [backend, complaint] : known) {
        std::erase_if(complaint.witnesses,
            [&](const auto& witness) { return now - witness.second > m_policy.complaintLifetime; });
    }
    std::erase_if(known, [&](const auto& entry) {
        return entry.second.witnesses.empty() && entry.second.permittedUntil <= now;
    });
}

bool ejection_budget::isProven(const complaint& complaint, const service_capacity& capacity) const
{
    auto needed = std::max(1U, std::min(m_policy.witnesses, capacity.entryNodes));
    return complaint.witnesses.size() >= needed;
}

ejection_permit ejection_budget::request(
    const ejection_request& request, const service_capacity& capacity, instant now)
{
    auto& known = m_services[request.service];
    note(known, request, now);
    auto isOut = [&](const auto& entry) { return entry.second.permittedUntil > now; };
    auto out = static_cast<std::uint32_t>(std::count_if(known.begin(), known.end(), isOut));
    auto allowed = allowance(capacity);
    ejection_permit permit;
    permit.lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(m_policy.permitLifetime);
    for (auto& [backend, complaint] : known) {
        bool wasOut = complaint.permittedUntil > now;
        // A raised floor stops renewals, so that the permits above it lapse.
        if (isProven(complaint, capacity) && (wasOut ? out <= allowed : out < allowed)) {
            out += wasOut ? 0 : 1;
            complaint.permittedUntil = now + m_policy.permitLifetime;
        }
        if (complaint.permittedUntil <= now)
            continue;
        permit.ejected.push_back(backend);
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(complaint.permittedUntil - now);
        permit.lifetime = std::min(permit.lifetime, left);
    }
    return permit;
}

} // namespace pomelohub
