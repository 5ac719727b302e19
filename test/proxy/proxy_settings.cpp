/** \file
 * The settings of a node.
 */
#include "proxy_settings.h"

#include <doctest/doctest.h>

using namespace pomelohub;

namespace {

struct read_result {
    explicit read_result(const std::string& listenFields, const std::string& rootFields = "")
        : settings(readProxySettings(R"({ "node": "n", "data_centre": "z", "service": "s", "listen": {
            "callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "backend_calls": "127.0.0.1:3",
            "readiness": "127.0.0.1:4")"
                + listenFields + R"( }, "backend_server": "127.0.0.1:5", "store": "127.0.0.1:6")" + rootFields
                + " }",
            errors))
    {
    }

    std::vector<field_error> errors;
    proxy_settings settings;
};

} // namespace

TEST_CASE("A node announces the address that it listens at for others, unless its settings name another one")
{
    read_result usual("");
    REQUIRE(usual.errors.empty());
    CHECK(usual.settings.announcedPeersEndpoint == "127.0.0.1:2");
    read_result mapped(R"(, "peers_announced": "127.0.0.9:7")");
    REQUIRE(mapped.errors.empty());
    CHECK(mapped.settings.peersEndpoint == "127.0.0.1:2");
    CHECK(mapped.settings.announcedPeersEndpoint == "127.0.0.9:7");
    CHECK(read_result(R"(, "peers_announced": "nowhere")").errors.size() == 1);
}

// Guards against a deployment that does not ask for queueing getting it.
TEST_CASE("No route tolerates queueing unless the settings name the target latency from which routes do")
{
    routing_rule rule;
    rule.targetLatency = std::chrono::hours(1);
    read_result usual("");
    REQUIRE(usual.errors.empty());
    CHECK(!usual.settings.queueing.toleratesQueueing(rule));
    read_result queueing("", R"(, "queueing": { "min_target_latency_s": 4, "parallel_offers": 2 })");
    REQUIRE(queueing.errors.empty());
    rule.targetLatency = std::chrono::seconds(4);
    CHECK(queueing.settings.queueing.toleratesQueueing(rule));
    rule.targetLatency = std::chrono::milliseconds(3999);
    CHECK(!queueing.settings.queueing.toleratesQueueing(rule));
    CHECK(read_result("", R"(, "queueing": { "parallel_offers": 2 })").errors.size() == 1);
    CHECK(
        read_result("", R"(, "queueing": { "min_target_latency_s": 4, "parallel_offers": 0 })").errors.size()
        == 1);
}

TEST_CASE("Without settings for cold servers no more than the warm-up rate is sent in a second")
{
    CHECK(read_result("").settings.coldServers.maxStartsPerSecond(12) == 12);
    CHECK(read_result("").settings.coldServers.maxStartsPerSecond(0.2) == 1);
    read_result named("", R"(, "cold_servers": { "rate_factor": 1.5, "extra_requests": 5 })");
    REQUIRE(named.errors.empty());
    CHECK(named.settings.coldServers.maxStartsPerSecond(12) == 23);
    CHECK(read_result("", R"(, "cold_servers": { "rate_factor": 0.5 })").errors.size() == 1);
    CHECK(read_result("", R"(, "cold_servers": { "rate": 2 })").errors.size() == 1);
}
