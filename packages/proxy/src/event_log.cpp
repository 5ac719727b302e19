#include "event_log.h"

#include "hashing.h"
#include "stdout_sink.h"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/spdlog.h>

#include <unistd.h>

namespace pomelohub {

namespace {

    std::string jsonString(std::string_view text)
    {
        return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    std::string jsonKey(std::string_view name) { return ",\"" + std::string(name) + "\":"; }

} // namespace

event_field::event_field(std::string_view name, std::string_view value)
    : text(jsonKey(name) + jsonString(value))
{
}

event_field::event_field(std::string_view name, std::uint64_t value)
    : text(jsonKey(name) + std::to_string(value))
{
}

event_field::event_field(std::string_view name, int value)
    : text(jsonKey(name) + std::to_string(value))
{
}

event_field::event_field(std::string_view name, bool value)
    : text(jsonKey(name) + (value ? "true" : "false"))
{
}

event_field::event_field(std::string_view name, duration value)
    : text(jsonKey(std::string(name) + "_ms")
        + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count()))
{
}

event_log::event_log(node_id node, event_log_policy policy, clock_hook clock)
    : m_node(std::move(node))
    , m_policy(policy)
    , m_clock(std::move(clock))
{
    spdlog::init_thread_pool(policy.maxQueuedLines, 1);
    m_sink = std::make_shared<stdout_sink>(STDOUT_FILENO, m_clock);
    m_logger = std::make_shared<spdlog::async_logger>(
        "events", m_sink, spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    m_logger->set_pattern("%v");
    m_logger->flush_on(spdlog::level::info);
}

event_log::~event_log()
{
    m_sink->close(m_clock().monotonic + m_policy.maxCloseTime);
    // Stop the logging thread before the sink it writes to is destroyed.
    spdlog::shutdown();
    m_logger.reset();
}

bool event_log::mayWrite(event_priority priority, const request_id& request, instant now)
{
    if (priority == event_priority::routine)
        return stableHash(request.text()) % m_policy.routineSampleInterval == 0;
    auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (m_currentSecond.exchange(second) != second)
        m_failureLinesInSecond = 0;
    if (priority == event_priority::always)
        return true;
    if (++m_failureLinesInSecond <= m_policy.maxFailureLinesPerSecond)
        return true;
    ++m_dropped;
    return false;
}

void event_log::write(event_priority priority, std::string_view event, const request_id& request,
    std::initializer_list<event_field> values)
{
    auto now = m_clock();
    if (!mayWrite(priority, request, now.monotonic))
        return;
    std::string line = "{\"time\":" + std::to_string(now.wall.time_since_epoch().count())
        + ",\"node\":" + jsonString(m_node.text()) + ",\"event\":\"" + std::string(event) + "\"";
    if (!request.empty())
        line += ",\"request\":" + jsonString(request.text());
    for (const auto& value : values)
        line += value.text;
    auto dropped = m_dropped + spdlog::thread_pool()->overrun_counter();
    if (auto reported = m_reportedDropped.exchange(dropped); dropped > reported)
        line += ",\"lines_dropped_before\":" + std::to_string(dropped - reported);
    line += "}";
    m_logger->info(spdlog::string_view_t(line));
}

void event_log::flush() { m_logger->flush(); }

} // namespace pomelohub
