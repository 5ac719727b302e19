/** \file
 * Defines event_log, an asynchronous logger that writes structured events as JSON lines to standard output.
 * A slow reader of standard output never blocks the caller: lines are dropped instead.
 */
#pragma once

#include "core_types.h"

#include <atomic>
#include <initializer_list>
#include <memory>
#include <vector>

namespace spdlog {
class logger;
}

namespace pomelohub {

class stdout_sink;

/** One field of a log line, already encoded as JSON; numbers and booleans are written without quotes. */
struct event_field {
    event_field(std::string_view name, std::string_view value);
    event_field(std::string_view name, const char* value)
        : event_field(name, std::string_view(value))
    {
    }
    event_field(std::string_view name, std::uint64_t value);
    event_field(std::string_view name, std::uint32_t value)
        : event_field(name, static_cast<std::uint64_t>(value))
    {
    }
    event_field(std::string_view name, int value);
    event_field(std::string_view name, bool value);
    event_field(
        std::string_view name, duration value); ///< Written in milliseconds; "_ms" is appended to the name.

    std::string text;
};

/** Decides whether a line is subject to rate limiting or sampling. */
enum class event_priority {
    always, ///< Starts, stops and changes of state. Not rate limited; only dropped when the queue overflows.
    failure, ///< A request that was refused, retried or failed. Rate limited per second.
    routine, ///< A request that succeeded. Sampled by request id, so that all nodes log the same requests.
};

struct event_log_policy {
    std::size_t maxQueuedLines = 4096; ///< Bounds memory use while standard output is not being read.
    std::uint32_t maxFailureLinesPerSecond = 200; ///< Lines beyond this limit are counted as dropped.
    std::uint32_t routineSampleInterval = 16; ///< One in this many routine requests is logged.
    duration maxCloseTime = std::chrono::milliseconds(200); ///< For the reader to take the last lines.
};

/** The logging thread is shared by the process, so at most one event_log may exist at a time. Thread safety:
 * any thread. */
class event_log {
public:
    event_log(node_id node, event_log_policy policy, clock_hook clock);

    /** Gives the reader of standard output a short time to take the last lines. */
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /** Writes \p event as a JSON object on one line. \param request is empty for events that don't concern a
     * single request. */
    void write(event_priority priority, std::string_view event, const request_id& request,
        std::initializer_list<event_field> values);

    /** Number of lines dropped by the rate limit. Lines that were lost because the queue was full are not
     * included; the "lines_dropped_before" field of the log counts both. */
    std::uint64_t droppedCount() const { return m_dropped; }

    /** Flushes the lines written so far. Called when the process shuts down. */
    void flush();

private:
    bool mayWrite(event_priority priority, const request_id& request, instant now);

    node_id m_node;
    event_log_policy m_policy;
    clock_hook m_clock;
    std::shared_ptr<stdout_sink> m_sink;
    std::shared_ptr<spdlog::logger> m_logger;
    std::atomic<std::int64_t> m_currentSecond { 0 };
    std::atomic<std::uint32_t> m_failureLinesInSecond { 0 };
    std::atomic<std::uint64_t> m_dropped { 0 };
    std::atomic<std::uint64_t> m_reportedDropped { 0 };
};

} // namespace pomelohub
