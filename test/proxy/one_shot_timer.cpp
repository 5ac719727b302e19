/** \file
 * A wait that was replaced or cancelled has no effect, even if it had ended before. The loop runs only after
 * all waits are due, as after a suspension of the process.
 */
#include "one_shot_timer.h"

#include "loopback.h"

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

/** A time that is due as soon as the loop runs. */
constexpr duration due = 0s;

} // namespace

TEST_CASE("A wait that was cancelled after its end does not run")
{
    asio::io_context context;
    one_shot_timer first(context);
    one_shot_timer second(context);
    int runs = 0;
    first.startAfter(due, [&] {
        ++runs;
        second.cancel();
    });
    second.startAfter(due, [&] { ++runs; });
    context.run();
    CHECK(runs == 1);
}

TEST_CASE("A wait that was replaced after its end does not run, and the new one runs once")
{
    asio::io_context context;
    one_shot_timer first(context);
    one_shot_timer second(context);
    int replaced = 0;
    int current = 0;
    first.startAfter(due, [&] { second.startAfter(1ms, [&] { ++current; }); });
    second.startAfter(due, [&] { ++replaced; });
    context.run();
    CHECK(replaced == 0);
    CHECK(current == 1);
}

TEST_CASE("A timer may be destroyed after the end of its wait, also by its own callback")
{
    asio::io_context context;
    one_shot_timer first(context);
    auto second = std::make_unique<one_shot_timer>(context);
    auto third = std::make_unique<one_shot_timer>(context);
    int runs = 0;
    first.startAfter(due, [&] { second.reset(); });
    second->startAfter(due, [&] { ++runs; });
    third->startAfter(due, [&] { third.reset(); });
    context.run();
    CHECK(runs == 0);
    CHECK_FALSE(third);
}
