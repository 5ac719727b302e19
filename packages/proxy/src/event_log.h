/** \file
 * Defines event_log, structured log lines on standard output that never make the writer wait.
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

/** One named value of a line; numbers are written without quotes. */
struct event_value {
    event_value(std::string_view name, std::string_view value);
    event_value(std::string_view name, const char* value)
        : event_value(name, std::string_view(value))
    {
    }
    event_value(std::string_view name, std::uint64_t value);
    event_value(std::string_view name, std::uint32_t value)
        : event_value(name, static_cast<std::uint64_t>(value))
    {
    }
    event_value(std::string_view name, int value);
    event_value(std::string_view name, bool value);
    event_value(std::string_view name, duration value); ///< In milliseconds.

    std::string text;
};

/** How much a line matters when many are written. */
enum class event_weight {
    always, ///< Start, stop, changed belief; still within the overall bound.
    failure, ///< A request that was refused, retried or failed.
    routine, ///< A request that was served; sampled by its id, alike on all nodes.
};

struct event_log_policy {
    std::size_t queueLines = 4096; ///< Bounds memory while standard output is not read.
    std::uint32_t linesPerSecond = 200; ///< Of failures; more are counted, not written.
    std::uint32_t routineSample = 16; ///< One in so many routine requests is written.
};

/** Thread safety: any thread. */
class event_log {
public:
    event_log(node_id node, event_log_policy policy, clock_hook clock);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /** Writes one JSON object in a line. \param request is empty for events that touch no single request. */
    void write(event_weight weight, std::string_view event, const request_id& request,
        std::initializer_list<event_value> values);

    /** Lines that were not written. */
    std::uint64_t droppedCount() const { return m_dropped; }

    /** Waits until the lines written so far are out. For the end of a process. */
    void flush();

private:
    bool mayWrite(event_weight weight, const request_id& request, instant now);

    node_id m_node;
    event_log_policy m_policy;
    clock_hook m_clock;
    std::shared_ptr<spdlog::logger> m_logger;
    std::atomic<std::int64_t> m_second { 0 };
    std::atomic<std::uint32_t> m_linesInSecond { 0 };
    std::atomic<std::uint64_t> m_dropped { 0 };
    std::atomic<std::uint64_t> m_reported { 0 };
};

} // namespace pomelohub
