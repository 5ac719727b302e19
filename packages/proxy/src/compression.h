/** \file
 * Defines compress() and decompress(), thin wrappers over zlib for messages between nodes.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pomelohub {

/** Compresses \p bytes. Thread safety: any thread. */
std::string compress(std::string_view bytes);

/** Decompresses the result of compress(). \return nothing when \p bytes are not such a result, or when they
 * hold more than \p maxBytes. Thread safety: any thread. */
std::optional<std::string> decompress(std::string_view bytes, std::size_t maxBytes);

} // namespace pomelohub
