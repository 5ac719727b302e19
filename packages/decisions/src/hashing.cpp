#include "hashing.h"

#include <openssl/sha.h>
#include <xxhash.h>

namespace pomelohub {

digest sha256(std::string_view text)
{
    digest result;
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), result.data());
    return result;
}

std::string toHex(std::span<const std::uint8_t> value)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(value.size() * 2);
    for (auto byte : value) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 15]);
    }
    return text;
}

static std::optional<std::uint8_t> hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return static_cast<std::uint8_t>(c - '0');
    if (c >= 'a' && c <= 'f')
        return static_cast<std::uint8_t>(c - 'a' + 10);
    return std::nullopt;
}

std::optional<digest> digestFromHex(std::string_view text)
{
    digest result;
    if (text.size() != result.size() * 2)
        return std::nullopt;
    for (std::size_t i = 0; i < result.size(); ++i) {
        auto high = hexDigit(text[2 * i]);
        auto low = hexDigit(text[2 * i + 1]);
        if (!high || !low)
            return std::nullopt;
        result[i] = static_cast<std::uint8_t>(*high << 4 | *low);
    }
    return result;
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view candidate, std::uint64_t item)
{
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), item);
}

} // namespace pomelohub
