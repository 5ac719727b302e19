/** \file
 * P1, P7, P9: limits hold with real processes: rates while authorities are killed and frozen, cold backend
 * servers, and backend servers that leave.
 */
#include "process_fleet.h"

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <thread>

using namespace pomelohub::testing;
using clock_type = std::chrono::steady_clock;

TEST_CASE("P1: an organisation that floods every node stays within rate and burst while authorities fail")
{
    constexpr double rate = 50;
    constexpr int burst = 40;
    process_fleet fleet({ .nodes = 4 });
    REQUIRE(fleet.waitUntilReady(4));
    auto started = clock_type::now();
    REQUIRE(fleet.applyResources(rate, burst));
    std::atomic<bool> isStopping { false };
    std::atomic<int> served { 0 };
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 8; ++i) {
        callers.emplace_back([&, i] {
            while (!isStopping) {
                // Counted at the backend servers as well; a lost answer counts there only.
                if (fleet.get(fleet.node(i % 3), "/x").status == 200)
                    ++served;
            }
        });
    }
    auto passes = [&](int more) {
        auto before = served.load();
        return eventually([&] { return served >= before + more; });
    };
    REQUIRE(passes(60));
    fleet.node(3).process->signal(SIGSTOP);
    CHECK(passes(60));
    fleet.node(3).process->signal(SIGCONT);
    CHECK(passes(60));
    fleet.node(3).process->kill();
    CHECK(passes(60));
    fleet.startNode(fleet.node(3));
    CHECK(passes(60));
    fleet.setLogFault("away");
    CHECK(passes(60));
    isStopping = true;
    for (auto& caller : callers)
        caller.join();
    auto elapsed = std::chrono::duration<double>(clock_type::now() - started).count();
    int ran = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        ran += fleet.counts(fleet.node(i))["requests"].get<int>();
    CHECK(ran <= rate * elapsed + burst);
    CHECK(ran >= 360);
}

TEST_CASE("P7: hundreds of callers at once from all nodes give a cold backend server no more than it bears")
{
    process_fleet fleet({ .nodes = 3, .serviceMillis = 10 });
    REQUIRE(fleet.waitUntilReady(3));
    REQUIRE(fleet.applyResources(100'000, 100'000));
    // All turn cold without saying so, and bear one request at a time until they have served some.
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.control(fleet.node(i), { { "cold_answers", 30 } });
    REQUIRE(eventually([&] {
        return fleet.status(fleet.node(0))["members"][0]["backend_servers"][0]["condition"] == "cold";
    }));
    std::vector<std::thread> callers;
    std::atomic<int> served { 0 };
    for (std::size_t i = 0; i < 90; ++i) {
        callers.emplace_back([&, i] {
            for (int n = 0; n < 4; ++n)
                served += fleet.get(fleet.node(i % 3), "/x").status == 200 ? 1 : 0;
        });
    }
    for (auto& caller : callers)
        caller.join();
    CHECK(served == 360);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        auto counts = fleet.counts(fleet.node(i));
        // The stand-in turns warm after 30 answers; the gate's first step up comes after 4, its next
        // after 12.
        CHECK(counts["most_while_cold"].get<int>() <= 3);
        CHECK(counts["condition"] == "warm");
    }
}

TEST_CASE("P9: a backend server that drains gets no new work, also from nodes that have not heard of it")
{
    process_fleet fleet({ .nodes = 3 });
    REQUIRE(fleet.waitUntilReady(3));
    REQUIRE(fleet.applyResources(10'000, 10'000));
    fleet.control(fleet.node(1), { { "condition", "draining" } });
    // The node beside it knows first, and refuses what others still send; they try elsewhere.
    REQUIRE(eventually([&] {
        auto status = fleet.status(fleet.node(1));
        for (const auto& member : status["members"]) {
            if (member["node"] == "node-1")
                return member["backend_servers"][0]["condition"] == "draining";
        }
        return false;
    }));
    auto before = fleet.counts(fleet.node(1))["requests"];
    for (int i = 0; i < 60; ++i)
        CHECK(fleet.get(fleet.node(static_cast<std::size_t>(i) % 3), "/x").status == 200);
    CHECK(fleet.counts(fleet.node(1))["requests"] == before);
}
