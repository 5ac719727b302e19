/** \file
 * P10 and P11: each caller gets the whole answer to its own request; a cut answer is seen as cut; a node that
 * leaves cuts nothing.
 */
#include "process_fleet.h"

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <thread>

using namespace pomelohub::testing;

namespace {

/** Callers that send requests over kept connections until told to stop, and check each answer. */
struct busy_callers {
    busy_callers(process_fleet& fleet, std::size_t entry, int count)
    {
        for (int i = 0; i < count; ++i)
            threads.emplace_back([this, &fleet, entry, i] { run(fleet, entry, i); });
    }
    ~busy_callers() { stop(); }

    static std::unique_ptr<httplib::Client> clientOf(process_fleet& fleet, std::size_t entry)
    {
        auto client = std::make_unique<httplib::Client>(
            "http://127.0.0.1:" + std::to_string(fleet.node(entry).callers));
        client->set_keep_alive(true);
        client->set_read_timeout(std::chrono::seconds(10));
        return client;
    }
    void run(process_fleet& fleet, std::size_t entry, int number)
    {
        auto client = clientOf(fleet, entry);
        for (int i = 0; !isStopping; ++i) {
            auto id = "caller-" + std::to_string(number) + "-" + std::to_string(i);
            auto headers = headersFor("test-key");
            headers.emplace("X-Request-Id", id);
            bool isLong = i % 4 == 0;
            auto answer = client->Get(isLong ? "/x?bytes=200000&pause_ms=5" : "/x", headers);
            ++sent;
            bool isWhole = answer && answer->status == 200
                && (isLong ? answer->body.size() == 200'000U : answer->body.find(id) != std::string::npos);
            if (!isWhole) {
                ++broken;
                MESSAGE("broken: " << (answer ? std::to_string(answer->status) + answer->body.substr(0, 200)
                                              : httplib::to_string(answer.error())));
            }
            // A node that leaves says so by closing; its callers go on at another one.
            if (answer && answer->get_header_value("Connection") == "close") {
                ++moved;
                client = clientOf(fleet, 0);
            }
        }
    }
    void stop()
    {
        isStopping = true;
        for (auto& thread : threads)
            thread.join();
        threads.clear();
    }

    std::atomic<bool> isStopping { false };
    std::atomic<int> sent { 0 };
    std::atomic<int> broken { 0 };
    std::atomic<int> moved { 0 };
    std::vector<std::thread> threads;
};

} // namespace

TEST_CASE("P10: a node that leaves, and its backend server that drains, cut no request under load")
{
    process_fleet fleet({ .nodes = 3 });
    REQUIRE(fleet.waitUntilReady(3));
    REQUIRE(fleet.applyResources(10'000, 10'000));
    busy_callers here(fleet, 1, 6);
    busy_callers there(fleet, 0, 6);
    REQUIRE(eventually([&] { return here.sent > 100 && there.sent > 100; }));
    fleet.node(1).process->signal(SIGTERM);
    CHECK(fleet.node(1).process->wait() == 0);
    auto sentBefore = there.sent.load();
    REQUIRE(eventually([&] { return there.sent > sentBefore + 100; }));
    fleet.control(fleet.node(2), { { "condition", "draining" } });
    REQUIRE(eventually([&] {
        auto before = fleet.counts(fleet.node(2))["requests"];
        auto sentNow = there.sent.load();
        return eventually([&] { return there.sent > sentNow + 50; })
            && fleet.counts(fleet.node(2))["requests"] == before;
    }));
    here.stop();
    there.stop();
    CHECK(here.moved == 6);
    CHECK(here.broken == 0);
    CHECK(there.broken == 0);
}

TEST_CASE("P11: a cut answer is seen as cut, wherever it was cut")
{
    process_fleet fleet({ .nodes = 2 });
    REQUIRE(fleet.waitUntilReady(2));
    REQUIRE(fleet.applyResources(10'000, 10'000));
    for (std::size_t entry = 0; entry < fleet.size(); ++entry) {
        auto answer = fleet.get(fleet.node(entry), "/x?bytes=1000000&cut=500000");
        CHECK(answer.status == 0);
        CHECK(fleet.get(fleet.node(entry), "/x?bytes=1000000").body.size() == 1'000'000U);
    }
    // The node beside the only backend server left is killed in the middle of an answer.
    fleet.control(fleet.node(0), { { "condition", "draining" } });
    REQUIRE(eventually([&] {
        auto answer = fleet.get(fleet.node(0), "/who");
        return answer.body.find("backend-1") != std::string::npos;
    }));
    std::atomic<bool> hasBegun { false };
    httplib::Client client("http://127.0.0.1:" + std::to_string(fleet.node(0).callers));
    client.set_read_timeout(std::chrono::seconds(20));
    httplib::Error error = httplib::Error::Success;
    std::thread caller([&] {
        auto answer = client.Get("/x?bytes=3000000&pause_ms=20", headersFor("test-key"),
            [&](const char*, std::size_t) { return hasBegun = true; });
        error = answer.error();
    });
    CHECK(eventually([&] { return hasBegun.load(); }));
    fleet.node(1).process->kill();
    caller.join();
    CHECK(error != httplib::Error::Success);
}

TEST_CASE("P11: many callers at once get their own answers while backend servers are restarted")
{
    process_fleet fleet({ .nodes = 3 });
    REQUIRE(fleet.waitUntilReady(3));
    REQUIRE(fleet.applyResources(10'000, 10'000));
    std::atomic<bool> isStopping { false };
    std::atomic<int> own { 0 };
    std::atomic<int> foreign { 0 };
    std::vector<std::thread> callers;
    for (int i = 0; i < 12; ++i) {
        callers.emplace_back([&, i] {
            for (int n = 0; !isStopping; ++n) {
                auto id = "own-" + std::to_string(i) + "-" + std::to_string(n);
                auto headers = headersFor("test-key");
                headers.emplace("X-Request-Id", id);
                auto port = fleet.node(static_cast<std::size_t>(n) % 3).callers;
                httplib::Client client("http://127.0.0.1:" + std::to_string(port));
                auto answer = client.Get("/x", headers);
                if (answer && answer->status == 200)
                    ++(answer->body.find('"' + id + '"') != std::string::npos ? own : foreign);
            }
        });
    }
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        auto before = own.load();
        REQUIRE(eventually([&] { return own > before + 100; }));
        fleet.node(i).backendProcess->kill();
        REQUIRE(eventually([&] { return own > before + 200; }));
        fleet.startBackend(fleet.node(i));
    }
    isStopping = true;
    for (auto& caller : callers)
        caller.join();
    CHECK(own > 600);
    CHECK(foreign == 0);
}
