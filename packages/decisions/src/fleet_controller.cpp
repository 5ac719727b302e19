#include "fleet_controller.h"

#include "hashing.h"

#include <algorithm>

namespace pomelohub {

namespace {

    /** What a node knows of the log whose own state is \p own, at the position of \p other, which is not
     * lower. */
    followed_log followedAt(const operator_state& own, const operator_state& other)
    {
        if (own.position == log_position {})
            return other.followed;
        if (own.position.era != other.position.era)
            return { own.followed.start, own.position, other.followed.lowestEnd, other.followed.start };
        auto followed = own.followed;
        followed.lowestEnd = std::min(followed.lowestEnd, other.followed.lowestEnd);
        bool isContinued = other.followed.start <= own.position.offset;
        followed.start = isContinued ? std::min(followed.start, other.followed.start) : other.followed.start;
        return followed;
    }

    /** Adds what another node in the same era knows of the former one to \p followed. */
    void joinFormer(followed_log& followed, const followed_log& other)
    {
        bool isAdjacent = other.formerEnd.era == followed.formerEnd.era
            && other.formerStart <= followed.formerEnd.offset
            && followed.formerStart <= other.formerEnd.offset;
        if (isAdjacent) {
            followed.formerStart = std::min(followed.formerStart, other.formerStart);
            followed.formerEnd = std::max(followed.formerEnd, other.formerEnd);
        } else if (other.formerEnd > followed.formerEnd) {
            followed.formerStart = other.formerStart;
            followed.formerEnd = other.formerEnd;
        }
    }

} // namespace

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

bool fleet_controller::applySnapshot(const operator_snapshot& snapshot, snapshot_authority authority)
{
    if (snapshot.end < m_operators.position)
        return false;
    bool isChanged = !snapshot.document.empty() && applyDocument(snapshot.document);
    bool isContinued = snapshot.end == m_operators.position;
    advanceTo(snapshot.end);
    if (!isContinued)
        m_operators.followed.start = snapshot.end.offset;
    auto& evacuations = m_operators.evacuations;
    bool hasChangedEvacuations = authority == snapshot_authority::decides
        ? evacuations.settle(snapshot.evacuated, snapshot.end)
        : evacuations.applyState(snapshot.evacuated, snapshot.end, m_operators.followed);
    return publishIf(isChanged || hasChangedEvacuations);
}

bool fleet_controller::applyChanges(const std::vector<operator_change>& changes, log_position position)
{
    bool isChanged = false;
    // Each document replaces the ones before it, so only the last valid one is needed.
    for (auto each = changes.rbegin(); each != changes.rend() && !isChanged; ++each)
        isChanged = each->document && applyDocument(*each->document);
    for (const auto& change : changes) {
        if (change.dataCentre)
            isChanged = m_operators.evacuations.applyRecord(
                            *change.dataCentre, change.isEvacuated, { position.era, change.offset })
                || isChanged;
    }
    advanceTo(std::max(m_operators.position, position));
    return publishIf(isChanged);
}

bool fleet_controller::mergeState(const operator_state& state)
{
    if (state.position < m_operators.position)
        return false;
    bool isChanged = !state.document.empty() && applyDocument(state.document);
    m_operators.followed = followedAt(m_operators, state);
    m_operators.position = state.position;
    // What each of the two nodes knows of the log may tell the era of a record that the other one cannot
    // place.
    auto& evacuations = m_operators.evacuations;
    isChanged = evacuations.merge(state.evacuations, state.position, m_operators.followed) || isChanged;
    joinFormer(m_operators.followed, state.followed);
    isChanged = evacuations.merge(state.evacuations, state.position, m_operators.followed) || isChanged;
    return publishIf(isChanged);
}

operator_summary fleet_controller::summary() const
{
    return { m_operators.position, version(), m_operators.evacuations.fingerprint() };
}

bool fleet_controller::isBehind(const operator_summary& other) const
{
    if (other.position != m_operators.position)
        return other.position > m_operators.position;
    // The position does not tell what is kept from an earlier era.
    return other.version > version() || other.evacuations != m_operators.evacuations.fingerprint();
}

void fleet_controller::advanceTo(log_position position)
{
    bool isFirst = m_operators.position == log_position {};
    if (isFirst || position.era != m_operators.position.era)
        m_operators.followed
            = { m_operators.followed.start, m_operators.position, position.offset, position.offset };
    m_operators.position = position;
}

bool fleet_controller::publishIf(bool isChanged)
{
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
    next->evacuated = m_operators.evacuations.evacuated();
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
