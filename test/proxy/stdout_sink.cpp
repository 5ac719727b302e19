/** \file
 * The log's sink, with a pipe in the place of standard output.
 */
#include "stdout_sink.h"

#include "full_pipe.h"
#include "system_clock.h"

#include <spdlog/details/log_msg.h>

#include <string>
#include <thread>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

void log(stdout_sink& sink, std::string_view text)
{
    sink.log(
        spdlog::details::log_msg("", spdlog::level::info, spdlog::string_view_t(text.data(), text.size())));
}

std::string readAvailable(int descriptor)
{
    std::string text(1 << 20, '\0');
    auto length = read(descriptor, text.data(), text.size());
    text.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
    return text;
}

} // namespace

// Guards against a process that cannot end because its log waits for a reader.
TEST_CASE("A sink that waits for its reader ends the wait when it is closed")
{
    full_pipe pipe;
    stdout_sink sink(pipe.writer(), readSystemClock);
    std::atomic<bool> isLogged = false;
    std::thread logger([&] {
        log(sink, "line");
        isLogged = true;
    });
    std::this_thread::sleep_for(50ms);
    CHECK_FALSE(isLogged);
    auto start = readSystemClock().monotonic;
    sink.close(start + 100ms);
    logger.join();
    CHECK(readSystemClock().monotonic - start >= 100ms);
    for (int i = 0; i < 1000; ++i)
        log(sink, "later lines are discarded without waiting");
    CHECK(readSystemClock().monotonic - start < 5s);
}

TEST_CASE("A sink writes its last lines if its reader takes them before the end")
{
    full_pipe pipe;
    stdout_sink sink(pipe.writer(), readSystemClock);
    sink.set_pattern("%v");
    sink.close(readSystemClock().monotonic + 20s);
    std::thread logger([&] { log(sink, std::string(10'000, 'a') + "end"); });
    std::string text;
    while (!text.ends_with("end\n"))
        text += readAvailable(pipe.reader());
    logger.join();
    CHECK(text.find(std::string(10'000, 'a') + "end") != std::string::npos);
}
