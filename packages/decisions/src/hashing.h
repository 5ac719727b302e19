/** \file
 * Defines SHA-256 digests and rendezvous hashing as thin wrappers over OpenSSL and xxHash. Every node
 * computes the same placement from the same names.
 */
#pragma once

#include "core_types.h"

#include <optional>
#include <span>

namespace pomelohub {

/** SHA-256 of \p text. Thread safety: any thread. */
digest sha256(std::string_view text);

/** Lower-case hexadecimal form of \p value. Thread safety: any thread. */
std::string toHex(std::span<const std::uint8_t> value);

/** Parses 64 lower-case hexadecimal digits. \return nothing when \p text has another length or other
 * characters. */
std::optional<digest> digestFromHex(std::string_view text);

/** Seeded 64-bit hash of \p text, the same on every node. Not cryptographic. Thread safety: any thread. */
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/** Weight of \p candidate for \p item in rendezvous hashing; the candidate with the highest weight wins. */
std::uint64_t rendezvousWeight(std::string_view candidate, std::uint64_t item);

} // namespace pomelohub
