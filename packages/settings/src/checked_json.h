/** \file
 * Defines checked_document and checked_value, by which settings and resources in JSON with comments are read:
 * every wrong, missing, unknown or out-of-range field is collected with its path and line.
 */
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelohub {

/** One fault of a document. */
struct field_error {
    std::string path; ///< JSON pointer, empty for the document itself.
    std::size_t line = 0; ///< Counted from 1; 0 when not known.
    std::string message;
};

/** "line 3: /keys/0: must be ..." */
std::string toText(const field_error& error);

/** A parsed document with the line of each value and the faults found so far. Thread safety: one thread. */
class checked_document {
public:
    /** Parses JSON with comments. A text that is not JSON gives one fault and a null root. */
    static checked_document parse(const std::string& text);

    /** A document that was parsed elsewhere; faults carry no line. */
    static checked_document wrap(nlohmann::json root);

    const nlohmann::json& root() const { return m_root; }
    void fail(const std::string& path, std::string message);
    const std::vector<field_error>& errors() const { return m_errors; }
    bool isValid() const { return m_errors.empty(); }

private:
    nlohmann::json m_root;
    std::map<std::string, std::size_t> m_lines;
    std::vector<field_error> m_errors;
};

/** Allowed values of a number. */
struct number_range {
    double lowest = 0;
    double highest = 0;
};

/** Reads the fields of one JSON object and reports what does not fit. Thread safety: one thread. */
class checked_object {
public:
    /** \param document must outlive this object. */
    checked_object(checked_document& document, const nlohmann::json& value, std::string path);

    bool isObject() const { return m_value.is_object(); }
    std::string text(const std::string& name, bool isRequired = true, const std::string& fallback = "");
    double number(const std::string& name, number_range range, std::optional<double> fallback = {});
    std::int64_t integer(
        const std::string& name, number_range range, std::optional<std::int64_t> fallback = {});
    bool boolean(const std::string& name, std::optional<bool> fallback = {});
    std::vector<std::string> texts(const std::string& name, bool isRequired = true);

    /** The object called \p name; a missing one reads as empty unless it is required. */
    checked_object object(const std::string& name, bool isRequired = true);

    /** The objects of the array called \p name. */
    std::vector<checked_object> objects(const std::string& name, bool isRequired = true);

    bool has(const std::string& name) const { return m_value.is_object() && m_value.contains(name); }
    void fail(const std::string& name, const std::string& message);

    /** Reports each field that was not asked for. Call it last. */
    void rejectUnknown();

private:
    const nlohmann::json* find(const std::string& name, bool isRequired);

    checked_document& m_document;
    const nlohmann::json& m_value;
    std::string m_path;
    std::set<std::string> m_known;
};

} // namespace pomelohub
