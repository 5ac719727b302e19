/** \file
 * Defines peer_service, which handles the requests that other nodes send over peer streams: requests for
 * backend servers of this instance, keyed actions, and control requests.
 */
#pragma once

#include "action_authority.h"
#include "backend_host.h"
#include "node_metrics.h"

namespace pomelohub {

/** Thread safety: any thread. Never blocks. */
class peer_service : public ref_counted<peer_service> {
public:
    peer_service(handle<backend_host> host, handle<action_authority> authority, handle<control_plane> control,
        node_metrics& metrics);

    /** Responds to \p incoming, which was sent by the node \p peer, or refuses it. */
    void submit(const handle<exchange>& incoming, const node_id& peer);

private:
    void handleControlRequest(const handle<exchange>& incoming, const node_id& peer, const std::string& body);
    void handleRateRequest(const handle<exchange>& incoming, const node_id& peer, const std::string& body);
    void handleEjectionRequest(const handle<exchange>& incoming, const std::string& body);
    void handleRecordsRequest(const handle<exchange>& incoming);
    void rejectMessage(const handle<exchange>& incoming);

    handle<backend_host> m_host;
    handle<action_authority> m_authority;
    handle<control_plane> m_control;
    node_metrics& m_metrics;
};

} // namespace pomelohub
