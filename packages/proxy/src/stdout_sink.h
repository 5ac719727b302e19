/** \file
 * Defines stdout_sink, which writes log lines to standard output and never waits for its reader for longer
 * than the process lives.
 */
#pragma once

#include "core_types.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <atomic>
#include <string_view>

namespace pomelohub {

/** Standard output may be a pipe that nobody reads. The sink waits for room before it writes, so that close()
 * can end the wait; a blocked write could not be ended. Thread safety: log() on one thread at a time, close()
 * on any. */
class stdout_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    /** \param descriptor of standard output, or of what takes its place; it stays open. */
    stdout_sink(int descriptor, clock_hook clock);
    ~stdout_sink() override;
    stdout_sink(const stdout_sink&) = delete;
    stdout_sink& operator=(const stdout_sink&) = delete;

    /** Gives the reader until \p end to take what is logged; later lines are discarded. */
    void close(instant end);

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override { }

private:
    bool waitForRoom();
    void write(std::string_view text);

    int m_descriptor;
    int m_wakeup; ///< An event counter that interrupts the wait for room.
    clock_hook m_clock;
    std::atomic<instant> m_end { instant::max() };
};

} // namespace pomelohub
