/** \file
 * Properties of the quarantine of a fleet whose nodes each see some of the crashes, with time passed in.
 */
#include "crash_quarantine.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <random>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

constexpr auto newsBound = 3s;
constexpr auto gossipInterval = 500ms;

/** Nodes that exchange notices with two random others in each interval; a message takes up to 20 ms. */
struct gossiping_fleet {
    gossiping_fleet(std::size_t count, std::uint64_t seed)
        : generator(seed)
    {
        for (std::size_t i = 0; i < count; ++i)
            nodes.push_back(std::make_unique<crash_quarantine>(quarantine_policy {}));
    }

    std::size_t random(std::size_t below) { return static_cast<std::size_t>(generator() % below); }

    void exchange(std::size_t from, std::size_t to)
    {
        auto request = nodes[from]->notices(now);
        auto response = nodes[to]->notices(now);
        auto arrival = now + std::chrono::milliseconds(random(20));
        nodes[to]->addNotices(request, arrival);
        nodes[from]->addNotices(response, arrival);
    }

    void run(duration time)
    {
        for (auto end = now + time; now < end; now += gossipInterval) {
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                exchange(i, random(nodes.size()));
                exchange(i, random(nodes.size()));
            }
        }
    }

    void crash(std::size_t node, request_fingerprint request, int start, duration ran, duration ago = 0ms)
    {
        nodes[node]->recordCrash(
            { request, backend_server_id("i-" + std::to_string(node)),
                wall_time(std::chrono::milliseconds(start)), now - ago - ran, now - ago },
            now);
    }

    void answer(std::size_t node, request_fingerprint request)
    {
        if (nodes[node]->noteResponse(request, now))
            nodes[node]->recordResponse(request, now);
    }

    std::size_t refusing(request_fingerprint request) const
    {
        return static_cast<std::size_t>(std::count_if(
            nodes.begin(), nodes.end(), [&](const auto& each) { return each->isQuarantined(request, now); }));
    }

    std::mt19937_64 generator;
    instant now { 1h };
    std::vector<std::unique_ptr<crash_quarantine>> nodes;
};

/** A crash of a run whose times follow from the request and the crash. */
crash_notice makeNotice(request_fingerprint request, std::uint64_t crash)
{
    return { request, std::nullopt,
        { { crash, std::chrono::milliseconds(request * 37 + crash * 11),
            std::chrono::milliseconds(10'000 - crash * 200) } } };
}

constexpr request_fingerprint crasher = 1;
constexpr request_fingerprint popular = 2;

} // namespace

TEST_CASE("All nodes refuse a request soon after it has crashed two servers, in fleets of any size")
{
    CHECK(rc::check([] {
        auto count = *rc::gen::element<std::size_t>(3, 21, 77, 355);
        gossiping_fleet fleet(count, *rc::gen::arbitrary<std::uint64_t>());
        auto between = std::chrono::milliseconds(*rc::gen::inRange(50, 60'000));
        auto first = fleet.random(count);
        fleet.crash(first, crasher, 1, 34ms);
        fleet.run(between);
        fleet.crash((first + 1 + fleet.random(count - 1)) % count, crasher, 1, 34ms);
        fleet.run(newsBound);
        RC_ASSERT(fleet.refusing(crasher) == count);
    }));
}

TEST_CASE("A request that servers answer is served through crashes of many servers at the same time")
{
    CHECK(rc::check([] {
        auto count = *rc::gen::element<std::size_t>(21, 77);
        gossiping_fleet fleet(count, *rc::gen::arbitrary<std::uint64_t>());
        for (int round = 1; round <= 6; ++round) {
            auto ago = std::chrono::milliseconds(*rc::gen::inRange(0, 1500)); // Until it is noticed.
            for (std::size_t node = 0; node < count / 3; ++node)
                fleet.crash(node, popular, round, 300ms, ago + std::chrono::milliseconds(fleet.random(5)));
            RC_ASSERT(fleet.refusing(popular) == 0);
            fleet.run(500ms);
            fleet.answer(count / 3 + fleet.random(count - count / 3), popular);
            fleet.run(newsBound);
            RC_ASSERT(fleet.refusing(popular) == 0);
        }
    }));
}

TEST_CASE("A request that was retried beside one that crashes servers is served again, the other is not")
{
    constexpr std::size_t count = 21;
    constexpr request_fingerprint retried = 3;
    gossiping_fleet fleet(count, 20261205);
    for (std::size_t node : { 0U, 1U }) {
        fleet.crash(node, crasher, 1, 34ms);
        fleet.crash(node, retried, 1, 30ms);
        fleet.now += 50ms;
    }
    fleet.crash(2, crasher, 1, 34ms);
    fleet.run(newsBound);
    CHECK(fleet.refusing(crasher) == count);
    CHECK(fleet.refusing(retried) == 0);
}

TEST_CASE(
    "An answer lifts a quarantine at all nodes, and the request is quarantined anew if it crashes servers")
{
    constexpr std::size_t count = 77;
    gossiping_fleet fleet(count, 20261205);
    auto crashTwo = [&](int start) {
        fleet.crash(4, crasher, start, 34ms);
        fleet.now += 100ms;
        fleet.crash(9, crasher, start, 34ms);
        fleet.run(newsBound);
        return fleet.refusing(crasher);
    };
    CHECK(crashTwo(1) == count);
    fleet.answer(30, crasher); // It was in flight when the news came.
    fleet.run(newsBound);
    CHECK(fleet.refusing(crasher) == 0);
    CHECK(crashTwo(2) == count);
}

TEST_CASE("A node that was away learns of the quarantines when it is back")
{
    constexpr std::size_t count = 20;
    gossiping_fleet fleet(count, 20261205);
    for (request_fingerprint request = 100; request < 110; ++request) {
        fleet.crash(0, request, static_cast<int>(request), 34ms);
        fleet.now += 100ms;
        fleet.crash(1, request, static_cast<int>(request), 34ms);
    }
    fleet.run(30s);
    fleet.nodes[5] = std::make_unique<crash_quarantine>(quarantine_policy {});
    fleet.run(newsBound);
    for (request_fingerprint request = 100; request < 110; ++request)
        CHECK(fleet.refusing(request) == count);
}

TEST_CASE("The order in which nodes learn of crashes and answers does not matter")
{
    CHECK(rc::check([] {
        std::mt19937_64 generator(*rc::gen::arbitrary<std::uint64_t>());
        std::vector<crash_notice> notices;
        for (int i = 0; i < 40; ++i)
            notices.push_back(makeNotice(generator() % 6, generator() % 8));
        notices.push_back({ 3, 9'000ms, {} });
        instant now { 1h };
        crash_quarantine inOrder({});
        inOrder.addNotices(notices, now);
        std::shuffle(notices.begin(), notices.end(), generator);
        crash_quarantine shuffled({});
        for (const auto& each : notices)
            shuffled.addNotices({ each }, now);
        for (request_fingerprint request = 0; request < 6; ++request)
            RC_ASSERT(inOrder.isQuarantined(request, now) == shuffled.isQuarantined(request, now));
    }));
}

TEST_CASE("Thousands of suspects stay within bounds, in memory and in each message")
{
    quarantine_policy policy;
    policy.maxSuspects = 1000;
    crash_quarantine quarantine(policy);
    instant now { 1h };
    std::vector<crash_notice> notices;
    for (std::uint64_t i = 0; i < 5000; ++i)
        notices.push_back({ i, std::nullopt, { { i / 5, 100ms, std::chrono::milliseconds(i) } } });
    quarantine.addNotices(notices, now);
    CHECK(quarantine.count() <= policy.maxSuspects);
    CHECK(quarantine.notices(now).size() <= policy.maxNewsPerMessage + policy.maxNoticesPerMessage);
    SUBCASE("and end with their time")
    {
        quarantine.removeExpired(now + policy.quarantineDuration);
        CHECK(quarantine.count() == 0);
    }
    SUBCASE("and give way to new ones")
    {
        now += policy.quarantineDuration;
        quarantine.recordCrash({ 6000, backend_server_id("i-1"), {}, now, now }, now);
        CHECK(quarantine.count() == 1);
    }
}
