#include "http_reader.h"

#include <climits>

namespace pomelohub {

namespace {

    http_reader& readerOf(http_parser* parser) { return *static_cast<http_reader*>(parser->data); }

    /** Length of "HTTP/1.1 200" and the byte after it. */
    constexpr std::size_t statusLineStartBytes = 13;
    constexpr int minStatus = 100;
    constexpr int switchingProtocols = 101; // Never asked for.

    constexpr int skipBody
        = 1; // Returned to http_parser from on_headers_complete if the response has no body.

} // namespace

const http_parser_settings& http_reader::parserSettings()
{
    static const http_parser_settings settings = [] {
        http_parser_settings s;
        http_parser_settings_init(&s);
        s.on_message_begin = onMessageBegin;
        s.on_url = onUrl;
        s.on_status = onStatus;
        s.on_header_field = onFieldName;
        s.on_header_value = onFieldValue;
        s.on_headers_complete = onHeadersComplete;
        s.on_body = onBody;
        s.on_message_complete = onMessageComplete;
        return s;
    }();
    return settings;
}

http_reader::http_reader(http_parser_type type, http_reader_limits limits, hooks hooks)
    : m_limits(limits)
    , m_hooks(std::move(hooks))
{
    http_parser_init(&m_parser, type);
    m_parser.data = this;
}

int http_reader::fail(http_read_error error)
{
    if (m_error == http_read_error::none)
        m_error = error;
    return -1;
}

// http_parser accepts a bare line feed as the end of a line; other parsers don't.
bool http_reader::hasValidLineEnds(std::string_view bytes)
{
    auto last = m_lastByte;
    for (char c : bytes) {
        if (c == '\n' && last != '\r')
            return false;
        if (c == '\0')
            return false;
        last = c;
    }
    return true;
}

http_read_result http_reader::read(std::string_view bytes)
{
    http_read_result result;
    result.consumedBytes = parseUntilMessageEnd(bytes);
    result.message = std::exchange(m_completeMessage, std::nullopt);
    result.error = m_error;
    return result;
}

/** \return the number of bytes parsed. */
std::size_t http_reader::parseUntilMessageEnd(std::string_view bytes)
{
    auto size = bytes.size();
    // While headers are being read, input is parsed line by line. This confines the line-end checks to the
    // headers and makes their size known.
    while (!bytes.empty() && !m_completeMessage && m_error == http_read_error::none) {
        auto part = bytes;
        if (!m_isHeadComplete) {
            if (auto end = bytes.find('\n'); end != std::string_view::npos)
                part = bytes.substr(0, end + 1);
            bool isFolded = m_lastByte == '\n' && m_headBytes > 0 && (part[0] == ' ' || part[0] == '\t');
            if (isFolded || !hasValidLineEnds(part)) {
                fail(http_read_error::malformed);
                break;
            }
            if (m_parser.type == HTTP_RESPONSE && m_statusLineStart.size() < statusLineStartBytes)
                m_statusLineStart.append(part.substr(0, statusLineStartBytes - m_statusLineStart.size()));
            m_headBytes += part.size();
            if (m_headBytes > m_limits.maxHeaderBytes) {
                fail(http_read_error::headersTooLarge);
                break;
            }
        }
        auto consumed = http_parser_execute(&m_parser, &parserSettings(), part.data(), part.size());
        if (HTTP_PARSER_ERRNO(&m_parser) == HPE_PAUSED) {
            http_parser_pause(&m_parser, 0);
        } else if (HTTP_PARSER_ERRNO(&m_parser) != HPE_OK || m_parser.upgrade) {
            fail(http_read_error::malformed);
            break;
        }
        if (consumed > 0)
            m_lastByte = part[consumed - 1];
        bytes.remove_prefix(consumed);
    }
    return size - bytes.size();
}

std::optional<http_message> http_reader::finish()
{
    if (m_error != http_read_error::none || !m_isInMessage)
        return std::nullopt;
    http_parser_execute(&m_parser, &parserSettings(), nullptr, 0);
    return std::exchange(m_completeMessage, std::nullopt);
}

bool http_reader::takeContinueExpectation()
{
    return std::exchange(m_isContinueExpected, false) && m_isInMessage && m_message.body.empty();
}

std::optional<std::size_t> http_reader::remainingBodyBytes() const
{
    bool isChunked = (m_parser.flags & F_CHUNKED) != 0;
    if (isChunked || m_parser.content_length == ULLONG_MAX)
        return std::nullopt;
    return m_parser.content_length;
}

int http_reader::onMessageBegin(http_parser* parser)
{
    auto& reader = readerOf(parser);
    reader.m_message = {};
    reader.m_isInMessage = true;
    reader.m_isHeadComplete = false;
    reader.m_hasFieldValue = false;
    reader.m_isContinueExpected = false;
    return 0;
}

int http_reader::onUrl(http_parser* parser, const char* at, std::size_t length)
{
    readerOf(parser).m_message.target.append(at, length);
    return 0;
}

int http_reader::onStatus(http_parser* parser, const char* at, std::size_t length)
{
    readerOf(parser).m_message.reason.append(at, length);
    return 0;
}

int http_reader::onFieldName(http_parser* parser, const char* at, std::size_t length)
{
    auto& reader = readerOf(parser);
    if (reader.m_isHeadComplete)
        return 0; // Trailers are dropped.
    if (reader.m_hasFieldValue || reader.m_message.fields.empty()) {
        reader.m_message.fields.emplace_back();
        reader.m_hasFieldValue = false;
    }
    reader.m_message.fields.back().name.append(at, length);
    return 0;
}

int http_reader::onFieldValue(http_parser* parser, const char* at, std::size_t length)
{
    auto& reader = readerOf(parser);
    reader.m_hasFieldValue = true;
    if (!reader.m_isHeadComplete && !reader.m_message.fields.empty())
        reader.m_message.fields.back().value.append(at, length);
    return 0;
}

bool http_reader::isHeadWellFormed() const
{
    std::size_t lengths = 0;
    std::size_t encodings = 0;
    std::size_t hosts = 0;
    for (const auto& [name, value] : m_message.fields) {
        // http_parser accepts spaces in field names, so it could miss a length field that another parser
        // sees.
        if (name.empty() || name.find_first_of(" \t") != std::string::npos)
            return false;
        lengths += equalsIgnoringCase(name, "content-length") ? 1 : 0;
        hosts += equalsIgnoringCase(name, "host") ? 1 : 0;
        if (equalsIgnoringCase(name, "transfer-encoding")) {
            ++encodings;
            if (!equalsIgnoringCase(value, "chunked"))
                return false;
        }
    }
    if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0))
        return false;
    return m_parser.type == HTTP_RESPONSE || hosts == 1;
}

// http_parser accepts statuses with fewer or more than three digits.
bool http_reader::isStatusLineWellFormed() const
{
    constexpr std::size_t statusAt = 9;
    constexpr std::size_t statusEnd = 12;
    if (m_statusLineStart.size() < statusLineStartBytes)
        return false;
    auto status = std::string_view(m_statusLineStart).substr(statusAt, statusEnd - statusAt);
    bool hasOtherCharacters = status.find_first_not_of("0123456789") != std::string_view::npos;
    auto next = m_statusLineStart[statusEnd];
    return !hasOtherCharacters && (next == ' ' || next == '\r') && m_parser.status_code >= minStatus
        && m_parser.status_code != switchingProtocols;
}

int http_reader::onHeadersComplete(http_parser* parser)
{
    auto& reader = readerOf(parser);
    reader.m_isHeadComplete = true;
    if (!reader.isHeadWellFormed())
        return reader.fail(http_read_error::malformed);
    if (parser->content_length != ULLONG_MAX && parser->content_length > reader.m_limits.maxBodyBytes)
        return reader.fail(http_read_error::bodyTooLarge);
    if (parser->type == HTTP_REQUEST) {
        reader.m_message.method = http_method_str(static_cast<http_method>(parser->method));
        auto expects = reader.m_message.field("expect");
        reader.m_isContinueExpected = expects && equalsIgnoringCase(*expects, "100-continue");
        return 0;
    }
    if (!reader.isStatusLineWellFormed())
        return reader.fail(http_read_error::malformed);
    reader.m_message.status = parser->status_code;
    return reader.m_hooks.isBodiless && reader.m_hooks.isBodiless() ? skipBody : 0;
}

int http_reader::onBody(http_parser* parser, const char* at, std::size_t length)
{
    auto& reader = readerOf(parser);
    if (reader.m_message.body.size() + length > reader.m_limits.maxBodyBytes)
        return reader.fail(http_read_error::bodyTooLarge);
    if (reader.m_message.body.empty() && reader.m_hooks.makeBody)
        reader.m_message.body = reader.m_hooks.makeBody();
    reader.m_message.body.append({ at, length });
    return 0;
}

int http_reader::onMessageComplete(http_parser* parser)
{
    auto& reader = readerOf(parser);
    reader.m_message.isKeepAlive = http_should_keep_alive(parser) != 0;
    reader.m_isInMessage = false;
    reader.m_isHeadComplete = false;
    reader.m_headBytes = 0;
    reader.m_statusLineStart.clear();
    // Pause, so that the next message is parsed by a separate call and its headers are checked from the first
    // byte.
    http_parser_pause(parser, 1);
    reader.m_completeMessage = std::exchange(reader.m_message, {});
    return 0;
}

} // namespace pomelohub
