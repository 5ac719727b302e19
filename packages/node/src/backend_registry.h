/** \file
 * Defines backend_registry, which folds what members announce into the fleet_view that requests read. A
 * change of one member rebuilds the services of its backend servers only.
 */
#pragma once

#include "membership.h"

#include <set>

namespace pomelohub {

/** Thread safety: one thread at a time; view() from any thread. */
class backend_registry {
public:
    /** Takes in the backend servers that \p member announces now; those of one that is not live are left out.
     */
    void update(const member_record& member);

    /** Publishes the services that changed since the last call. */
    void publish();

    const rcu_cell<fleet_view>& view() const { return m_view; }

    /** The backend servers of \p service, or null. */
    handle<const service_view> viewOf(const service_id& service) const;

    /** Calls \p use for each service that had requests since the last call. */
    void forEachActive(const std::function<void(const service_id&, const service_view&)>& use);

    /** Forgets the statistics of backend servers that nobody announces any more. */
    void trim();

    /** The backend server called \p id, or null. Valid until the next update. */
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
    std::set<service_id> m_dirty;
    rcu_cell<fleet_view> m_view;
};

} // namespace pomelohub
