#include "json_slice.h"

#include <array>
#include <cstdint>

namespace pomelohub {

namespace {

    constexpr std::string_view spaces = " \t\r\n";

    std::size_t skipSpaces(std::string_view text, std::size_t at)
    {
        return std::min(text.find_first_not_of(spaces, at), text.size());
    }

    char charAt(std::string_view text, std::size_t at)
    {
        if (at >= text.size())
            throw invalid_json("the text ends within a value");
        return text[at];
    }

    using character_set = std::array<bool, 256>;

    constexpr character_set makeSet(std::string_view characters)
    {
        character_set set {};
        for (char each : characters)
            set[static_cast<std::uint8_t>(each)] = true;
        return set;
    }

    constexpr auto stringEnds = makeSet("\"\\");
    constexpr auto structure = makeSet("\"{}[]");

    /** Position of the first character of \p set from \p at on, or the size of \p text. */
    std::size_t findAny(std::string_view text, std::size_t at, const character_set& set)
    {
        while (at < text.size() && !set[static_cast<std::uint8_t>(text[at])])
            ++at;
        return at;
    }

    std::size_t endOfString(std::string_view text, std::size_t at)
    {
        at = findAny(text, at + 1, stringEnds);
        while (charAt(text, at) == '\\') {
            constexpr std::size_t escapedLength = 2; // Also for \u, whose digits end no string.
            at = findAny(text, at + escapedLength, stringEnds);
        }
        return at + 1;
    }

    /** The position behind the value that starts at \p at. */
    std::size_t endOfValue(std::string_view text, std::size_t at)
    {
        if (charAt(text, at) == '"')
            return endOfString(text, at);
        if (text[at] != '{' && text[at] != '[') {
            auto end = std::min(text.find_first_of(" \t\r\n,:]}", at), text.size());
            if (end == at)
                throw invalid_json("a value is missing");
            return end;
        }
        std::size_t depth = 0;
        while (true) {
            at = findAny(text, at, structure);
            switch (charAt(text, at)) {
            case '"':
                at = endOfString(text, at);
                break;
            case '{':
            case '[':
                ++depth;
                ++at;
                break;
            default:
                ++at;
                if (--depth == 0)
                    return at;
            }
        }
    }

    /** Calls \p visit with the position of each entry between the brackets of \p text, which must be \p open
     * and \p close. \p visit returns the position behind the entry. */
    template <typename F> void visitEntries(std::string_view text, char open, char close, F visit)
    {
        if (text.front() != open || text.back() != close)
            throw invalid_json(open == '{' ? "an object is expected" : "an array is expected");
        auto at = skipSpaces(text, 1);
        if (at == text.size() - 1)
            return;
        while (true) {
            at = skipSpaces(text, visit(at));
            auto separator = charAt(text, at);
            if (separator == close && at == text.size() - 1)
                return;
            if (separator != ',')
                throw invalid_json("two values are not separated");
            at = skipSpaces(text, at + 1);
        }
    }

} // namespace

json_slice::json_slice(std::string_view text)
{
    auto at = skipSpaces(text, 0);
    auto end = endOfValue(text, at);
    if (skipSpaces(text, end) != text.size())
        throw invalid_json("there is text behind the value");
    m_text = text.substr(at, end - at);
}

std::vector<json_slice> json_slice::elements() const
{
    std::vector<json_slice> result;
    visitEntries(m_text, '[', ']', [&](std::size_t at) {
        auto end = endOfValue(m_text, at);
        result.push_back({ trusted_tag {}, m_text.substr(at, end - at) });
        return end;
    });
    return result;
}

std::vector<std::pair<std::string_view, json_slice>> json_slice::members() const
{
    std::vector<std::pair<std::string_view, json_slice>> result;
    visitEntries(m_text, '{', '}', [&](std::size_t at) {
        if (charAt(m_text, at) != '"')
            throw invalid_json("the name of a member is missing");
        auto endOfName = endOfString(m_text, at);
        auto name = m_text.substr(at + 1, endOfName - at - 2);
        auto colon = skipSpaces(m_text, endOfName);
        if (charAt(m_text, colon) != ':')
            throw invalid_json("a member has no value");
        auto start = skipSpaces(m_text, colon + 1);
        auto end = endOfValue(m_text, start);
        result.emplace_back(name, json_slice { trusted_tag {}, m_text.substr(start, end - start) });
        return end;
    });
    return result;
}

std::optional<json_slice> memberOf(
    const std::vector<std::pair<std::string_view, json_slice>>& members, std::string_view name)
{
    for (auto each = members.rbegin(); each != members.rend(); ++each) {
        if (each->first == name)
            return each->second;
    }
    return std::nullopt;
}

} // namespace pomelohub
