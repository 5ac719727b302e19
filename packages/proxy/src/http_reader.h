/** \file
 * Defines http_reader, an incremental parser that assembles complete HTTP/1.1 messages from a byte stream.
 */
#pragma once

#include "http_message.h"

#include <http_parser.h>

namespace pomelohub {

/** Size limits for incoming messages. */
struct http_reader_limits {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 67'108'864;
};

/** Why parsing stopped. */
enum class http_read_error {
    none,
    malformed,
    headersTooLarge,
    bodyTooLarge,
};

/** What a call of http_reader::read() has found. */
struct http_read_result {
    std::size_t consumedBytes = 0; ///< Of the input; the rest belongs to the next messages.
    std::optional<http_message> message; ///< The message that ends with the bytes consumed, if one does.
    http_read_error error = http_read_error::none;
};

/** Parses one message at a time and returns it, so that its processing begins after the parse has ended and
 * may use the connection, its buffers and the reader itself.
 * Rejects bare line feeds, folded fields, repeated Content-Length fields, and Content-Length together with
 * Transfer-Encoding: parsers may disagree about where such a message ends, which allows request smuggling.
 * Thread safety: one thread at a time. */
class http_reader {
public:
    /** Questions of the parser. They must not use the reader. */
    struct hooks {
        /** Returns whether the current response has no body because it responds to a HEAD request. May be
         * unset. */
        std::function<bool()> isBodiless = nullptr;
        /** Makes the body of a message, empty, before its first byte. May be unset. */
        std::function<message_body()> makeBody = nullptr;
    };

    http_reader(http_parser_type type, http_reader_limits limits, hooks hooks);
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;

    /** Parses \p bytes up to the end of the present message, or all of them if it does not end there. After
     * an error, further input is not read, and the result has the first error. */
    http_read_result read(std::string_view bytes);

    /** Signals the end of the stream. \return the message that it ends: one whose length is given by the end
     * of the connection. */
    std::optional<http_message> finish();

    /** Whether the sender of the present message has asked with "Expect: 100-continue" whether to send its
     * body, of which nothing has been received, and this was not called for it before. */
    bool takeContinueExpectation();

    /** Whether a message has been received in part. */
    bool isInMessage() const { return m_isInMessage; }
    bool isInHead() const { return m_isInMessage && !m_isHeadComplete; }

    /** Number of bytes of the head of the present message that have been received; zero between messages. */
    std::size_t headBytes() const { return m_headBytes; }

    /** Number of bytes of the body of the present message that have been received. */
    std::size_t bodyBytes() const { return m_message.body.size(); }

    /** Number of bytes of its body that are to come, if its length is known. */
    std::optional<std::size_t> remainingBodyBytes() const;

    /** Moves out what has been received of the present message. Precondition: read() is not called any more.
     */
    http_message takePartialMessage() { return std::exchange(m_message, {}); }

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
    std::size_t parseUntilMessageEnd(std::string_view bytes);
    bool isHeadWellFormed() const;
    bool isStatusLineWellFormed() const;
    bool hasValidLineEnds(std::string_view bytes);

    http_parser m_parser {};
    http_reader_limits m_limits;
    hooks m_hooks;
    http_message m_message;
    std::optional<http_message> m_completeMessage; ///< Until read() or finish() returns it.
    http_read_error m_error = http_read_error::none;
    std::size_t m_headBytes = 0;
    std::string m_statusLineStart; ///< Of a response, up to the byte after its status.
    bool m_isInMessage = false;
    bool m_isHeadComplete = false;
    bool m_hasFieldValue = false;
    bool m_isContinueExpected = false;
    char m_lastByte = 0;
};

} // namespace pomelohub
