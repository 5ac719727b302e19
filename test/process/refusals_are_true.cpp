/** \file
 * P3: "not run" is true wherever the path breaks: counted at the backend servers.
 */
#include "process_fleet.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace pomelohub::testing;

TEST_CASE("P3: an action refused as not run was never seen by a backend server, however the path broke")
{
    process_fleet fleet({ .nodes = 3 });
    REQUIRE(fleet.waitUntilReady(3));
    REQUIRE(fleet.applyResources(10'000, 10'000));
    std::map<std::string, call_answer> answers;
    auto sendSome = [&](std::size_t entry, int count) {
        for (int i = 0; i < count; ++i) {
            auto key = freshKey();
            answers[key] = fleet.act(fleet.node(entry), key);
        }
    };
    sendSome(0, 5);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.control(fleet.node(i), { { "shed", true } });
    sendSome(0, 5);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.control(fleet.node(i), { { "shed", false } });
    // A node that is killed: its streams break at the entry nodes, its backend server lives on.
    fleet.node(2).process->kill();
    sendSome(0, 15);
    // A node that is frozen: its connections are open and silent.
    fleet.node(1).process->signal(SIGSTOP);
    sendSome(0, 8);
    fleet.node(1).process->signal(SIGCONT);
    int served = 0;
    int notRun = 0;
    for (const auto& [key, answer] : answers) {
        auto runs = fleet.runsOf(key);
        CHECK(runs <= 1);
        if (answer.status == 200) {
            ++served;
            CHECK(runs == 1);
        } else if (answer.verdict == "not-run") {
            ++notRun;
            CHECK(runs == 0);
        } else {
            CHECK(answer.verdict == "may-have-run");
        }
    }
    CHECK(served >= 5);
    CHECK(notRun >= 5);
}

TEST_CASE("P3: a request that brings down each server that runs it stops at two of them, at every node")
{
    process_fleet fleet({ .nodes = 4 });
    REQUIRE(fleet.waitUntilReady(4));
    REQUIRE(fleet.applyResources(10'000, 10'000));
    CHECK(fleet.get(fleet.node(0), "/x?die=1").verdict == "may-have-run");
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        REQUIRE(eventually([&] { return fleet.status(fleet.node(i)).value("quarantined", 0) == 1; }));
        CHECK(fleet.get(fleet.node(i), "/x?die=1").reason == "request-quarantined");
    }
    int alive = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        alive += fleet.counts(fleet.node(i)).contains("requests") ? 1 : 0;
    CHECK(alive == 2);
    CHECK(eventually([&] { return fleet.get(fleet.node(3), "/x").status == 200; }));
}

TEST_CASE("P3: a backend server that dies in the middle of a request makes it \"may have run\"")
{
    process_fleet fleet({ .nodes = 1 });
    REQUIRE(fleet.waitUntilReady(1));
    REQUIRE(fleet.applyResources(10'000, 10'000));
    auto headers = headersFor("test-key");
    headers.emplace("Idempotency-Key", freshKey());
    httplib::Client client("http://127.0.0.1:" + std::to_string(fleet.node(0).callers));
    auto answer = toAnswer(client.Post("/act?die=1", headers, "x", "text/plain"));
    CHECK(answer.status == 502);
    CHECK(answer.verdict == "may-have-run");
}
