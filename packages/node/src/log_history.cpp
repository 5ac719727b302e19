#include "log_history.h"

namespace pomelohub {

std::string toText(log_stream stream)
{
    return stream == log_stream::configuration ? "configuration" : "fleet";
}

std::optional<log_stream> logStreamFromText(std::string_view text)
{
    for (auto stream : { log_stream::configuration, log_stream::fleet }) {
        if (toText(stream) == text)
            return stream;
    }
    return std::nullopt;
}

log_history::log_history(std::size_t capacity)
    : m_capacity(capacity)
{
}

void log_history::append(log_stream stream, const log_page& page)
{
    auto& kept = m_records.at(static_cast<std::size_t>(stream));
    for (const auto& record : page.records) {
        if (kept.empty() || record.offset > kept.back().offset)
            kept.push_back(record);
    }
    while (kept.size() > m_capacity)
        kept.pop_front();
}

log_page log_history::read(log_stream stream, std::uint64_t from, std::uint64_t next) const
{
    const auto& kept = m_records.at(static_cast<std::size_t>(stream));
    log_page page;
    page.first = kept.empty() ? next : kept.front().offset;
    page.next = next;
    for (const auto& record : kept) {
        if (record.offset >= from)
            page.records.push_back(record);
    }
    return page;
}

} // namespace pomelohub
