/** \file
 * Which route, organisation and service a request gets.
 */
#include "routing_table.h"

#include <doctest/doctest.h>

#include <cmath>
#include <map>

using namespace pomelohub;

namespace {

handle<routing_rule> ruleFor(
    const char* prefix, std::vector<weighted_service> services = { { service_id("a"), 1 } })
{
    handle<routing_rule> rule(new routing_rule);
    rule->name = prefix;
    rule->host = "shop.example";
    rule->pathPrefix = prefix;
    rule->services = std::move(services);
    return rule;
}

} // namespace

TEST_CASE("The longest prefix of the path selects the route, whatever the order of the routes")
{
    routing_table table;
    table.add(ruleFor("/a/"));
    table.add(ruleFor("/a/b/c/"));
    table.add(ruleFor("/a/b/"));
    CHECK(table.match("shop.example", "/a/x")->name == "/a/");
    CHECK(table.match("shop.example", "/a/b/x")->name == "/a/b/");
    CHECK(table.match("SHOP.example", "/a/b/c/x")->name == "/a/b/c/");
    CHECK_FALSE(table.match("shop.example", "/b/"));
    CHECK_FALSE(table.match("shop.example", "/a"));
    CHECK_FALSE(table.match("other.example", "/a/x"));
}

TEST_CASE("A later rule for the same prefix replaces the former")
{
    routing_table table;
    table.add(ruleFor("/a/"));
    auto second = ruleFor("/a/");
    second->name = "second";
    table.add(second);
    CHECK(table.ruleCount() == 1);
    CHECK(table.match("shop.example", "/a/x")->name == "second");
}

TEST_CASE("Any run of requests keeps close to the weights of a route")
{
    auto rule = ruleFor("/a/", { { service_id("a"), 90 }, { service_id("b"), 10 } });
    rule->requestCount = 12345;
    std::map<service_id, int> counts;
    constexpr int requests = 300;
    for (int i = 0; i < requests; ++i)
        ++counts[rule->nextService()];
    CHECK(std::abs(counts[service_id("a")] / double(requests) - 0.9) < 0.01);
    CHECK(std::abs(counts[service_id("b")] / double(requests) - 0.1) < 0.01);
}

TEST_CASE("A service without weight gets no request")
{
    auto rule = ruleFor("/a/", { { service_id("a"), 0 }, { service_id("b"), 3 } });
    for (int i = 0; i < 100; ++i)
        CHECK(rule->nextService() == service_id("b"));
}

TEST_CASE("A new version goes on in the sequence of a route")
{
    routing_table former;
    auto before = ruleFor("/a/", { { service_id("a"), 1 }, { service_id("b"), 1 } });
    former.add(before);
    before->nextService();
    before->nextService();
    routing_table next;
    auto after = ruleFor("/a/", { { service_id("a"), 1 }, { service_id("b"), 1 } });
    next.add(after);
    next.inheritRequestCounts(former);
    CHECK(after->requestCount == 2);
}

TEST_CASE("A key belongs to one organisation, and an unknown key to none")
{
    routing_table table;
    handle<organisation_limits> limits(new organisation_limits);
    limits->id = organisation_id("guild");
    table.add(limits, { "k1", "k2" });
    CHECK(table.organisationOf("k2")->id == organisation_id("guild"));
    CHECK_FALSE(table.organisationOf("k3"));
    CHECK_FALSE(table.organisationOf(""));
    CHECK(table.organisationNamed(organisation_id("guild")));
}
