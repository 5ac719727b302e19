/** \file
 * Defines the gossip messages by which nodes exchange fleet state: instance announcements, operator state and
 * quarantined requests. Messages are encoded as MessagePack.
 */
#pragma once

#include "crash_quarantine.h"
#include "fleet_controller.h"
#include "peer_link.h"

namespace pomelohub {

/** Content of a gossip request or response. */
struct gossip_update {
    node_id from;
    std::uint64_t position = 0; ///< Up to which the sender has applied the operators' log.
    std::uint64_t fingerprint
        = 0; ///< Of the sender's announcement table; equal tables have equal fingerprints.
    std::vector<instance_announcement>
        announcements; ///< The sender's own, or all it knows if fingerprints differ.
    std::optional<operator_state> operators; ///< Only sent if the receiver's position is lower.
    std::vector<quarantine_notice> quarantined;
};

peer_message encodeGossip(const gossip_update& update);

/** \return nothing if \p message can't be decoded. */
std::optional<gossip_update> decodeGossip(const peer_message& message);

/** JSON form of an announcement, as written to the store. */
std::string encodeAnnouncement(const instance_announcement& announcement);

/** \return nothing if \p text isn't a valid announcement. */
std::optional<instance_announcement> decodeAnnouncement(std::string_view text);

} // namespace pomelohub
