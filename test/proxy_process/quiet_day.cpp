/** \file
 * Nine real nodes through a quiet time with a change of the configuration, a withdrawn key, a server that
 * leaves, a store that goes away, a node that stops and one that is killed.
 */
#include "serving_fleet.h"

#include <csignal>

using namespace pomelohub;
using namespace std::chrono_literals;
using nlohmann::json;

TEST_CASE("Every node serves every service, for the organisation of the key and never with the key")
{
    serving_fleet fleet;
    for (int round = 0; round < 10; ++round) {
        CHECK(fleet.allAnswer("/browse/a?b=c", "k1", 200));
        CHECK(fleet.allAnswer("/bids/a", "k2", 200));
    }
    CHECK(fleet.allAnswer("/bids/a", "unknown", 401));
    CHECK(fleet.allAnswer("/nothing/a", "k1", 404));
    for (const auto& run : fleet.runs().all()) {
        CHECK_FALSE(run.carriedKey);
        CHECK(run.organisation == "guild");
        CHECK(run.target.substr(1, run.service.size()) == run.service);
    }
    std::map<std::string, int> runs;
    for (const auto& run : fleet.runs().all())
        CHECK(++runs[run.id] == 1);
}

TEST_CASE(
    "A new configuration and a withdrawn key are in force everywhere, and stay so while the store is away")
{
    serving_fleet fleet;
    auto next = configuration(2);
    next["virtual_hosts"][0]["paths"][0]["service"] = "photos";
    next["tenants"][0]["api_keys"] = { "k1" };
    fleet.configure(next);
    auto changed = std::chrono::steady_clock::now();
    CHECK(fleet.waitFor([&] { return fleet.allAnswer("/browse/x", "k2", 401); }));
    CHECK(std::chrono::steady_clock::now() - changed < 2s); // The users' bound.
    fleet.setStoreAway(true);
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        auto answer = fleet.send(node, "GET", "/browse/x", fleet.nextId(), "k1");
        REQUIRE(answer);
        CHECK(answer->body == "done by photos");
    }
    CHECK(fleet.allAnswer("/bids/x", "k2", 401));
    // A configuration that cannot be read changes nothing.
    fleet.setStoreAway(false);
    fleet.store().configure(next.dump().substr(0, 100));
    fleet.configure(configuration(1));
    CHECK(fleet.allAnswer("/bids/x", "k2", 401));
    CHECK(fleet.allAnswer("/bids/x", "k1", 200));
}

TEST_CASE("A node that is killed costs its own callers only, and serves again after its start")
{
    serving_fleet fleet;
    fleet.signal(1, SIGKILL);
    fleet.waitForEnd(1);
    for (int round = 0; round < 5; ++round) {
        for (std::size_t node : { 0U, 2U, 3U, 4U, 5U, 6U, 7U, 8U })
            CHECK(fleet.statusOf(node, "/bids/x", "k1") == 200);
    }
    SUBCASE("with the store") { }
    SUBCASE("without the store: the others tell it what is in force") { fleet.setStoreAway(true); }
    fleet.start(1);
    CHECK(fleet.waitFor([&] { return fleet.isReady(1) && fleet.serves(1, "/browse/x", "k1"); }));
}

TEST_CASE("A server that leaves gets nothing after its node has acknowledged that")
{
    serving_fleet fleet;
    fleet.drainServer(1);
    auto acknowledged = std::chrono::steady_clock::now();
    for (int round = 0; round < 5; ++round)
        CHECK(fleet.allAnswer("/bids/x", "k1", 200));
    std::size_t later = 0;
    for (const auto& run : fleet.runs().all()) {
        if (run.at <= acknowledged)
            continue;
        ++later;
        CHECK(run.server != "i-1");
    }
    CHECK(later >= 5 * fleet.size());
}

TEST_CASE("A node that is told to stop turns callers away, answers what it has, and ends by itself in time")
{
    serving_fleet fleet;
    auto told = std::chrono::steady_clock::now();
    fleet.signal(0, SIGTERM);
    CHECK(fleet.waitFor([&] { return !fleet.isReady(0); }));
    auto answer = fleet.send(0, "GET", "/browse/x", fleet.nextId(), "k1");
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK_FALSE(answer->isKeepAlive);
    auto status = fleet.waitForEnd(0);
    CHECK(WIFEXITED(status));
    CHECK(std::chrono::steady_clock::now() - told < 6s);
    for (std::size_t node = 1; node < fleet.size(); ++node)
        CHECK(fleet.statusOf(node, "/browse/x", "k1") == 200);
}

TEST_CASE("Repeats keep to the limits of the settings")
{
    const json settings { { "retries", { { "share", 0 }, { "reserve", 0 }, { "window_s", 10 } } } };
    serving_fleet fleet(settings);
    constexpr std::size_t requests = 40;
    for (std::size_t i = 0; i < requests; ++i)
        CHECK(fleet.statusOf(i % fleet.size(), "/browse/fail", "k1") == 500);
    std::size_t runs = 0;
    for (const auto& run : fleet.runs().all())
        runs += run.target == "/browse/fail" ? 1 : 0;
    // A full bucket holds one token at least.
    CHECK(runs <= requests + 1);
}
