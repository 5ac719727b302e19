/** \file
 * Defines instance_announcement, which describes a node to the other nodes, and announcement_table, which
 * keeps the newest announcement of each node regardless of the source it came from.
 */
#pragma once

#include "core_types.h"

#include <array>
#include <map>
#include <vector>

namespace pomelohub {

/** A node and the service of the backend server co-located with it. Of two announcements of a node, the one
 * with the higher (life, revision, hasLeft) is newer. */
struct instance_announcement {
    node_id node;
    incarnation_number life = 0;
    std::uint64_t revision = 0; ///< Incremented by the node at each change; restarts with each incarnation.
    std::string endpoint; ///< Address and port at which other nodes send requests.
    data_centre_id dataCentre;
    service_id service;
    bool hasLeft = false; ///< The node has stopped; kept so that an older announcement cannot restore it.
    bool operator==(const instance_announcement&) const = default;
};

/** The newest known announcement of each node. Thread safety: one thread at a time. */
class announcement_table {
public:
    /** Merges \p update unless the known announcement of that node is at least as new. An endpoint belongs to
     * the node with the highest incarnation that announced it; other nodes with the same endpoint are marked
     * as left. \return whether anything changed. */
    bool merge(const instance_announcement& update);

    const instance_announcement* find(const node_id& node) const;
    const std::map<node_id, instance_announcement>& all() const { return m_entries; }

    /** The announcements of nodes that have not left. */
    std::vector<instance_announcement> active() const;

    /** Hash over all entries, independent of the order in which they were merged: two tables that have the
     * same contents have the same fingerprint. */
    std::uint64_t fingerprint() const;

    /** Fingerprints of the parts of the table, into which a hash divides the nodes. Their comparison tells
     * which parts of two tables differ. */
    using part_fingerprints = std::array<std::uint64_t, 64>;
    const part_fingerprints& partFingerprints() const { return m_partFingerprints; }

    /** The announcements in the parts whose fingerprint differs from that in \p other. */
    std::vector<instance_announcement> entriesThatDiffer(const part_fingerprints& other) const;

private:
    bool isEndpointOwnedByNewer(const instance_announcement& update) const;
    void store(const instance_announcement& entry);

    std::map<node_id, instance_announcement> m_entries;
    part_fingerprints m_partFingerprints {};
};

} // namespace pomelohub
