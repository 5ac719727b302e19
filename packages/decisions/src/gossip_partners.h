/** \file
 * Defines gossip_partners, which decides with which nodes this node exchanges fleet state regularly. The
 * partners are a small random part of the fleet that changes slowly, so that the links that gossip keeps open
 * do not grow with the fleet, while state still reaches every node.
 */
#pragma once

#include "instance_announcement.h"
#include "peer_choice.h"

#include <deque>
#include <span>

namespace pomelohub {

struct gossip_partner_policy {
    /** Number of partners. With eight each, the nodes of a large fleet stay connected when a data centre or
     * half of all nodes are lost. */
    std::size_t partners = 8;
    /** Of them in other data centres, as traffic between data centres has a price; more where this one has
     * too few nodes. */
    std::size_t remotePartners = 2;
    /** One partner is replaced in each interval, so that groups of partners that know only each other mix
     * with the others. */
    duration rotationInterval = std::chrono::seconds(2);
};

/** Thread safety: one thread at a time. */
class gossip_partners {
public:
    gossip_partners(node_id self, data_centre_id dataCentre, gossip_partner_policy policy);

    /** Sets the nodes that may be partners to those in \p active other than this node. */
    void update(std::span<const instance_announcement> active);

    /** The endpoints of the next partners in turn, at most \p count, without repetition. */
    std::vector<std::string> next(std::size_t count, const choice_random_hook& random, instant now);

    /** Replaces the partner at \p endpoint, which has not answered, if there are other nodes. */
    void recordFailure(const std::string& endpoint);

private:
    /** The nodes of this data centre or those of the others. */
    struct group {
        std::vector<std::string> candidates; ///< Endpoints.
        /** Endpoints, the one that was contacted longest ago first. */
        std::deque<std::string> partners;
    };

    void fillUp(group& group, std::size_t wanted, const choice_random_hook& random);
    void rotate(group& group);
    std::size_t partnerCount() const { return m_local.partners.size() + m_remote.partners.size(); }

    node_id m_self;
    data_centre_id m_dataCentre;
    gossip_partner_policy m_policy;
    group m_local;
    group m_remote;
    std::size_t m_turn = 0; ///< Number of partners that next() has returned.
    std::size_t m_rotations = 0;
    instant m_nextRotation {};
};

} // namespace pomelohub
