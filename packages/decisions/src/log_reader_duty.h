/** \file
 * Defines log_reader_duty, which decides what nodes follow the operators' log for the other nodes of their
 * data centre. These learn of changes from them, so that the cost of reading a change does not grow with the
 * number of nodes.
 */
#pragma once

#include "instance_announcement.h"

#include <optional>
#include <span>

namespace pomelohub {

struct log_reader_policy {
    std::size_t fleetReaders = 8; ///< Expected number of readers in the fleet.
    /** A node reads the log itself after this long without contact to a reader. */
    duration contactTimeout = std::chrono::milliseconds(1200);
    /** Added to contactTimeout each time that the number of nodes which come first doubles, so that few nodes
     * take over from a reader that has failed. */
    duration takeoverDelay = std::chrono::milliseconds(150);
    /** Limits the messages that the other nodes of a data centre send to each of its readers, which have the
     * same share of a processor as any node. */
    double maxContactsPerSecond = 16;
};

/** Decides when a node has to read the log itself. The nodes of a data centre take the duty in an order that
 * each of them computes alike from the same announcements. Thread safety: one thread at a time. */
class log_reader_duty {
public:
    /** \param now counts as a contact, so that a node that starts first looks for a reader. */
    log_reader_duty(node_id self, data_centre_id dataCentre, log_reader_policy policy, instant now);

    /** Updates the order of the nodes from \p active, the announcements of the nodes that have not left. */
    void update(std::span<const instance_announcement> active);

    /** Records that a node that follows the log was heard at \p at, by this node or by one that says so. */
    void recordContact(instant at);

    /** Time since the last recorded contact; nothing if there was none. */
    std::optional<duration> contactAge(instant now) const;

    /** The fraction of \p interval long rounds in which this node contacts a reader itself; in the others it
     * learns from the nodes that do. */
    double contactProbability(duration interval) const;

    /** The time from which this node has to read the log unless it has contact to a reader before;
     * instant::min() if it is a reader. */
    instant startsAt() const;

    /** The readers of the own data centre other than this node. */
    const std::vector<node_id>& otherReaders() const { return m_otherReaders; }

private:
    node_id m_self;
    data_centre_id m_dataCentre;
    log_reader_policy m_policy;
    instant m_lastContact;
    bool m_hasContact = false; ///< Otherwise m_lastContact is the start of this node.
    std::size_t m_readerCount = 1;
    std::size_t m_nodeCount = 1; ///< In the data centre.
    std::size_t m_rank = 0; ///< Of this node; those below the number of readers are readers.
    std::vector<node_id> m_otherReaders;
};

} // namespace pomelohub
