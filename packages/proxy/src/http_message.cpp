#include "http_message.h"

#include <http_parser.h>

#include <algorithm>
#include <array>

namespace pomelohub {

namespace {

    constexpr std::array<std::string_view, 8> hopByHopFields { "connection", "keep-alive", "proxy-connection",
        "transfer-encoding", "te", "trailer", "upgrade", "expect" };

    char toLowerAscii(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

    std::string_view trimmed(std::string_view text)
    {
        while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
            text.remove_prefix(1);
        while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
            text.remove_suffix(1);
        return text;
    }

    void appendFields(std::string& text, const http_message& message, std::size_t bodyLength)
    {
        bool mayOmitLength = !message.method.empty() && message.body.empty() && message.method != "POST"
            && message.method != "PUT" && message.method != "PATCH";
        for (const auto& [name, value] : message.fields) {
            if (!equalsIgnoringCase(name, "content-length"))
                text.append(name).append(": ").append(value).append("\r\n");
        }
        if (!mayOmitLength)
            text.append("Content-Length: ").append(std::to_string(bodyLength)).append("\r\n");
    }

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(),
            [](char a, char b) { return toLowerAscii(a) == toLowerAscii(b); });
}

std::optional<std::string_view> http_message::field(std::string_view name) const
{
    for (const auto& each : fields) {
        if (equalsIgnoringCase(each.name, name))
            return each.value;
    }
    return std::nullopt;
}

void http_message::removeField(std::string_view name)
{
    std::erase_if(fields, [&](const http_field& each) { return equalsIgnoringCase(each.name, name); });
}

void http_message::setField(std::string_view name, std::string value)
{
    removeField(name);
    fields.push_back({ std::string(name), std::move(value) });
}

std::string_view http_message::path() const { return std::string_view(target).substr(0, target.find('?')); }

void removeHopByHopFields(http_message& message)
{
    std::vector<std::string> connectionOptions;
    for (const auto& each : message.fields) {
        if (!equalsIgnoringCase(each.name, "connection"))
            continue;
        std::string_view rest = each.value;
        while (!rest.empty()) {
            auto comma = rest.find(',');
            connectionOptions.emplace_back(trimmed(rest.substr(0, comma)));
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
    }
    std::erase_if(message.fields, [&](const http_field& each) {
        auto matches = [&](std::string_view name) { return equalsIgnoringCase(each.name, name); };
        return std::any_of(hopByHopFields.begin(), hopByHopFields.end(), matches)
            || std::any_of(connectionOptions.begin(), connectionOptions.end(), matches);
    });
}

std::string serializeRequestHead(const http_message& message)
{
    std::string text;
    text.reserve(512);
    text.append(message.method).append(" ").append(message.target).append(" HTTP/1.1\r\n");
    appendFields(text, message, message.body.size());
    text.append("\r\n");
    return text;
}

std::size_t headBytesOf(const http_message& request)
{
    auto bytes = request.method.size() + request.target.size();
    for (const auto& [name, value] : request.fields)
        bytes += name.size() + value.size();
    return bytes;
}

bool mayHaveBody(const http_message& message) { return message.status != 204 && message.status != 304; }

std::string serializeResponseHead(const http_message& message, bool isClosing, bool isBodiless)
{
    std::string text;
    text.reserve(512);
    text.append("HTTP/1.1 ").append(std::to_string(message.status)).append(" ");
    text.append(message.reason.empty() ? reasonPhrase(message.status) : message.reason).append("\r\n");
    if (isBodiless || !mayHaveBody(message)) {
        for (const auto& [name, value] : message.fields)
            text.append(name).append(": ").append(value).append("\r\n");
    } else {
        appendFields(text, message, message.body.size());
    }
    if (isClosing)
        text.append("Connection: close\r\n");
    text.append("\r\n");
    return text;
}

std::string serializeResponse(const http_message& message, bool isClosing, bool isBodiless)
{
    auto text = serializeResponseHead(message, isClosing, isBodiless);
    if (!isBodiless && mayHaveBody(message))
        text.append(message.body);
    return text;
}

http_message makeResponse(int status, std::string body, std::string_view contentType)
{
    http_message response;
    response.status = status;
    if (!body.empty())
        response.fields.push_back({ "Content-Type", std::string(contentType) });
    response.body = std::move(body);
    return response;
}

std::string_view reasonPhrase(int status) { return http_status_str(static_cast<http_status>(status)); }

} // namespace pomelohub
