/** \file
 * Defines checked_document and checked_object, which read and validate settings and resources in JSON with
 * comments. Every invalid, missing, unknown or out-of-range field is collected with its path and line.
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

/** A validation error in a document. */
struct field_error {
    std::string path; ///< JSON pointer to the field; empty for the document itself.
    std::size_t line = 0; ///< Line number, starting at 1; 0 if unknown.
    std::string message;
};

/** Formats \p error as "line 3: /keys/0: must be ...", without the line if it is unknown. */
std::string toText(const field_error& error);

/** A parsed document with the line number of each value and the errors found so far. Thread safety: one
 * thread at a time. */
class checked_document {
public:
    /** Parses JSON with comments. Invalid JSON results in a single error and a null root. */
    static checked_document parse(const std::string& text);

    /** Makes a document from JSON that was parsed elsewhere; its errors have no line number. */
    static checked_document wrap(nlohmann::json root);

    const nlohmann::json& root() const { return m_root; }
    /** Adds an error for the value at the JSON pointer \p path. */
    void fail(const std::string& path, std::string message);
    const std::vector<field_error>& errors() const { return m_errors; }
    bool isValid() const { return m_errors.empty(); }

private:
    nlohmann::json m_root;
    std::map<std::string, std::size_t> m_lines;
    std::vector<field_error> m_errors;
};

/** The allowed range of a number, both ends included. */
struct number_range {
    double min = 0;
    double max = 0;
};

/** Reads the fields of a JSON object and adds an error to the document for each invalid one. Thread safety:
 * one thread at a time. */
class checked_object {
public:
    /** \param document must outlive this object, as must \p value. \param path JSON pointer to \p value. */
    checked_object(checked_document& document, const nlohmann::json& value, std::string path);

    bool isObject() const { return m_value.is_object(); }
    std::string text(const std::string& name, bool isRequired = true, const std::string& fallback = "");
    double number(const std::string& name, number_range range, std::optional<double> fallback = {});
    std::int64_t integer(
        const std::string& name, number_range range, std::optional<std::int64_t> fallback = {});
    bool boolean(const std::string& name, std::optional<bool> fallback = {});
    std::vector<std::string> texts(const std::string& name, bool isRequired = true);

    /** The object in field \p name. A missing field reads as an empty object, and is an error if it is
     * required. */
    checked_object object(const std::string& name, bool isRequired = true);

    /** The objects in the array in field \p name. */
    std::vector<checked_object> objects(const std::string& name, bool isRequired = true);

    bool has(const std::string& name) const { return m_value.is_object() && m_value.contains(name); }
    /** Adds an error for field \p name. A missing field is reported at the path of this object. */
    void fail(const std::string& name, const std::string& message);

    /** Adds an error for each field that has not been read yet. Must be called after all fields were read. */
    void rejectUnknownFields();

private:
    const nlohmann::json* find(const std::string& name, bool isRequired);

    checked_document& m_document;
    const nlohmann::json& m_value;
    std::string m_path;
    std::set<std::string> m_knownFields;
};

} // namespace pomelohub
