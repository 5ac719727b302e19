/** \file
 * Defines log_client, which speaks the published protocol of the platform's append-only log (see
 * docs/PLATFORM.md). Another log takes its place through the hooks of log_access.
 */
#pragma once

#include "core_types.h"

#include <tl/expected.hpp>

#include <vector>

namespace pomelohub {

struct log_record {
    std::uint64_t offset = 0;
    std::string data;
};

/** What a read found. */
struct log_page {
    std::uint64_t first = 0; ///< Offset of the oldest record that is still kept.
    std::uint64_t next = 0; ///< Offset that the next append will get.
    std::vector<log_record> records;
};

enum class log_failure {
    unreachable, ///< Nothing was sent.
    unknown, ///< The append may have taken effect.
    refused, ///< The log answered and did not append.
};

struct log_error {
    log_failure failure = log_failure::unreachable;
    std::string detail;
};

struct log_read_request {
    std::string stream;
    std::uint64_t from = 0;
    std::size_t limit = 0;
    std::chrono::milliseconds wait { 0 }; ///< How long to wait for a record when there is none.
};

/** How the system reaches the log. Each hook blocks; thread safety: called from any thread. */
struct log_access {
    std::function<tl::expected<std::uint64_t, log_error>(const std::string& stream, const std::string& data)>
        append;
    std::function<tl::expected<log_page, log_error>(const log_read_request& request)> read;
};

/** Access over HTTP to the log at \p address ("host:port"). */
log_access makeHttpLogAccess(const std::string& address, std::chrono::milliseconds timeout);

} // namespace pomelohub
