#include "stdout_sink.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace pomelohub {

stdout_sink::stdout_sink(int descriptor, clock_hook clock)
    : m_descriptor(descriptor)
    , m_wakeup(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    , m_clock(std::move(clock))
{
}

stdout_sink::~stdout_sink() { ::close(m_wakeup); }

void stdout_sink::close(instant end)
{
    m_end = end;
    eventfd_write(m_wakeup, 1);
}

void stdout_sink::sink_it_(const spdlog::details::log_msg& message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    write({ line.data(), line.size() });
}

/** \return whether PIPE_BUF bytes can be written without waiting. */
bool stdout_sink::waitForRoom()
{
    for (;;) {
        auto end = m_end.load();
        int timeout = -1;
        if (end != instant::max()) {
            auto left = std::chrono::ceil<std::chrono::milliseconds>(end - m_clock().monotonic);
            timeout = static_cast<int>(std::clamp<std::chrono::milliseconds::rep>(left.count(), 0, INT_MAX));
        }
        std::array<pollfd, 2> events { pollfd { m_descriptor, POLLOUT, 0 }, pollfd { m_wakeup, POLLIN, 0 } };
        // The event counter is not reset: once the sink is closing, the timeout alone ends the wait.
        auto count = poll(events.data(), end == instant::max() ? 2 : 1, timeout);
        if (count < 0 && errno != EINTR)
            return false;
        if (count > 0 && events[0].revents != 0)
            return (events[0].revents & POLLOUT) != 0;
        if (count == 0 && timeout >= 0)
            return false;
    }
}

void stdout_sink::write(std::string_view text)
{
    while (!text.empty()) {
        if (!waitForRoom())
            return;
        auto written = ::write(m_descriptor, text.data(), std::min<std::size_t>(text.size(), PIPE_BUF));
        if (written < 0 && errno != EINTR && errno != EAGAIN)
            return;
        if (written > 0)
            text.remove_prefix(static_cast<std::size_t>(written));
    }
}

} // namespace pomelohub
