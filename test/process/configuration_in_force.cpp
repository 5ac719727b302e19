/** \file
 * P4, P5, P8: accepted configuration is in force everywhere and stays; keys and data centres follow it.
 */
#include "process_fleet.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace pomelohub::testing;
using nlohmann::json;

static json organisation(double rate, std::vector<std::string> keys)
{
    auto entries = json::array();
    for (const auto& key : keys)
        entries.push_back({ { "key", key } });
    return { { "kind", "organisation" }, { "name", "org" }, { "requests_per_second", rate },
        { "burst", 1000 }, { "keys", entries } };
}

static double rateAt(const process_fleet& fleet, const fleet_node& node)
{
    (void)fleet;
    httplib::Client client("http://127.0.0.1:" + std::to_string(node.admin));
    auto answer = client.Get("/v1/resources/organisation/org");
    auto body = answer ? json::parse(answer->body) : json();
    return body.contains("content") && body["content"].is_object()
        ? body["content"]["requests_per_second"].get<double>()
        : 0;
}

TEST_CASE("P4: of racing operators one wins, lost answers change nothing, and every node agrees")
{
    process_fleet fleet({ .nodes = 3 });
    REQUIRE(fleet.waitUntilReady(3));
    REQUIRE(fleet.applyResources(1000, 1000));
    std::vector<int> codes(4);
    std::vector<std::thread> operators;
    for (std::size_t i = 0; i < codes.size(); ++i)
        operators.emplace_back([&, i] {
            codes[i] = fleet.pomelohub({ "apply", "--if-version", "2" },
                organisation(100.0 + static_cast<double>(i), { "test-key" }).dump());
        });
    for (auto& thread : operators)
        thread.join();
    CHECK(std::count(codes.begin(), codes.end(), 0) == 1);
    CHECK(std::count(codes.begin(), codes.end(), 3) == 3);
    auto won = rateAt(fleet, fleet.node(0));
    CHECK(rateAt(fleet, fleet.node(1)) == won);
    CHECK(rateAt(fleet, fleet.node(2)) == won);
    fleet.setLogFault("lose-answers");
    CHECK(fleet.pomelohub({ "apply" }, organisation(777, { "test-key" }).dump()) == 5);
    fleet.setLogFault("none");
    REQUIRE(eventually([&] { return rateAt(fleet, fleet.node(2)) == 777; }));
    CHECK(rateAt(fleet, fleet.node(0)) == 777);
}

TEST_CASE("P4: a node that is cut off from the log alone learns from its peers")
{
    process_fleet fleet({ .nodes = 2 });
    auto linkPort = freePort();
    child_process link({ std::string(POMELOHUB_BINARIES) + "/standin_link", "--port",
                           std::to_string(linkPort), "--target", std::to_string(fleet.logPort()) },
        "/dev/null", true);
    auto& cut = fleet.addNode(linkPort);
    fleet.startNode(cut);
    fleet.startBackend(cut);
    REQUIRE(fleet.waitUntilReady(3));
    REQUIRE(fleet.applyResources(1000, 1000));
    // It asks, and the answers vanish.
    link.send("drop-back");
    CHECK(fleet.pomelohub({ "apply" }, organisation(555, { "test-key" }).dump()) == 0);
    CHECK(rateAt(fleet, cut) == 555);
    CHECK(fleet.get(cut, "/x").status == 200);
}

TEST_CASE("P4: a new node that starts while the log is away takes its state from a peer and serves")
{
    process_fleet fleet({ .nodes = 2 });
    REQUIRE(fleet.waitUntilReady(2));
    REQUIRE(fleet.applyResources(1000, 1000));
    fleet.setLogFault("away");
    auto& late = fleet.addNode(fleet.logPort());
    fleet.startNode(late);
    fleet.startBackend(late);
    CHECK(eventually([&] { return fleet.get(late, "/x").status == 200; }));
    CHECK(rateAt(fleet, late) == 1000);
}

TEST_CASE(
    "P5: a withdrawn key stops on a kept connection and in a stream under way; no backend server sees it")
{
    process_fleet fleet({ .nodes = 2 });
    REQUIRE(fleet.waitUntilReady(2));
    REQUIRE(fleet.applyResources(1000, 1000));
    httplib::Client kept("http://127.0.0.1:" + std::to_string(fleet.node(1).callers));
    kept.set_keep_alive(true);
    REQUIRE(kept.Get("/x", headersFor("test-key"))->status == 200);
    std::atomic<bool> hasBegun { false };
    std::atomic<bool> isCut { false };
    std::thread stream([&] {
        httplib::Client client("http://127.0.0.1:" + std::to_string(fleet.node(0).callers));
        client.set_read_timeout(std::chrono::seconds(30));
        auto answer = client.Get("/x?bytes=20000000&pause_ms=50", headersFor("test-key"),
            [&](const char*, std::size_t) { return hasBegun = true; });
        isCut = !answer;
    });
    REQUIRE(eventually([&] { return hasBegun.load(); }));
    CHECK(fleet.pomelohub({ "apply" }, organisation(1000, { "another-key" }).dump()) == 0);
    CHECK(kept.Get("/x", headersFor("test-key"))->status == 401);
    CHECK(eventually([&] { return isCut.load(); }, std::chrono::seconds(10)));
    stream.join();
    CHECK(kept.Get("/x", headersFor("another-key"))->status == 200);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        CHECK(fleet.counts(fleet.node(i))["keys_seen"] == 0);
}

TEST_CASE("P8: a data centre taken out gets no new work, and gets it back")
{
    process_fleet fleet({ .nodes = 4, .dataCentres = 2 });
    REQUIRE(fleet.waitUntilReady(4));
    REQUIRE(fleet.applyResources(10'000, 10'000));
    auto requestsIn = [&](std::size_t dataCentre) {
        int requests = 0;
        for (std::size_t i = dataCentre; i < fleet.size(); i += 2)
            requests += fleet.counts(fleet.node(i))["requests"].get<int>();
        return requests;
    };
    json out { { "kind", "data-centre" }, { "name", "dc-1" }, { "in_service", false } };
    REQUIRE(fleet.pomelohub({ "apply" }, out.dump()) == 0);
    auto before = requestsIn(1);
    for (int i = 0; i < 60; ++i)
        CHECK(fleet.get(fleet.node(static_cast<std::size_t>(i) % 4), "/x").status == 200);
    CHECK(requestsIn(1) == before);
    out["in_service"] = true;
    REQUIRE(fleet.pomelohub({ "apply" }, out.dump()) == 0);
    CHECK(eventually([&] { return fleet.get(fleet.node(1), "/x").status == 200 && requestsIn(1) > before; }));
}
