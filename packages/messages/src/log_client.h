/** \file
 * Defines log_access, the interface to the platform's append-only log, and its client for the published HTTP
 * protocol (see docs/PLATFORM.md). Another log can be used through other hooks in log_access.
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

/** The result of a read. */
struct log_page {
    std::uint64_t first = 0; ///< Offset of the oldest retained record.
    std::uint64_t next = 0; ///< Offset that the next appended record will get.
    std::vector<log_record> records;
};

enum class log_failure {
    unreachable, ///< No connection was made, so nothing was sent.
    unknown, ///< The outcome is unknown: an append may have taken effect.
    refused, ///< The log responded, and nothing was appended.
};

struct log_error {
    log_failure failure = log_failure::unreachable;
    std::string detail;
};

struct log_read_request {
    std::string stream;
    std::uint64_t from = 0;
    std::size_t limit = 0;
    std::chrono::milliseconds wait { 0 }; ///< Maximum wait for a record when there is none (long poll).
};

/** The operations of the log. Each hook blocks until it has a result. Thread safety: any thread. */
struct log_access {
    std::function<tl::expected<std::uint64_t, log_error>(const std::string& stream, const std::string& data)>
        append;
    std::function<tl::expected<log_page, log_error>(const log_read_request& request)> read;
};

/** Makes a client of the log at \p address ("host:port") over HTTP. Connecting, reading and writing each fail
 * after \p timeout; a read may also last for log_read_request::wait. */
log_access makeHttpLogAccess(const std::string& address, std::chrono::milliseconds timeout);

} // namespace pomelohub
