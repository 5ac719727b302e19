/** \file
 * Defines the encoding of the messages between nodes as MessagePack, by means of the JSON library. Decoders
 * accept arbitrary bytes and return nothing for those that are not a valid message.
 */
#pragma once

#include "configuration_controller.h"
#include "ejection_budget.h"
#include "log_client.h"
#include "membership.h"
#include "token_bucket_store.h"

namespace pomelohub {

/** Thread safety of all functions in this file: any thread. */
std::string encode(const gossip_message& message);
std::optional<gossip_message> decodeGossip(std::string_view bytes);

std::string encode(const rate_request& request);
std::optional<rate_request> decodeRateRequest(std::string_view bytes);

std::string encode(const rate_grant& grant);
std::optional<rate_grant> decodeRateGrant(std::string_view bytes);

std::string encode(const ejection_request& request);
std::optional<ejection_request> decodeEjectionRequest(std::string_view bytes);

std::string encode(const ejection_permit& permit);
std::optional<ejection_permit> decodeEjectionPermit(std::string_view bytes);

std::string encode(const std::vector<member_record>& members);
std::optional<std::vector<member_record>> decodeMembers(std::string_view bytes);

/** The state that a starting node loads from a peer. */
struct bootstrap_state {
    configuration_snapshot configuration;
    std::uint64_t fleetNextOffset = 0;
    std::vector<slot_snapshot> slots;
    std::vector<member_record> members;
};

std::string encode(const bootstrap_state& state);
std::optional<bootstrap_state> decodeBootstrapState(std::string_view bytes);

std::string encode(const log_page& page);
std::optional<log_page> decodeLogPage(std::string_view bytes);

} // namespace pomelohub
