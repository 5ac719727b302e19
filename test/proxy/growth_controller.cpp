/** \file
 * Which messages may grow while memory is short: small ones always, large ones one at a time, and none beyond
 * the bound.
 */
#include "growth_controller.h"

#include <doctest/doctest.h>

#include <deque>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kilobyte = 1 << 10;
constexpr std::size_t megabyte = 1 << 20;
constexpr growth_policy policy { 64 * kilobyte, 200ms };

struct growth_fixture {
    /** A message that grows as its controller decides. */
    struct message {
        explicit message(growth_fixture& owner)
            : charge(&owner.account, byte_holder::backendResponse)
        {
            growing.setHooks({ [this] { ++resumes; }, [this] { end(); } });
        }

        void end()
        {
            hasEnded = true;
            charge.resize(0);
        }

        memory_charge charge;
        growing_message growing;
        int resumes = 0;
        bool hasEnded = false;
    };

    memory_account account { { 10 * megabyte, 20 * megabyte } };
    growth_controller controller { account, policy };
    instant now {};
    std::deque<message> messages;

    message& add() { return messages.emplace_back(*this); }

    growth grow(message& target, std::size_t bytes, std::optional<std::size_t> remaining = std::nullopt)
    {
        target.charge.resize(target.charge.bytes() + bytes);
        auto next = controller.recordGrowth(target.growing, target.charge.bytes(), remaining, now);
        return next;
    }
};

} // namespace

TEST_CASE("Messages grow freely while there is memory")
{
    growth_fixture fixture;
    for (int i = 0; i < 4; ++i)
        CHECK(fixture.grow(fixture.add(), 2 * megabyte) == growth::proceed);
    CHECK_FALSE(fixture.controller.hasPaused());
}

TEST_CASE("Large messages grow one at a time while memory is short, that with the fewest bytes left first")
{
    growth_fixture fixture;
    auto& endless = fixture.add();
    auto& longer = fixture.add();
    auto& shorter = fixture.add();
    CHECK(fixture.grow(endless, 4 * megabyte) == growth::proceed);
    CHECK(fixture.grow(longer, 4 * megabyte, 4 * megabyte) == growth::proceed);
    CHECK(fixture.grow(shorter, 4 * megabyte, 2 * megabyte) == growth::proceed);
    CHECK(fixture.grow(endless, kilobyte) == growth::pause);
    CHECK(fixture.grow(longer, kilobyte, 4 * megabyte) == growth::pause);
    fixture.controller.finish(shorter.growing, fixture.now);
    CHECK(longer.resumes == 1);
    CHECK(endless.resumes == 0);
    fixture.controller.finish(longer.growing, fixture.now);
    CHECK(endless.resumes == 1);
}

TEST_CASE("Small messages are received while memory is short, and are not ended for large ones")
{
    growth_fixture fixture;
    auto& large = fixture.add();
    fixture.grow(large, 15 * megabyte);
    for (int i = 0; i < 100; ++i)
        CHECK(fixture.grow(fixture.add(), 4 * kilobyte) == growth::proceed);
    CHECK(fixture.grow(large, 6 * megabyte) == growth::ended);
    CHECK(large.hasEnded);
    for (auto& each : fixture.messages)
        CHECK(each.hasEnded == (&each == &large));
}

TEST_CASE("At the bound the largest message that grows is ended, and the others go on")
{
    growth_fixture fixture;
    auto& largest = fixture.add();
    auto& other = fixture.add();
    fixture.grow(largest, 12 * megabyte);
    CHECK(fixture.grow(other, 4 * megabyte, 5 * megabyte) == growth::proceed);
    CHECK(fixture.grow(other, 4 * megabyte, 1 * megabyte) == growth::proceed);
    CHECK(largest.hasEnded);
    CHECK_FALSE(other.hasEnded);
    CHECK(fixture.account.heldBytes() == 8 * megabyte);
}

TEST_CASE("Large messages wait for complete ones that hold much of the memory, and are not ended for them")
{
    growth_fixture fixture;
    memory_charge complete(&fixture.account, byte_holder::callerRequest);
    complete.resize(15 * megabyte);
    auto& growing = fixture.add();
    CHECK(fixture.grow(growing, 2 * megabyte, 4 * megabyte) == growth::proceed);
    CHECK(fixture.grow(growing, 4 * megabyte, kilobyte) == growth::pause);
    fixture.controller.resumePaused(fixture.now);
    CHECK(growing.resumes == 0);
    complete.resize(12 * megabyte);
    fixture.controller.resumePaused(fixture.now);
    CHECK(growing.resumes == 1);
    CHECK_FALSE(growing.hasEnded);
}

TEST_CASE("However many messages grow without end, the bytes held stay near the bound")
{
    growth_fixture fixture;
    constexpr std::size_t count = 50;
    constexpr std::size_t part = 16 * kilobyte;
    std::vector<growth> decisions(count, growth::proceed);
    for (std::size_t i = 0; i < count; ++i)
        fixture.add();
    for (int round = 0; round < 10'000; ++round) {
        fixture.now += 1ms;
        for (std::size_t i = 0; i < count; ++i) {
            auto& each = fixture.messages[i];
            if (each.hasEnded) { // The next endless message takes its place.
                each.hasEnded = false;
                fixture.controller.finish(each.growing, fixture.now);
            }
            if (!each.growing.isPaused())
                fixture.grow(each, part);
        }
        REQUIRE(fixture.account.heldBytes() <= 20 * megabyte + count * policy.smallMessageBytes);
    }
}

TEST_CASE("A message whose sender has stalled does not hold up the others")
{
    growth_fixture fixture;
    auto& stalled = fixture.add();
    auto& other = fixture.add();
    fixture.grow(stalled, 6 * megabyte, 1 * megabyte);
    fixture.grow(other, 5 * megabyte, 2 * megabyte);
    CHECK(fixture.grow(other, kilobyte, 2 * megabyte) == growth::pause);
    fixture.now += policy.stallTime / 2;
    fixture.controller.resumePaused(fixture.now);
    CHECK(other.resumes == 0);
    fixture.now += policy.stallTime;
    fixture.controller.resumePaused(fixture.now);
    CHECK(other.resumes == 1);
    CHECK(fixture.grow(other, kilobyte, 2 * megabyte) == growth::proceed);
}

TEST_CASE("A response that its receiver does not take is ended before any message that grows")
{
    growth_fixture fixture;
    memory_charge unsentCharge(&fixture.account, byte_holder::unsentResponse);
    unsent_message unsent;
    unsent_message taken;
    bool hasUnsentEnded = false;
    bool hasTakenEnded = false;
    unsent.end = [&] {
        hasUnsentEnded = true;
        unsentCharge.resize(0);
    };
    taken.end = [&] { hasTakenEnded = true; };
    unsentCharge.resize(8 * megabyte);
    fixture.controller.recordUnsent(unsent, 6 * megabyte, true);
    fixture.controller.recordUnsent(taken, 2 * megabyte, false);
    auto& growing = fixture.add();
    CHECK(fixture.grow(growing, 13 * megabyte) == growth::proceed);
    CHECK(hasUnsentEnded);
    CHECK_FALSE(hasTakenEnded);
    CHECK(fixture.grow(growing, 8 * megabyte) == growth::ended);
    CHECK_FALSE(hasTakenEnded);
    fixture.controller.recordUnsent(taken, 0, false);
}

TEST_CASE("A stalled response is also ended while all large messages wait")
{
    growth_fixture fixture;
    memory_charge unsentCharge(&fixture.account, byte_holder::unsentResponse);
    unsent_message unsent;
    unsent.end = [&] { unsentCharge.resize(0); };
    unsentCharge.resize(19 * megabyte);
    fixture.controller.recordUnsent(unsent, 19 * megabyte, false);
    auto& growing = fixture.add();
    CHECK(fixture.grow(growing, 2 * megabyte) == growth::pause);
    fixture.controller.recordUnsent(unsent, 19 * megabyte, true);
    fixture.controller.resumePaused(fixture.now);
    CHECK(unsentCharge.bytes() == 0);
    CHECK(growing.resumes == 1);
    CHECK_FALSE(growing.hasEnded);
}

TEST_CASE("The account says when it is relieved, and counts each holder")
{
    memory_account account({ 100, 200 });
    int reliefs = 0;
    account.addReliefHook([&] { ++reliefs; });
    memory_charge request(&account, byte_holder::callerRequest);
    memory_charge response(&account, byte_holder::backendResponse);
    request.resize(90);
    response.resize(120);
    CHECK(account.isExhausted());
    CHECK(account.heldBytes(byte_holder::callerRequest) == 90);
    response.resize(20);
    CHECK(account.isPressed());
    CHECK(reliefs == 1); // No longer exhausted.
    auto moved = std::move(request);
    moved.resize(10);
    CHECK(reliefs == 2); // No longer pressed.
    moved = {};
    CHECK(account.heldBytes() == 20);
    CHECK(account.heldBytes(byte_holder::callerRequest) == 0);
}

TEST_CASE("The bounds follow the memory of the process")
{
    auto smallest = memory_limits::forProcess(160 * megabyte);
    CHECK(smallest.pauseBytes < smallest.maxBytes);
    // A message of the maximum size may exist twice while its buffer grows or is parsed.
    CHECK(smallest.maxBytes * 2 < 160 * megabyte);
    CHECK(memory_limits::forProcess(320 * megabyte).maxBytes == 2 * smallest.maxBytes);
}

// Guards against a crowd of small requests that are each below the size of those held back.
TEST_CASE(
    "At the bound small requests of callers are held back, their sockets count, and small responses go on")
{
    constexpr std::size_t bufferBytes = 128 * kilobyte;
    growth_fixture fixture;
    auto& complete = fixture.add();
    complete.charge.resize(20 * megabyte);
    auto& request = fixture.add();
    request.growing.allowHoldingBack(bufferBytes);
    CHECK(fixture.grow(request, 4 * kilobyte) == growth::proceed);
    CHECK(fixture.grow(fixture.add(), 16 * kilobyte) == growth::proceed);
    CHECK(fixture.account.heldBytes(byte_holder::receiveBuffer) == 0);
    CHECK(fixture.grow(request, 12 * kilobyte) == growth::pause);
    CHECK(fixture.account.heldBytes(byte_holder::receiveBuffer) == bufferBytes);
    complete.charge.resize(0);
    fixture.controller.resumePaused(fixture.now);
    CHECK(request.resumes == 1);
    CHECK(fixture.account.heldBytes(byte_holder::receiveBuffer) == 0);
    CHECK(fixture.grow(request, 8 * kilobyte) == growth::proceed);
    CHECK_FALSE(request.hasEnded);
}

TEST_CASE("Requests that are held back are ended when what their sockets may hold exceeds the bound")
{
    growth_fixture fixture;
    constexpr int crowd = 1000;
    int ended = 0;
    for (int i = 0; i < crowd; ++i) {
        auto& request = fixture.add();
        request.growing.allowHoldingBack(128 * kilobyte);
        fixture.grow(request, 65 * kilobyte, megabyte);
        CHECK(fixture.account.heldBytes() <= 21 * megabyte);
    }
    for (auto& each : fixture.messages)
        ended += each.hasEnded ? 1 : 0;
    CHECK(ended > 0);
    CHECK(ended < crowd);
}

TEST_CASE("The connections that a process accepts follow from its memory")
{
    CHECK(memory_limits::forProcess(64 * megabyte).maxConnections < 1000);
    CHECK(memory_limits::forProcess(160 * megabyte).maxConnections > 2000);
}
