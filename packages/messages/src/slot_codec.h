/** \file
 * Defines the JSON encoding of the records of the fleet stream, through which nodes assign slots among
 * themselves and discover each other.
 */
#pragma once

#include "checked_json.h"
#include "membership.h"
#include "slot_table.h"

namespace pomelohub {

/** A record of the fleet stream. The record of a joining node also holds its data centre and its endpoint. */
struct fleet_record {
    slot_record slots;
    data_centre_id dataCentre;
    std::string endpoint;
};

/** Encodes \p state as an array, for records and for messages between nodes. */
nlohmann::json toJson(const slot_snapshot& state);

/** Decodes the state of a slot. \return nothing when \p value is not a valid encoding of one. */
std::optional<slot_snapshot> slotSnapshotFromJson(const nlohmann::json& value);

std::string encodeFleetRecord(const fleet_record& record);

/** Decodes a record. \return nothing when \p text is not a valid one, with the reasons in \p errors. */
std::optional<fleet_record> decodeFleetRecord(const std::string& text, std::vector<field_error>& errors);

} // namespace pomelohub
