#include "checked_json.h"

#include <cmath>
#include <iterator>

namespace pomelohub {

using nlohmann::json;

namespace {

    /** Iterates over a string and counts the line breaks that the parser has consumed. */
    class line_counting_iterator {
    public:
        using iterator_category = std::input_iterator_tag;
        using value_type = char;
        using difference_type = std::ptrdiff_t;
        using pointer = const char*;
        using reference = const char&;

        line_counting_iterator(const char* position, std::size_t* line)
            : m_position(position)
            , m_line(line)
        {
        }
        reference operator*() const { return *m_position; }
        line_counting_iterator& operator++()
        {
            if (*m_position == '\n')
                ++*m_line;
            ++m_position;
            return *this;
        }
        bool operator==(const line_counting_iterator& other) const { return m_position == other.m_position; }
        bool operator!=(const line_counting_iterator& other) const { return !(*this == other); }

    private:
        const char* m_position;
        std::size_t* m_line;
    };

    std::string escapeJsonPointer(const std::string& name)
    {
        std::string result;
        for (char c : name) {
            if (c == '~')
                result += "~0";
            else if (c == '/')
                result += "~1";
            else
                result.push_back(c);
        }
        return result;
    }

    /** SAX handler that records the line number of each value by its JSON pointer. */
    class line_recorder : public json::json_sax_t {
    public:
        line_recorder(std::map<std::string, std::size_t>& lines, const std::size_t& line)
            : m_lines(lines)
            , m_line(line)
        {
        }
        bool null() override { return recordValue(); }
        bool boolean(bool) override { return recordValue(); }
        bool number_integer(json::number_integer_t) override { return recordValue(); }
        bool number_unsigned(json::number_unsigned_t) override { return recordValue(); }
        bool number_float(json::number_float_t, const std::string&) override { return recordValue(); }
        bool string(std::string&) override { return recordValue(); }
        bool binary(json::binary_t&) override { return recordValue(); }
        bool start_object(std::size_t) override { return open(false); }
        bool start_array(std::size_t) override { return open(true); }
        bool end_object() override { return close(); }
        bool end_array() override { return close(); }
        bool key(std::string& name) override
        {
            m_levels.back().name = escapeJsonPointer(name);
            return true;
        }
        bool parse_error(std::size_t, const std::string&, const json::exception&) override { return false; }

    private:
        struct level {
            bool isArray = false;
            std::size_t index = 0;
            std::string name;
        };

        std::string path() const
        {
            std::string result;
            for (const auto& each : m_levels)
                result += '/' + (each.isArray ? std::to_string(each.index) : each.name);
            return result;
        }
        void advanceIndex()
        {
            if (!m_levels.empty() && m_levels.back().isArray)
                ++m_levels.back().index;
        }
        bool recordValue()
        {
            m_lines[path()] = m_line;
            advanceIndex();
            return true;
        }
        bool open(bool isArray)
        {
            m_lines[path()] = m_line;
            m_levels.push_back({ isArray, 0, "" });
            return true;
        }
        bool close()
        {
            m_levels.pop_back();
            advanceIndex();
            return true;
        }

        std::map<std::string, std::size_t>& m_lines;
        const std::size_t& m_line;
        std::vector<level> m_levels;
    };

} // namespace

std::string toText(const field_error& error)
{
    std::string text;
    if (error.line > 0)
        text += "line " + std::to_string(error.line) + ": ";
    return text + (error.path.empty() ? "document" : error.path) + ": " + error.message;
}

checked_document checked_document::parse(const std::string& text)
{
    checked_document document;
    std::size_t line = 1;
    line_recorder recorder(document.m_lines, line);
    line_counting_iterator begin(text.data(), &line);
    line_counting_iterator end(text.data() + text.size(), &line);
    if (!json::sax_parse(begin, end, &recorder, json::input_format_t::json, true, true)) {
        document.m_lines.clear();
        document.m_errors.push_back({ "", line, "is not JSON here" });
        return document;
    }
    document.m_root = json::parse(text, nullptr, true, true);
    return document;
}

checked_document checked_document::wrap(json root)
{
    checked_document document;
    document.m_root = std::move(root);
    return document;
}

void checked_document::fail(const std::string& path, std::string message)
{
    auto found = m_lines.find(path);
    m_errors.push_back({ path, found == m_lines.end() ? 0 : found->second, std::move(message) });
}

checked_object::checked_object(checked_document& document, const json& value, std::string path)
    : m_document(document)
    , m_value(value)
    , m_path(std::move(path))
{
    if (!m_value.is_object() && m_document.isValid())
        m_document.fail(m_path, "must be an object");
}

void checked_object::fail(const std::string& name, const std::string& message)
{
    m_document.fail(has(name) ? m_path + '/' + escapeJsonPointer(name) : m_path,
        has(name) ? message : "field \"" + name + "\": " + message);
}

const json* checked_object::find(const std::string& name, bool isRequired)
{
    m_knownFields.insert(name);
    if (has(name))
        return &m_value.at(name);
    if (isRequired)
        fail(name, "is missing");
    return nullptr;
}

std::string checked_object::text(const std::string& name, bool isRequired, const std::string& fallback)
{
    const auto* value = find(name, isRequired);
    if (!value)
        return fallback;
    if (value->is_string() && !value->get_ref<const std::string&>().empty())
        return value->get<std::string>();
    fail(name, "must be a text that is not empty");
    return fallback;
}

double checked_object::number(const std::string& name, number_range range, std::optional<double> fallback)
{
    const auto* value = find(name, !fallback);
    if (!value)
        return fallback.value_or(range.min);
    auto read = value->is_number() ? value->get<double>() : NAN;
    if (read >= range.min && read <= range.max)
        return read;
    fail(name, "must be a number from " + json(range.min).dump() + " to " + json(range.max).dump());
    return fallback.value_or(range.min);
}

std::int64_t checked_object::integer(
    const std::string& name, number_range range, std::optional<std::int64_t> fallback)
{
    auto known = has(name);
    auto read = number(name, range, fallback ? std::optional<double>(*fallback) : std::nullopt);
    if (known && m_value.at(name).is_number() && !m_value.at(name).is_number_integer())
        fail(name, "must be a whole number");
    return static_cast<std::int64_t>(read);
}

bool checked_object::boolean(const std::string& name, std::optional<bool> fallback)
{
    const auto* value = find(name, !fallback);
    if (!value)
        return fallback.value_or(false);
    if (value->is_boolean())
        return value->get<bool>();
    fail(name, "must be true or false");
    return fallback.value_or(false);
}

std::vector<std::string> checked_object::texts(const std::string& name, bool isRequired)
{
    const auto* value = find(name, isRequired);
    std::vector<std::string> result;
    if (!value)
        return result;
    if (!value->is_array()) {
        fail(name, "must be an array of strings");
        return result;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        if (value->at(i).is_string())
            result.push_back(value->at(i).get<std::string>());
        else
            m_document.fail(
                m_path + '/' + escapeJsonPointer(name) + '/' + std::to_string(i), "must be a string");
    }
    return result;
}

checked_object checked_object::object(const std::string& name, bool isRequired)
{
    static const json empty = json::object();
    const auto* value = find(name, isRequired);
    return { m_document, value ? *value : empty, m_path + '/' + escapeJsonPointer(name) };
}

std::vector<checked_object> checked_object::objects(const std::string& name, bool isRequired)
{
    const auto* value = find(name, isRequired);
    std::vector<checked_object> result;
    if (!value)
        return result;
    if (!value->is_array()) {
        fail(name, "must be an array of objects");
        return result;
    }
    for (std::size_t i = 0; i < value->size(); ++i)
        result.emplace_back(
            m_document, value->at(i), m_path + '/' + escapeJsonPointer(name) + '/' + std::to_string(i));
    return result;
}

void checked_object::rejectUnknownFields()
{
    if (!m_value.is_object())
        return;
    for (const auto& [name, value] : m_value.items()) {
        if (!m_knownFields.contains(name))
            fail(name, "is not a known field");
    }
}

} // namespace pomelohub
