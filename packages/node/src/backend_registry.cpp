#include "backend_registry.h"

#include <algorithm>

namespace pomelohub {

/** Number of rounds without requests after which a service is no longer evaluated. By then its windows are
 * empty. */
static constexpr int maxIdleRounds = 40;

void backend_registry::removeAllOf(const node_id& node)
{
    auto found = m_announced.find(node);
    if (found == m_announced.end())
        return;
    for (const auto& backend : found->second) {
        m_services[backend.service].backends.erase(backend.id);
        m_changedServices.insert(backend.service);
    }
    m_announced.erase(found);
}

void backend_registry::update(const member_record& member)
{
    bool isLive = isActive(member.status);
    auto found = m_announced.find(member.life.node);
    if (isLive && found != m_announced.end() && found->second == member.backends)
        return;
    removeAllOf(member.life.node);
    if (!isLive)
        return;
    for (const auto& backend : member.backends) {
        auto& stats = m_stats[backend.id];
        if (!stats)
            stats = new backend_stats;
        m_services[backend.service].backends[backend.id] = { backend.id, backend.service, member.life.node,
            member.dataCentre, backend.slots, backend.condition, stats };
        m_changedServices.insert(backend.service);
    }
    m_announced[member.life.node] = member.backends;
}

handle<const service_view> backend_registry::makeView(const service_state& state) const
{
    handle<service_view> view(new service_view);
    for (const auto& [id, entry] : state.backends)
        view->backends.push_back(entry);
    view->activity = state.activity;
    return view;
}

void backend_registry::publish()
{
    if (m_changedServices.empty())
        return;
    auto current = m_view.load();
    handle<fleet_view> next(current ? new fleet_view(*current) : new fleet_view);
    for (const auto& service : m_changedServices) {
        auto& state = m_services[service];
        if (!state.activity)
            state.activity = new service_activity;
        next->services[service] = makeView(state);
    }
    m_changedServices.clear();
    m_view.publish(next);
}

handle<const service_view> backend_registry::viewOf(const service_id& service) const
{
    return m_view.read([&](const fleet_view* view) -> handle<const service_view> {
        if (!view)
            return nullptr;
        auto found = view->services.find(service);
        return found == view->services.end() ? nullptr : found->second;
    });
}

void backend_registry::forEachActive(const std::function<void(const service_id&, const service_view&)>& visit)
{
    auto view = m_view.load();
    if (!view)
        return;
    for (auto& [service, state] : m_services) {
        if (!state.activity)
            continue;
        state.idleRounds
            = state.activity->hasRequests.exchange(false) ? 0 : std::min(state.idleRounds + 1, neverActive);
        if (state.idleRounds > maxIdleRounds)
            continue;
        auto found = view->services.find(service);
        if (found != view->services.end())
            visit(service, *found->second);
    }
}

void backend_registry::trim()
{
    std::erase_if(m_stats, [](const auto& entry) { return entry.second->use_count() == 1; });
}

const backend_entry* backend_registry::find(const backend_server_id& id) const
{
    for (const auto& [service, state] : m_services) {
        auto found = state.backends.find(id);
        if (found != state.backends.end())
            return &found->second;
    }
    return nullptr;
}

} // namespace pomelohub
