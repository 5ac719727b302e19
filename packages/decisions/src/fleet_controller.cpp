#include "fleet_controller.h"

#include "hashing.h"

#include <algorithm>

namespace pomelohub {

fleet_controller::fleet_controller(hooks hooks)
    : m_hooks(std::move(hooks))
{
}

bool fleet_controller::applyDocument(const std::string& document)
{
    if (document == m_operators.document)
        return false;
    auto table = m_hooks.decode(document);
    if (!table) {
        m_hooks.onDocumentRejected(table.error());
        return false;
    }
    // Versions only increase; an older one comes from a delayed or unrelated record.
    if (m_routes && (*table)->version <= m_routes->version) {
        m_hooks.onDocumentRejected("version " + std::to_string((*table)->version) + " is not newer than "
            + std::to_string(m_routes->version));
        return false;
    }
    if (m_routes)
        (*table)->inheritRequestCounts(*m_routes);
    m_routes = *table;
    m_operators.document = document;
    m_history.add(document);
    return true;
}

bool fleet_controller::applyState(const operator_state& state)
{
    if (state.position < m_operators.position)
        return false;
    bool isChanged = !state.document.empty() && applyDocument(state.document);
    if (state.evacuated != m_operators.evacuated) {
        m_operators.evacuated = state.evacuated;
        isChanged = true;
    }
    m_operators.position = state.position;
    if (isChanged)
        publish();
    return isChanged;
}

bool fleet_controller::applyChanges(const std::vector<operator_change>& changes, std::uint64_t position)
{
    bool isChanged = false;
    // Each document replaces the ones before it, so only the last valid one is needed.
    for (auto each = changes.rbegin(); each != changes.rend() && !isChanged; ++each)
        isChanged = each->document && applyDocument(*each->document);
    for (const auto& change : changes) {
        if (!change.dataCentre)
            continue;
        if (change.isEvacuated)
            isChanged = m_operators.evacuated.insert(*change.dataCentre).second || isChanged;
        else
            isChanged = m_operators.evacuated.erase(*change.dataCentre) > 0 || isChanged;
    }
    m_operators.position = std::max(m_operators.position, position);
    if (isChanged)
        publish();
    return isChanged;
}

bool fleet_controller::mergeAnnouncements(const std::vector<instance_announcement>& updates)
{
    bool isChanged = recordAnnouncements(updates);
    publishAnnouncements();
    return isChanged;
}

bool fleet_controller::recordAnnouncements(const std::vector<instance_announcement>& updates)
{
    bool isChanged = false;
    for (const auto& update : updates)
        isChanged = m_announcements.merge(update) || isChanged;
    m_isPublicationDue = m_isPublicationDue || isChanged;
    return isChanged;
}

void fleet_controller::publishAnnouncements()
{
    if (m_isPublicationDue)
        publish();
}

handle<peer_state> fleet_controller::peerStateOf(const instance_announcement& announcement)
{
    auto& known = m_peers[announcement.node];
    if (!known || known->announcement != announcement)
        known = handle<peer_state>(new peer_state(announcement));
    return known;
}

void fleet_controller::publish()
{
    m_isPublicationDue = false;
    handle<fleet_snapshot> next(new fleet_snapshot);
    next->routes = m_routes;
    next->evacuated = m_operators.evacuated;
    auto activeAnnouncements = m_announcements.active();
    for (const auto& announcement : activeAnnouncements) {
        next->nodes.push_back({ announcement.node, announcement.endpoint });
        next->services[announcement.service].push_back(peerStateOf(announcement));
    }
    for (auto& [service, peers] : next->services) {
        std::sort(peers.begin(), peers.end(), [](const auto& left, const auto& right) {
            return stableHash(left->announcement.node.text()) < stableHash(right->announcement.node.text());
        });
    }
    std::erase_if(m_peers, [&](const auto& entry) {
        const auto* known = m_announcements.find(entry.first);
        return !known || known->hasLeft;
    });
    m_snapshot.publish(next);
    m_hooks.onPublished();
}

} // namespace pomelohub
