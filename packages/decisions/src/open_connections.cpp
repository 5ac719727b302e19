#include "open_connections.h"

namespace pomelohub {

void open_connections::recordWaiting(open_connection& connection, connection_wait wait, instant now)
{
    connection.unlink();
    connection.m_progressAt = now;
    auto& list = wait == connection_wait::restOfRequest ? m_incomplete
        : wait == connection_wait::memory               ? m_heldBack
                                                        : m_idle;
    list.push_back(connection);
}

bool open_connections::endForConnection(instant now)
{
    return endFirst(m_incomplete, now) || endFirst(m_heldBack, now) || endFirst(m_idle, now);
}

bool open_connections::endForMemory(instant now)
{
    return endFirst(m_incomplete, now) || endFirst(m_idle, now);
}

bool open_connections::endFirst(connection_list& connections, instant now)
{
    if (connections.empty() || now - connections.front().m_progressAt < m_policy.minStall)
        return false;
    auto& oldest = connections.front();
    oldest.unlink();
    auto end = oldest.end;
    end();
    return true;
}

} // namespace pomelohub
