#include "backend_identity.h"

#include <algorithm>

namespace pomelohub {

namespace {

    /** Each start numbers its heartbeats from 1, so a first heartbeat is from a new start even if the wall
     * clock says otherwise. */
    constexpr std::uint64_t firstSequence = 1;

} // namespace

bool backend_identity::isSameStart(const backend_heartbeat& heartbeat) const
{
    if (!m_current || m_current->id != heartbeat.id)
        return false;
    if (m_hasLeft && m_current->startedAt == wall_time {})
        return heartbeat.startedAt <= m_leftAt && heartbeat.sequence > firstSequence;
    return m_current->startedAt == heartbeat.startedAt;
}

bool backend_identity::isFormerStart(wall_time startedAt) const
{
    return startedAt < m_newestStart || startedAt == m_replacedStart;
}

heartbeat_effect backend_identity::applyHeartbeat(const backend_heartbeat& heartbeat, instant now)
{
    if (isFormerStart(heartbeat.startedAt)) {
        // Late heartbeats of a former start come while the newest one is heard. Otherwise the wall clock went
        // back.
        bool isSilent = m_heardAt && now - *m_heardAt > maxHeartbeatDelay;
        if (!isSilent || heartbeat.startedAt == wall_time {})
            return heartbeat_effect::stale;
        m_replacedStart = m_newestStart;
    }
    bool isSame = isSameStart(heartbeat);
    if (isSame && heartbeat.sequence <= m_current->sequence)
        return heartbeat_effect::stale;
    if (!isSame) {
        m_hasLeft = false;
        confirm();
        if (!m_hasKnownAny && heartbeat.sequence > firstSequence)
            m_unconfirmedSince = now;
    } else if (m_unconfirmedSince && now - *m_unconfirmedSince > maxHeartbeatDelay) {
        confirm(); // The heartbeat was sent after this process had started.
    }
    m_hasKnownAny = true;
    auto next = heartbeat;
    // Draining is final for a start; a heartbeat that says otherwise is overruled.
    if (isSame && m_current->isDraining)
        next.isDraining = true;
    m_current = next;
    m_heardAt = now;
    m_newestStart = heartbeat.startedAt;
    m_warmupEndsAt = now + heartbeat.warmupLeft;
    if (!isSame)
        m_answeredWarmupEnd = {};
    return isSame ? heartbeat_effect::accepted : heartbeat_effect::newStart;
}

bool backend_identity::deregister(const backend_server_id& id, wall_time startedAt, wall_time now)
{
    bool isStartKnown = startedAt != wall_time {};
    if (isStartKnown && isFormerStart(startedAt))
        return false;
    if (!isStartKnown && m_current && m_current->id != id)
        return false;
    if (!m_current || m_current->id != id) {
        m_current.emplace();
        m_current->id = id;
        m_current->startedAt = startedAt;
    }
    if (startedAt > m_newestStart)
        m_heardAt.reset();
    m_newestStart = std::max(m_newestStart, startedAt);
    m_hasKnownAny = true;
    m_hasLeft = true;
    m_leftAt = now;
    return true;
}

bool backend_identity::recordLeaving(const backend_server_id& id, wall_time startedAt)
{
    if (!m_current || m_current->id != id || m_current->startedAt != startedAt || isLeaving())
        return false;
    m_current->isDraining = true;
    return true;
}

void backend_identity::forget()
{
    m_current.reset();
    m_hasLeft = false;
}

} // namespace pomelohub
