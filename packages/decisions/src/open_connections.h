/** \file
 * Defines open_connections, which decides which connection of a caller is ended when the connections or the
 * memory of the process are used up. It answers crowds of callers that open connections, send a part of a
 * request and stay: without it they keep all others out until their requests time out.
 */
#pragma once

#include "core_types.h"

#include <boost/intrusive/list.hpp>

#include <functional>

namespace pomelohub {

/** A connection of a caller. It leaves its list when it is destroyed. Thread safety: that of its list. */
class open_connection
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
    std::function<void()> end; ///< Close the connection.

private:
    friend class open_connections;

    instant m_progressAt {};
};

/** What a connection waits for. */
enum class connection_wait {
    restOfRequest, ///< The caller has sent a part of a request or nothing yet.
    memory, ///< The rest of a request is not read while the memory of the process is short.
    nextRequest, ///< All requests have been answered.
};

struct open_connections_policy {
    /** A connection that made progress within this time is not ended: callers send a request in one go, and a
     * lost packet is sent again within it. */
    duration minStall = std::chrono::seconds(1);
};

/** The connections that wait for their callers. Thread safety: one thread at a time. */
class open_connections {
public:
    explicit open_connections(open_connections_policy policy = {})
        : m_policy(policy)
    {
    }
    open_connections(const open_connections&) = delete;
    open_connections& operator=(const open_connections&) = delete;

    /** Records why \p connection, which has made progress at \p now, waits. */
    void recordWaiting(open_connection& connection, connection_wait wait, instant now);

    /** Records that \p connection does not wait for its caller: a request is served, or its response sent. */
    void recordBusy(open_connection& connection) { connection.unlink(); }

    /** Ends the connection that has made no progress for the longest time, to make room for another one: one
     * with a part of a request, else one whose request is held back, else an idle one. \return whether there
     * was one. */
    bool endForConnection(instant now);

    /** As endForConnection(), to release memory. Connections whose requests are held back are left out: their
     * callers wait for this process. */
    bool endForMemory(instant now);

private:
    using connection_list
        = boost::intrusive::list<open_connection, boost::intrusive::constant_time_size<false>>;

    bool endFirst(connection_list& connections, instant now);

    open_connections_policy m_policy;
    connection_list m_incomplete; ///< Least recent progress first, as the others.
    connection_list m_heldBack;
    connection_list m_idle;
};

} // namespace pomelohub
