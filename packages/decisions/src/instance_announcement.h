/** \file
 * Defines instance_announcement, what a node makes known of itself to the others, and announcement_table, the
 * newest announcement of each node that any source brought.
 */
#pragma once

#include "core_types.h"

#include <map>
#include <vector>

namespace pomelohub {

/** One node with the service of the backend server beside it. The highest (life, revision) prevails. */
struct instance_announcement {
    node_id node;
    incarnation life = 0;
    std::uint64_t revision = 0; ///< Raised by the node itself at each change in one life.
    std::string endpoint; ///< Address and port for requests from other nodes.
    data_centre_id dataCentre;
    service_id service;
    bool hasLeft = false; ///< The node has stopped for good; kept so that older news cannot revive it.
    bool operator==(const instance_announcement&) const = default;
};

/** Thread safety: one thread at a time. */
class announcement_table {
public:
    /** Takes in \p news unless a newer announcement of that node is known. An address belongs to the newest
     * life that announced it. \return whether anything changed. */
    bool merge(const instance_announcement& news);

    const instance_announcement* find(const node_id& node) const;
    const std::map<node_id, instance_announcement>& all() const { return m_entries; }

    /** The present announcements of nodes that have not left. */
    std::vector<instance_announcement> present() const;

    /** Equal for tables with equal contents, whatever the order of news was. */
    std::uint64_t fingerprint() const;

private:
    bool isAddressHeldByNewer(const instance_announcement& news) const;

    std::map<node_id, instance_announcement> m_entries;
};

} // namespace pomelohub
