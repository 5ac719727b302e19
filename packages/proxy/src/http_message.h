/** \file
 * Defines http_message, one HTTP/1.1 request or answer as a whole, and its text form.
 */
#pragma once

#include "core_types.h"

#include <optional>
#include <vector>

namespace pomelohub {

struct http_field {
    std::string name;
    std::string value;
};

/** Thread safety: none; a message belongs to one request at a time. */
struct http_message {
    std::string method; ///< Of a request.
    std::string target; ///< Of a request.
    int status = 0; ///< Of an answer.
    std::string reason; ///< Of an answer.
    std::vector<http_field> fields; ///< In the order of arrival.
    std::string body;
    bool keepsConnection = true; ///< The sender will read or write another message on this connection.

    /** The value of the first field \p name, compared without case, or nothing. */
    std::optional<std::string_view> field(std::string_view name) const;
    bool hasField(std::string_view name) const { return field(name).has_value(); }

    /** Removes every field \p name. */
    void removeField(std::string_view name);

    /** Replaces every field \p name by one. */
    void setField(std::string_view name, std::string value);

    /** The target without its query. */
    std::string_view path() const;
};

/** Removes the fields that concern one connection only, those named by Connection included. */
void removeConnectionFields(http_message& message);

/** Whether \p left and \p right are equal without regard to the case of ASCII letters. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/** Text of a request with its body. Content-Length is set from the body. */
std::string requestText(const http_message& message);

/** Text of an answer with its body. \param close announces the end of the connection. \param bodiless for an
 * answer to HEAD, which has a length but no body. */
std::string answerText(const http_message& message, bool close, bool bodiless);

/** An answer with a JSON or plain text body. */
http_message makeAnswer(int status, std::string body, std::string_view contentType = "application/json");

/** The standard reason phrase of \p status. */
std::string_view reasonPhrase(int status);

} // namespace pomelohub
