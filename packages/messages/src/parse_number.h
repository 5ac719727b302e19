/** \file
 * Defines parseNumber, which converts text from outside the process to numbers.
 */
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace pomelohub {

/** Parses the whole of \p text as a number. \return nothing when it is not one, is out of range or is
 * followed by other characters. Thread safety: any thread. */
template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number number {};
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace pomelohub
