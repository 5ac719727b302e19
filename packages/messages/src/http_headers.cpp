#include "http_headers.h"

#include <algorithm>
#include <array>

namespace pomelohub {

std::optional<std::string> headerValue(const std::vector<header_field>& headers, std::string_view name)
{
    auto found = std::find_if(
        headers.begin(), headers.end(), [&](const header_field& field) { return field.first == name; });
    return found == headers.end() ? std::nullopt : std::optional(found->second);
}

void removeHeader(std::vector<header_field>& headers, std::string_view name)
{
    std::erase_if(headers, [&](const header_field& field) { return field.first == name; });
}

std::string toLowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 7> names { "connection", "keep-alive", "te", "trailer",
        "transfer-encoding", "upgrade", "proxy-connection" };
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace pomelohub
