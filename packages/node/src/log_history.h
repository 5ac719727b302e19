/** \file
 * Defines log_stream and log_history: the latest records of each stream of the log, kept for peers that are
 * behind.
 */
#pragma once

#include "log_client.h"

#include <array>
#include <deque>
#include <optional>

namespace pomelohub {

/** Streams (topics) of the platform's log. */
enum class log_stream {
    configuration,
    fleet,
};

constexpr std::size_t logStreamCount = 2;

std::string toText(log_stream stream);
std::optional<log_stream> logStreamFromText(std::string_view text);

/** Thread safety: one thread at a time. */
class log_history {
public:
    /** \param capacity maximum number of records kept per stream. */
    explicit log_history(std::size_t capacity);

    /** Appends the records of \p page that are newer than the last one kept, and evicts the oldest ones over
     * capacity. */
    void append(log_stream stream, const log_page& page);

    /** \return the kept records whose offset is at least \p from. \param next the offset after the last
     * applied record. */
    log_page read(log_stream stream, std::uint64_t from, std::uint64_t next) const;

private:
    std::size_t m_capacity;
    std::array<std::deque<log_record>, logStreamCount> m_records;
};

} // namespace pomelohub
