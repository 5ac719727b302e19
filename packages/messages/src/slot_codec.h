/** \file
 * Defines the JSON form of the records of the fleet stream, by which nodes share slots and find each other.
 */
#pragma once

#include "checked_json.h"
#include "membership.h"
#include "slot_table.h"

namespace pomelohub {

/** A record of the fleet stream. A joining node also says where it can be reached. */
struct fleet_record {
    slot_record slots;
    data_centre_id dataCentre;
    std::string endpoint;
};

/** The array form of \p state, in records and in messages between nodes. */
nlohmann::json toJson(const slot_snapshot& state);

/** \return nothing when \p value is not such an array. */
std::optional<slot_snapshot> restatementFromJson(const nlohmann::json& value);

std::string encodeFleetRecord(const fleet_record& record);

/** \return nothing and the faults in \p errors when corrupt. */
std::optional<fleet_record> decodeFleetRecord(const std::string& text, std::vector<field_error>& errors);

} // namespace pomelohub
