/** \file
 * Who gets a slot of a backend server, in which order, and who is refused while there is time to go
 * elsewhere.
 */
#include "admission_queue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

const instant start { 100s };

struct named_request : queued_request {
    std::string name;
};

/** A queue that notes what its hooks were told. */
struct observed_queue {
    std::vector<std::string> started;
    std::vector<std::string> refused;
    admission_queue queue { {},
        [this](handle<queued_request> request, instant) {
            started.push_back(static_cast<named_request&>(*request).name);
        },
        [this](handle<queued_request> request, const request_error&) {
            refused.push_back(static_cast<named_request&>(*request).name);
        } };

    admission_request make(const char* name, std::uint32_t rank, duration patience = 10s, duration left = 10s)
    {
        handle<named_request> request(new named_request);
        request->name = name;
        request->organisation = organisation_id("guild");
        return { request, start + left, rank, patience, false };
    }
};

/** Submits a request after each of \p gaps, taken modulo \p maxGap, and checks that no \p window has more
 * starts than \p tolerated. \return the time of the last request. */
instant playWishes(observed_queue& fixture, const std::vector<std::uint16_t>& gaps,
    std::chrono::milliseconds maxGap, duration window, double tolerated)
{
    std::deque<instant> starts;
    auto now = start;
    for (auto gap : gaps) {
        now += std::chrono::milliseconds(gap % maxGap.count());
        auto before = fixture.started.size();
        (void)fixture.queue.admit(fixture.make("wish", 1, 3600s, 7200s), now);
        fixture.queue.dispatch(now);
        starts.insert(starts.end(), fixture.started.size() - before, now);
        while (!starts.empty() && now - starts.front() > window)
            starts.pop_front();
        RC_ASSERT(static_cast<double>(starts.size()) <= tolerated);
    }
    return now;
}

} // namespace

TEST_CASE("Requests start while slots are free, and wait by rank after that")
{
    observed_queue fixture;
    fixture.queue.setSlots(1, start);
    CHECK(fixture.queue.admit(fixture.make("first", 2), start));
    CHECK(fixture.queue.admit(fixture.make("later", 2), start));
    CHECK(fixture.queue.admit(fixture.make("urgent", 0), start));
    auto nested = fixture.make("nested", 9);
    nested.isNested = true;
    CHECK(fixture.queue.admit(nested, start));
    for (int i = 0; i < 3; ++i)
        fixture.queue.release(10ms, start);
    CHECK(fixture.started == std::vector<std::string> { "first", "nested", "urgent", "later" });
}

TEST_CASE("A request that would wait longer than its sender accepts is refused at once, unrun, with the wait")
{
    observed_queue fixture;
    fixture.queue.setSlots(1, start);
    for (int i = 0; i < 50; ++i) {
        fixture.queue.release(400ms, start);
    }
    CHECK(fixture.queue.admit(fixture.make("first", 1), start));
    auto refused = fixture.queue.admit(fixture.make("hasty", 1, 100ms), start);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().outcome == execution::notRun);
    CHECK(refused.error().reason == refusal_reason::backendServerBusy);
    CHECK(refused.error().retryAfter >= 390ms);
    CHECK(fixture.queue.admit(fixture.make("patient", 1, 1s), start));
}

TEST_CASE("A request that cannot end in time does not start")
{
    observed_queue fixture;
    fixture.queue.setSlots(1, start);
    for (int i = 0; i < 50; ++i)
        fixture.queue.release(400ms, start);
    auto refused = fixture.queue.admit(fixture.make("late", 1, 10s, 100ms), start);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().reason == refusal_reason::deadlineExceeded);
    CHECK(fixture.queue.admit(fixture.make("first", 1), start));
    CHECK(fixture.queue.admit(fixture.make("waits", 1, 10s, 900ms), start));
    fixture.queue.release(std::nullopt, start + 1s);
    CHECK(fixture.refused == std::vector<std::string> { "waits" });
    CHECK(fixture.started == std::vector<std::string> { "first" });
}

TEST_CASE("A request that was withdrawn neither starts nor is refused, whatever its rank")
{
    observed_queue fixture;
    fixture.queue.setSlots(1, start);
    auto other = fixture.make("other", 1);
    auto gone = fixture.make("gone", 2);
    CHECK(fixture.queue.admit(fixture.make("first", 3), start));
    CHECK(fixture.queue.admit(other, start));
    CHECK(fixture.queue.admit(gone, start));
    CHECK(fixture.queue.remove(*gone.request));
    CHECK_FALSE(fixture.queue.remove(*gone.request));
    fixture.queue.release(10ms, start);
    fixture.queue.release(10ms, start);
    CHECK(fixture.started == std::vector<std::string> { "first", "other" });
    CHECK(fixture.refused.empty());
}

TEST_CASE("A request that urgent ones overtook is refused once it has waited as long as it could")
{
    observed_queue fixture;
    fixture.queue.setSlots(1, start);
    CHECK(fixture.queue.admit(fixture.make("first", 1), start));
    CHECK(fixture.queue.admit(fixture.make("overtaken", 1, 200ms), start));
    fixture.queue.dispatch(start + 250ms);
    CHECK(fixture.refused.empty());
    fixture.queue.dispatch(start + 350ms);
    CHECK(fixture.refused == std::vector<std::string> { "overtaken" });
}

TEST_CASE("Refusing all empties every rank")
{
    observed_queue fixture;
    fixture.queue.setSlots(1, start);
    for (const char* name : { "a", "b", "c" })
        CHECK(fixture.queue.admit(fixture.make(name, name[0] % 2), start));
    fixture.queue.refuseAll({}, start);
    CHECK(fixture.refused.size() == 2);
    CHECK(fixture.queue.waitingCount() == 0);
}

TEST_CASE("A cold backend server gets no more in any second than it bears")
{
    CHECK(rc::check("starts in any second", [](const std::vector<std::uint16_t>& gaps) {
        constexpr double perSecond = 12;
        constexpr double tolerated = perSecond * 1.5 + 5; // The users' bound.
        observed_queue fixture;
        fixture.queue.setSlots(100, start);
        fixture.queue.setWarmupLimit(perSecond, start + 3600s);
        playWishes(fixture, gaps, 50ms, 1s, tolerated);
    }));
}

TEST_CASE(
    "A backend server that names a limit is sent no more in any four seconds than it bears, nor much less")
{
    CHECK(rc::check("starts in any four seconds", [](const std::vector<std::uint16_t>& gaps) {
        constexpr double perSecond = 2.5;
        constexpr double tolerated = perSecond * 4 * 1.5 + 5; // The users' bound.
        observed_queue fixture;
        fixture.queue.setSlots(100, start);
        fixture.queue.setRequestLimit(perSecond, start);
        auto end = playWishes(fixture, gaps, 400ms, 4s, tolerated);
        auto perMean = std::chrono::duration<double>(end - start).count() * perSecond;
        auto wanted = std::min<double>(static_cast<double>(gaps.size()), perMean);
        RC_ASSERT(static_cast<double>(fixture.started.size()) >= wanted * 0.5 - 2);
    }));
}

TEST_CASE("A request that a limit would delay too long is refused at once with the wait")
{
    observed_queue fixture;
    fixture.queue.setSlots(8, start);
    fixture.queue.setRequestLimit(0.5, start);
    while (fixture.queue.admit(fixture.make("early", 1, 100ms), start)) { }
    auto refused = fixture.queue.admit(fixture.make("late", 1, 100ms), start);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().reason == refusal_reason::backendServerBusy);
    CHECK(refused.error().retryAfter > 500ms);
    CHECK(fixture.queue.usableSlots(start) == 1);
    fixture.queue.setRequestLimit(std::nullopt, start);
    CHECK(fixture.queue.usableSlots(start) == 8);
    CHECK(fixture.queue.admit(fixture.make("free", 1, 100ms), start));
}

// Load: twice what four slots of 100 ms bear, for ten seconds; half of it urgent.
TEST_CASE("Under twice the capacity urgent requests are served, the rest is refused early, and no slot idles")
{
    observed_queue fixture;
    fixture.queue.setSlots(4, start);
    struct running {
        instant ends;
    };
    std::deque<running> slots;
    int urgent = 0;
    int urgentServed = 0;
    std::size_t counted = 0;
    auto now = start;
    for (int ms = 0; ms < 10'000; ++ms) {
        now = start + std::chrono::milliseconds(ms);
        while (!slots.empty() && slots.front().ends <= now) {
            slots.pop_front();
            fixture.queue.release(100ms, now);
        }
        if (ms % 25 == 0) {
            for (std::uint32_t rank : { 0U, 1U }) {
                handle<named_request> request(new named_request);
                request->name = rank == 0 ? "urgent" : "other";
                urgent += rank == 0 ? 1 : 0;
                (void)fixture.queue.admit({ request, now + 1s, rank, 250ms, false }, now);
            }
        }
        for (; counted < fixture.started.size(); ++counted) {
            urgentServed += fixture.started[counted] == "urgent" ? 1 : 0;
            slots.push_back({ now + 100ms });
        }
    }
    // 40 requests a second fit, 40 urgent ones and 40 others come.
    CHECK(fixture.started.size() >= 390);
    CHECK(urgentServed >= urgent * 9 / 10);
    CHECK(fixture.queue.waitingCount() <= 16);
}
