/** \file
 * Defines the header fields that nodes, callers and backend servers share, and what is done with names of
 * fields.
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

/** Header fields with this prefix are between nodes only; front ends drop them from what callers send. */
inline constexpr std::string_view internalPrefix = "pomelohub-";
inline constexpr std::string_view backendHeader = "pomelohub-backend";
inline constexpr std::string_view serviceHeader = "pomelohub-service";
inline constexpr std::string_view organisationHeader = "pomelohub-organisation";
inline constexpr std::string_view bodyHeader = "pomelohub-body"; ///< "chunked" when the length is not known.
inline constexpr std::string_view actionHeader
    = "pomelohub-action"; ///< The key, on the way to its authority.

/** Header fields that callers or backend servers see. */
inline constexpr std::string_view requestIdHeader = "x-request-id";
inline constexpr std::string_view servedByHeader = "x-served-by";
inline constexpr std::string_view replayedHeader = "idempotent-replayed"; ///< On an answer kept from before.

/** The value of the first field called \p name, or nothing. */
std::optional<std::string> headerValue(const std::vector<header_field>& headers, std::string_view name);

/** Removes every field called \p name. */
void removeHeader(std::vector<header_field>& headers, std::string_view name);

std::string toLowerCase(std::string text);

/** Whether a field ends at the next hop (RFC 9110, section 7.6.1). \param name in lower case. */
bool isHopByHop(std::string_view name);

} // namespace pomelohub
