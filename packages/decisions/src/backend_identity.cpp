#include "backend_identity.h"

#include <algorithm>

namespace pomelohub {

heartbeat_effect backend_identity::take(const backend_heartbeat& heartbeat, instant now)
{
    if (heartbeat.startedAt < m_newestStart)
        return heartbeat_effect::stale;
    bool isSameStart
        = m_current && m_current->id == heartbeat.id && m_current->startedAt == heartbeat.startedAt;
    if (isSameStart && heartbeat.sequence <= m_current->sequence)
        return heartbeat_effect::stale;
    if (!isSameStart)
        m_hasLeft = false;
    auto next = heartbeat;
    // A backend server that began to drain never takes that back in the same start.
    if (isSameStart && m_current->isDraining)
        next.isDraining = true;
    m_current = next;
    m_newestStart = heartbeat.startedAt;
    m_coldUntil = now + heartbeat.coldFor;
    return isSameStart ? heartbeat_effect::accepted : heartbeat_effect::newStart;
}

bool backend_identity::leave(const backend_server_id& id, wall_time startedAt)
{
    bool isStartKnown = startedAt != wall_time {};
    if (isStartKnown && startedAt < m_newestStart)
        return false;
    if (!isStartKnown && m_current && m_current->id != id)
        return false;
    if (!m_current || m_current->id != id) {
        m_current.emplace();
        m_current->id = id;
        m_current->startedAt = startedAt;
    }
    m_newestStart = std::max(m_newestStart, startedAt);
    m_hasLeft = true;
    return true;
}

void backend_identity::forget()
{
    m_current.reset();
    m_hasLeft = false;
}

} // namespace pomelohub
