/** \file
 * Defines json_slice, a JSON value as a part of the text that contains it. Finding the parts of a large
 * document this way costs far less than parsing it, so that only the parts that have changed need to be
 * parsed.
 */
#pragma once

#include <optional>
#include <stdexcept>
#include <string_view>
#include <utility>
#include <vector>

namespace pomelohub {

/** Thrown when a text is not JSON. */
struct invalid_json : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/** The structure of objects and arrays is checked as far as it is visited; the text of other values is left
 * to the parser. Thread safety: any thread. */
class json_slice {
public:
    /** \param text one value, with or without space around it; it must outlive the slice. \throw invalid_json
     * unless it is one value. */
    explicit json_slice(std::string_view text);

    std::string_view text() const { return m_text; }

    /** The elements of an array. \throw invalid_json if it is no array. */
    std::vector<json_slice> elements() const;

    /** The members of an object; names are as written, with escapes. \throw invalid_json if it is no object.
     */
    std::vector<std::pair<std::string_view, json_slice>> members() const;

private:
    struct trusted_tag { };
    json_slice(trusted_tag, std::string_view text)
        : m_text(text)
    {
    }

    std::string_view m_text;
};

/** The last member of \p members with \p name. */
std::optional<json_slice> memberOf(
    const std::vector<std::pair<std::string_view, json_slice>>& members, std::string_view name);

} // namespace pomelohub
