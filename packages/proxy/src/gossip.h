/** \file
 * Defines the gossip messages by which nodes exchange fleet state: instance announcements, operator state and
 * requests in whose runs backend servers crashed. Messages are encoded as MessagePack.
 */
#pragma once

#include "crash_quarantine.h"
#include "fleet_controller.h"
#include "peer_link.h"

namespace pomelohub {

/** Operator state for a node that is behind. */
struct operator_transfer {
    log_position position;
    evacuation_table evacuations;
    followed_log followed {};
    /** From a node of an earlier version in place of the table: the evacuated data centres. */
    std::optional<std::set<data_centre_id>> evacuatedOnly {};
    /** The document: whole or as a delta to the receiver's; neither if the receiver has it. */
    std::optional<std::string> document {};
    std::optional<document_delta> delta {};
};

/** Content of a gossip request or response. */
struct gossip_update {
    node_id from;
    std::uint64_t offset = 0; ///< Up to which the sender has applied the operators' log.
    /** The era of the offset; nodes of an earlier version do not send it. */
    std::optional<store_era> era;
    std::uint64_t version = 0; ///< Of the configuration in force at the sender.
    std::uint64_t evacuations = 0; ///< Fingerprint of the sender's table of evacuations.
    std::uint64_t fingerprint
        = 0; ///< Of the sender's announcement table; equal tables have equal fingerprints.
    std::vector<instance_announcement> announcements; ///< The sender's own, or those that may differ.
    std::size_t unreadableAnnouncements = 0; ///< In a received message; they are left out.
    /** Of the sender's table: in a response if the fingerprints differ, and in the request that follows it,
     * to which both sides add the announcements of the parts that differ. */
    std::optional<announcement_table::part_fingerprints> partFingerprints;
    /** Time since the sender, or a node from which it knows, was last in contact with a node that reads the
     * operators' log; zero if the sender reads it itself, with success so far. */
    std::optional<duration> contactAge;
    /** In a request: the sender asks for newer operator state and has the document with this fingerprint, or
     * none if it is 0. */
    std::optional<document_fingerprint> documentBase;
    /** An encoded operator_transfer, in a response to a request with a documentBase. It is encoded once for
     * all nodes that ask for the same. */
    std::optional<std::string> operators;
    std::vector<crash_notice> crashes;
};

/** Encodes and compresses \p transfer. */
std::string encodeOperatorTransfer(const operator_transfer& transfer);

/** \return nothing if \p bytes can't be decoded. */
std::optional<operator_transfer> decodeOperatorTransfer(std::string_view bytes);

peer_message encodeGossip(const gossip_update& update);

/** \return nothing if \p message can't be decoded. */
std::optional<gossip_update> decodeGossip(const peer_message& message);

/** JSON form of an announcement, as written to the store. */
std::string encodeAnnouncement(const instance_announcement& announcement);

/** \return nothing if \p text isn't a valid announcement. */
std::optional<instance_announcement> decodeAnnouncement(std::string_view text);

} // namespace pomelohub
