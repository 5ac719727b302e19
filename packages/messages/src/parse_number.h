/** \file
 * Defines parseNumber, the one way in which texts from outside become numbers.
 */
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace pomelohub {

/** The number that \p text spells in full, or nothing. Thread safety: any thread. */
template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number number {};
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace pomelohub
