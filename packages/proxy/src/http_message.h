/** \file
 * Defines http_message, a complete HTTP/1.1 request or response, and its serialization.
 */
#pragma once

#include "core_types.h"
#include "message_body.h"

#include <optional>
#include <vector>

namespace pomelohub {

struct http_field {
    std::string name;
    std::string value;
};

/** Thread safety: none; a message belongs to one request at a time. */
struct http_message {
    std::string method; ///< Requests only.
    std::string target; ///< Requests only.
    int status = 0; ///< Responses only.
    std::string reason; ///< Responses only.
    std::vector<http_field> fields; ///< In the order of arrival.
    message_body body;
    bool isKeepAlive = true; ///< Whether the sender keeps the connection open after this message.

    /** The value of the first field called \p name (case-insensitive), if any. */
    std::optional<std::string_view> field(std::string_view name) const;
    bool hasField(std::string_view name) const { return field(name).has_value(); }

    /** Removes all fields called \p name. */
    void removeField(std::string_view name);

    /** Replaces all fields called \p name by a single one. */
    void setField(std::string_view name, std::string value);

    /** The target without the query string. */
    std::string_view path() const;
};

/** Removes the hop-by-hop fields, including those listed in the Connection field. */
void removeHopByHopFields(http_message& message);

/** Compares two strings, ignoring the case of ASCII letters. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/** Serializes a request without its body. Content-Length is derived from the body, and left out if the body
 * is empty, except for POST, PUT and PATCH. */
std::string serializeRequestHead(const http_message& message);

/** Number of bytes of the head of a request, without those that only separate its parts. */
std::size_t headBytesOf(const http_message& request);

/** Whether a response with the status of \p message can have a body. */
bool mayHaveBody(const http_message& message);

/** Serializes a response without its body. \param isClosing adds "Connection: close". \param isBodiless
 * leaves the body out and writes the fields of \p message unchanged, including a Content-Length if there is
 * one, as for a response to HEAD. */
std::string serializeResponseHead(const http_message& message, bool isClosing, bool isBodiless);

/** Serializes a response with its body, unless it has none. The parameters are as above. */
std::string serializeResponse(const http_message& message, bool isClosing, bool isBodiless);

/** Makes a response with the given body. Content-Type is only set if the body is not empty. */
http_message makeResponse(int status, std::string body, std::string_view contentType = "application/json");

/** The standard reason phrase for \p status. */
std::string_view reasonPhrase(int status);

} // namespace pomelohub
