/** \file
 * Defines the form of what nodes tell each other about the fleet: announcements, the state of operators and
 * quarantined requests.
 */
#pragma once

#include "crash_quarantine.h"
#include "fleet_controller.h"
#include "peer_link.h"

namespace pomelohub {

/** What one node tells another, as question or answer. */
struct gossip_news {
    node_id from;
    std::uint64_t position = 0; ///< Of the operators' log, as far as the sender knows it.
    std::uint64_t fingerprint = 0; ///< Of all announcements that the sender knows.
    std::vector<instance_announcement> announcements;
    std::optional<operator_state> operators; ///< For a node that is behind.
    std::vector<quarantine_notice> quarantined;
};

peer_message encodeGossip(const gossip_news& news);

/** \return nothing when \p message cannot be read. */
std::optional<gossip_news> decodeGossip(const peer_message& message);

/** Text form of one announcement, also used in the store. */
std::string encodeAnnouncement(const instance_announcement& announcement);
std::optional<instance_announcement> decodeAnnouncement(std::string_view text);

} // namespace pomelohub
