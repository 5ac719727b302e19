/** \file
 * Defines the JSON form of resources and configuration records, checked as strictly by every node that reads
 * them as by the operator's program that writes them.
 */
#pragma once

#include "checked_json.h"
#include "resource.h"

namespace pomelohub {

/** What an operator's file holds: resources, each with its kind in the field "kind". */
struct resource_file {
    std::vector<resource> resources;
    std::vector<field_error> errors;
};

/** Reads an operator's file: one resource, or an array of them. Keys may be written as "key", which is
 * digested at once, or as "sha256". */
resource_file readResourceFile(const std::string& text);

/** The JSON form of \p content without its kind. */
nlohmann::json toJson(const resource& content);

/** Reads the JSON form of a resource of kind \p kind; faults go into \p document. */
std::optional<resource> resourceFromJson(
    checked_document& document, const nlohmann::json& value, resource_kind kind, const std::string& path);

std::string encodeRecord(const configuration_record& record);

/** Reads a record of the configuration stream. \return nothing and the faults in \p errors when corrupt. */
std::optional<configuration_record> decodeRecord(const std::string& text, std::vector<field_error>& errors);

} // namespace pomelohub
