/** \file
 * Defines the JSON encoding of resources and configuration records. Nodes that read a record apply the same
 * validation as the operator's program that writes it.
 */
#pragma once

#include "checked_json.h"
#include "resource.h"

namespace pomelohub {

/** The contents of an operator's file: resources, each with its kind in the field "kind", and validation
 * errors. */
struct resource_file {
    std::vector<resource> resources;
    std::vector<field_error> errors;
};

/** Parses an operator's file: one resource or an array of resources. An API key is given either as "key",
 * of which only the SHA-256 digest is kept, or as its digest in "sha256". */
resource_file readResourceFile(const std::string& text);

/** Encodes \p content as JSON, without its kind. */
nlohmann::json toJson(const resource& content);

/** Decodes a resource of kind \p kind. \return nothing when \p value is invalid; the errors are added to
 * \p document, with field paths below \p path. */
std::optional<resource> resourceFromJson(
    checked_document& document, const nlohmann::json& value, resource_kind kind, const std::string& path);

std::string encodeRecord(const configuration_record& record);

/** Decodes a record of the configuration stream. \return nothing when it is invalid, with the reasons in
 * \p errors. */
std::optional<configuration_record> decodeRecord(const std::string& text, std::vector<field_error>& errors);

} // namespace pomelohub
