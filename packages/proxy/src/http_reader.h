/** \file
 * Defines http_reader, which takes whole HTTP/1.1 messages out of the bytes of one connection.
 */
#pragma once

#include "http_message.h"

#include <http_parser.h>

namespace pomelohub {

/** What a sender may send. */
struct http_reader_limits {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 67'108'864;
};

/** Why the bytes cannot be read on. */
enum class http_read_error {
    none,
    malformed,
    headTooLarge,
    bodyTooLarge,
};

/** Strict: refuses bare line feeds, folded fields, several lengths, and lengths beside chunks, since two
 * readers may disagree about where such a message ends. Thread safety: one thread at a time. */
class http_reader {
public:
    struct hooks {
        /** A whole message arrived. */
        std::function<void(http_message&&)> message;
        /** The head of a request arrived whose sender waits for a sign to send the body. */
        std::function<void()> continueExpected;
        /** Whether the answer that is read next belongs to a HEAD request, so has no body. */
        std::function<bool()> isBodiless;
    };

    http_reader(http_parser_type type, http_reader_limits limits, hooks hooks);
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;

    /** Takes in \p bytes and calls the hooks. After an error nothing more is read. */
    http_read_error read(std::string_view bytes);

    /** The sender ended the connection. \return whether that ends a message properly or lies between two. */
    bool finish();

    /** Whether part of a message has arrived. */
    bool isInMessage() const { return m_isInMessage; }
    bool isInHead() const { return m_isInMessage && !m_isHeadComplete; }

private:
    static const http_parser_settings& parserSettings();
    static int onMessageBegin(http_parser* parser);
    static int onUrl(http_parser* parser, const char* at, std::size_t length);
    static int onStatus(http_parser* parser, const char* at, std::size_t length);
    static int onFieldName(http_parser* parser, const char* at, std::size_t length);
    static int onFieldValue(http_parser* parser, const char* at, std::size_t length);
    static int onHeadersComplete(http_parser* parser);
    static int onBody(http_parser* parser, const char* at, std::size_t length);
    static int onMessageComplete(http_parser* parser);

    int fail(http_read_error error);
    bool isHeadWellFormed() const;
    bool checkLineEnds(std::string_view bytes);

    http_parser m_parser {};
    http_reader_limits m_limits;
    hooks m_hooks;
    http_message m_message;
    http_read_error m_error = http_read_error::none;
    std::size_t m_headBytes = 0;
    bool m_isInMessage = false;
    bool m_isHeadComplete = false;
    bool m_wasValue = false;
    char m_lastByte = 0;
};

} // namespace pomelohub
