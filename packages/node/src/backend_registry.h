/** \file
 * Defines backend_registry, which builds the fleet_view that requests read from the announcements of the
 * members. A change of one member rebuilds only the services of its backend servers.
 */
#pragma once

#include "membership.h"

#include <set>

namespace pomelohub {

/** Thread safety: one thread at a time; view() from any thread. */
class backend_registry {
public:
    /** Replaces the backend servers of \p member by those that it announces now. A member that is not live
     * has none. */
    void update(const member_record& member);

    /** Publishes a view with the services that changed since the last call. */
    void publish();

    const rcu_cell<fleet_view>& view() const { return m_view; }

    /** The backend servers of \p service, or null. */
    handle<const service_view> viewOf(const service_id& service) const;

    /** Calls \p visit for each service that had requests since the last call or within the maxIdleRounds
     * calls before it. */
    void forEachActive(const std::function<void(const service_id&, const service_view&)>& visit);

    /** Discards the statistics of backend servers that no member announces any more. */
    void trim();

    /** The backend server \p id, or null. The pointer is valid until the next update. */
    const backend_entry* find(const backend_server_id& id) const;

private:
    static constexpr int neverActive = 1'000'000;

    struct service_state {
        std::map<backend_server_id, backend_entry> backends;
        handle<service_activity> activity;
        int idleRounds = neverActive;
    };

    void removeAllOf(const node_id& node);
    handle<const service_view> makeView(const service_state& state) const;

    std::map<service_id, service_state> m_services;
    std::map<node_id, std::vector<announced_backend>> m_announced;
    std::map<backend_server_id, handle<backend_stats>> m_stats;
    std::set<service_id> m_changedServices;
    rcu_cell<fleet_view> m_view;
};

} // namespace pomelohub
