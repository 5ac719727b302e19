/** \file
 * Defines the names of the header fields that nodes, callers and backend servers exchange, and functions on
 * lists of header fields.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pomelohub {

/** A header field with its name in lower case. */
using header_field = std::pair<std::string, std::string>;

/** Header fields with this prefix are only for messages between nodes. Front ends remove them from requests
 * of callers. */
inline constexpr std::string_view internalHeaderPrefix = "pomelohub-";
inline constexpr std::string_view backendHeader = "pomelohub-backend";
inline constexpr std::string_view serviceHeader = "pomelohub-service";
inline constexpr std::string_view organisationHeader = "pomelohub-organisation";
inline constexpr std::string_view bodyHeader
    = "pomelohub-body"; ///< "chunked" when the body length is unknown.
inline constexpr std::string_view actionHeader
    = "pomelohub-action"; ///< Idempotency key, in a request to the node that is its authority.

/** Header fields that are visible to callers or backend servers. */
inline constexpr std::string_view requestIdHeader = "x-request-id";
inline constexpr std::string_view servedByHeader = "x-served-by";
inline constexpr std::string_view replayedHeader
    = "idempotent-replayed"; ///< Set on a stored response that is replayed.

/** The value of the first field called \p name, or nothing. */
std::optional<std::string> headerValue(const std::vector<header_field>& headers, std::string_view name);

/** Removes every field called \p name. */
void removeHeader(std::vector<header_field>& headers, std::string_view name);

std::string toLowerCase(std::string text);

/** Whether a field is hop-by-hop and must not be forwarded (RFC 9110, section 7.6.1). \param name is in lower
 * case. */
bool isHopByHop(std::string_view name);

} // namespace pomelohub
