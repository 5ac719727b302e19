#include "backend_judge.h"

namespace pomelohub {

static constexpr duration minRequestInterval = std::chrono::milliseconds(500);

backend_judge::backend_judge(
    node_id self, gray_failure_policy policy, backend_registry& registry, decision_hook onDecision)
    : m_self(std::move(self))
    , m_detector(std::move(policy))
    , m_registry(registry)
    , m_onDecision(std::move(onDecision))
{
}

std::vector<ejection_request> backend_judge::tick(const present& now)
{
    recordExpiredPermits(now);
    std::vector<ejection_request> requests;
    m_registry.forEachActive([&](const service_id& service, const service_view& view) {
        auto suspects = m_detector.tick(view);
        auto& nextRequestAt = m_nextRequestAt[service];
        if (suspects.empty() || now.monotonic < nextRequestAt)
            return;
        nextRequestAt = now.monotonic + minRequestInterval;
        for (const auto& suspect : suspects)
            m_onDecision(
                { now.wall, suspect.text(), "gray", "suspect", "worse than its peers in " + service.text() });
        requests.push_back({ service, m_self, std::move(suspects) });
    });
    return requests;
}

void backend_judge::recordExpiredPermits(const present& now)
{
    std::erase_if(m_ejected, [&](const backend_server_id& backend) {
        const auto* entry = m_registry.find(backend);
        if (entry && entry->stats->ejectedUntil.load() > now.monotonic)
            return false;
        m_onDecision({ now.wall, backend.text(), "ejection", "returned", "the permit lapsed" });
        return true;
    });
}

void backend_judge::applyPermit(const ejection_permit& permit, instant requestedAt, const present& now)
{
    for (const auto& backend : permit.ejected) {
        const auto* entry = m_registry.find(backend);
        if (!entry)
            continue;
        entry->stats->ejectedUntil = requestedAt + permit.lifetime;
        if (m_ejected.insert(backend).second)
            m_onDecision({ now.wall, backend.text(), "ejection", "ejected", "permit of the authority" });
    }
}

void backend_judge::trim()
{
    // For a backend server that is gone, the registry holds the only other reference to the statistics.
    m_detector.trim(1);
    m_registry.trim();
}

} // namespace pomelohub
