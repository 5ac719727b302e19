/** \file
 * Which node gets a request.
 */
#include "peer_choice.h"
#include "backend_selector.h"
#include "passive_health_check.h"

#include <doctest/doctest.h>

#include <map>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

const instant start { 100s };
const data_centre_id near("near");
const data_centre_id far("far");

handle<peer_state> peerIn(const data_centre_id& dataCentre, const char* name)
{
    instance_announcement announced;
    announced.node = node_id(name);
    announced.dataCentre = dataCentre;
    return handle<peer_state>(new peer_state(announced));
}

struct choice_fixture {
    std::vector<handle<peer_state>> peers { peerIn(near, "a"), peerIn(near, "b"), peerIn(far, "c") };
    std::set<data_centre_id> evacuated;
    std::vector<node_id> tried;
    std::uint64_t seed = 1;
    trial_rule onceTrials = trial_rule::afterFailures;

    std::string choose(retry_rule repeats, bool includeUnhealthy = false, instant now = start)
    {
        auto risk = backend_selector_policy {}.idleStageRisk.of(repeats);
        return chooseAtRisk(repeats, risk, includeUnhealthy, now);
    }

    std::string chooseAtRisk(
        retry_rule repeats, double maxFailureRisk, bool includeUnhealthy = false, instant now = start)
    {
        choice_random_hook random = [this](std::uint64_t below) {
            seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
            return (seed >> 33) % below;
        };
        auto chosen = choosePeer(peers, evacuated,
            { near, tried, repeats, maxFailureRisk,
                repeats == retry_rule::idempotent ? trial_rule::always : onceTrials, includeUnhealthy },
            {}, random, now);
        return chosen ? chosen->announcement.node.text() : "";
    }
};

} // namespace

TEST_CASE("Requests stay in their data centre while its servers are quick")
{
    choice_fixture fixture;
    for (int i = 0; i < 50; ++i)
        CHECK(fixture.choose(retry_rule::idempotent) != "c");
    for (const auto& peer : fixture.peers) {
        if (peer->announcement.dataCentre == near)
            peer->applyReport({ 20, 20, 4, 500ms, 0, false, false }, start);
    }
    CHECK(fixture.choose(retry_rule::idempotent) == "c");
}

TEST_CASE("An evacuated data centre gets nothing, even when nothing else is left")
{
    choice_fixture fixture;
    fixture.evacuated = { near };
    CHECK(fixture.choose(retry_rule::idempotent) == "c");
    fixture.evacuated = { near, far };
    CHECK(fixture.choose(retry_rule::idempotent, true).empty());
}

TEST_CASE("A node that was tried is not chosen again")
{
    choice_fixture fixture;
    fixture.tried = { node_id("a"), node_id("b") };
    CHECK(fixture.choose(retry_rule::once) == "c");
    fixture.tried.emplace_back("c");
    CHECK(fixture.choose(retry_rule::once, true).empty());
}

TEST_CASE("Of two near servers the less loaded one is chosen, and both are used when they are alike")
{
    choice_fixture fixture;
    for (const auto& peer : fixture.peers)
        peer->applyReport({ 0, 0, 4, 100ms, 0, false, false }, start);
    std::set<std::string> chosen;
    for (int i = 0; i < 50; ++i)
        chosen.insert(fixture.choose(retry_rule::once));
    CHECK(chosen == std::set<std::string> { "a", "b" });
    fixture.peers[0]->applyReport({ 4, 3, 4, 100ms, 0, false, false }, start);
    for (int i = 0; i < 50; ++i)
        CHECK(fixture.choose(retry_rule::once) == "b");
}

TEST_CASE("A server at risk gets no request that runs once, and a trial when one is due")
{
    choice_fixture fixture;
    fixture.peers[0]->applyReport({ 0, 0, 4, 100ms, 0.9, false, true }, start);
    fixture.peers[0]->deferTrial(start + 500ms);
    for (int i = 0; i < 50; ++i) {
        CHECK(fixture.choose(retry_rule::once) == "b");
        CHECK(fixture.choose(retry_rule::idempotent) == "b");
    }
    CHECK(fixture.choose(retry_rule::idempotent, false, start + 600ms) == "a");
    CHECK(fixture.choose(retry_rule::once, false, start + 600ms) == "b");
    SUBCASE("until it reports that it is sound")
    {
        fixture.peers[0]->applyReport({ 0, 0, 4, 100ms, 0, false, false }, start);
        fixture.tried = { node_id("b") };
        CHECK(fixture.choose(retry_rule::once) == "a");
    }
    SUBCASE("until the report is old")
    {
        fixture.tried = { node_id("b") };
        CHECK(fixture.choose(retry_rule::once, false, start + 10s) == "a");
    }
}

TEST_CASE("Avoided and silent nodes are a last resort")
{
    choice_fixture fixture;
    for (const auto& peer : fixture.peers)
        peer->avoidUntil(start + 1s);
    CHECK(fixture.choose(retry_rule::once).empty());
    CHECK_FALSE(fixture.choose(retry_rule::once, true).empty());
    CHECK_FALSE(fixture.choose(retry_rule::once, false, start + 2s).empty());
    fixture.peers[0]->isUnresponsive = true;
    CHECK(fixture.choose(retry_rule::once, false, start + 2s) == "b");
}

TEST_CASE("Servers of a service are asked alike while their latencies differ as their requests do")
{
    choice_fixture fixture;
    fixture.peers[0]->applyReport({ 0, 0, 4, 150ms, 0, false, false }, start);
    fixture.peers[1]->applyReport({ 0, 0, 4, 280ms, 0, false, false }, start);
    std::map<std::string, int> count;
    for (int i = 0; i < 200; ++i)
        ++count[fixture.choose(retry_rule::once)];
    CHECK(count["a"] > 60);
    CHECK(count["b"] > 60);
}

TEST_CASE("A server much slower than its peers is left out, and asked again once its report is old")
{
    choice_fixture fixture;
    fixture.peers[0]->applyReport({ 0, 0, 4, 200ms, 0, false, false }, start);
    fixture.peers[1]->applyReport({ 0, 0, 4, 4000ms, 0, false, false }, start);
    fixture.peers[2]->applyReport({ 0, 0, 4, 200ms, 0, false, false }, start);
    for (int i = 0; i < 50; ++i)
        CHECK(fixture.choose(retry_rule::once) != "b");
    std::map<std::string, int> count;
    for (int i = 0; i < 200; ++i)
        ++count[fixture.choose(retry_rule::once, false, start + 9s)];
    CHECK(count["b"] > 60);
}

TEST_CASE("As a last choice the server that fails the smallest share of its requests is taken")
{
    choice_fixture fixture;
    fixture.peers[0]->applyReport({ 0, 0, 4, 100ms, 0.8, false, true }, start);
    fixture.peers[1]->applyReport({ 0, 0, 4, 100ms, 0.3, false, true }, start);
    fixture.tried = { node_id("c") };
    CHECK(fixture.choose(retry_rule::once) == "");
    for (int i = 0; i < 20; ++i)
        CHECK(fixture.choose(retry_rule::once, true) == "b");
}

TEST_CASE(
    "A server that was reported to fail gets trials, and one with few failures what has no better place")
{
    choice_fixture fixture;
    fixture.peers[0]->applyReport({ 0, 0, 4, 100ms, 0.4, false, true }, start);
    fixture.peers[1]->applyReport({ 0, 0, 4, 100ms, 0.2, false, false }, start);
    fixture.peers[2]->applyReport({ 0, 0, 4, 100ms, 0, false, false }, start);
    CHECK(fixture.choose(retry_rule::idempotent, false, start + 100ms) != "a");
    CHECK(fixture.choose(retry_rule::idempotent, false, start + 200ms) == "a");
    CHECK(fixture.choose(retry_rule::once, false, start + 200ms) == "c");
    fixture.tried = { node_id("c") };
    CHECK(fixture.choose(retry_rule::once, false, start + 200ms).empty());
    auto shortWaitRisk = backend_selector_policy {}.preferredRisk.once;
    CHECK(fixture.chooseAtRisk(retry_rule::once, shortWaitRisk, false, start + 200ms) == "b");
}

TEST_CASE("The nodes of a fleet of any size offer a suspect server a few trials in each interval")
{
    choice_fixture fixture;
    choice_random_hook random = [&](std::uint64_t below) {
        fixture.seed = fixture.seed * 6364136223846793005ULL + 1442695040888963407ULL;
        return (fixture.seed >> 33) % below;
    };
    for (std::size_t nodes : { 3U, 21U, 90U, 355U, 2100U }) {
        double offersPerSecond = 0;
        for (std::size_t i = 0; i < nodes; ++i)
            offersPerSecond += 1 / std::chrono::duration<double>(suspectTrialDelay(nodes, random)).count();
        auto perInterval
            = offersPerSecond * std::chrono::duration<double>(passive_health_policy {}.trialInterval).count();
        CHECK(perInterval >= 1);
        CHECK(perInterval <= 12);
    }
}

TEST_CASE("A server whose failures are long ago is chosen like the others, and not first")
{
    choice_fixture fixture;
    fixture.peers[0]->applyReport({ 0, 0, 4, 200ms, 0.9, false, true }, start);
    fixture.peers[0]->deferTrial(start + 1s);
    CHECK(fixture.choose(retry_rule::idempotent, false, start + 1s) == "a");
    std::map<std::string, int> count;
    for (int i = 0; i < 200; ++i)
        ++count[fixture.choose(retry_rule::idempotent, false, start + 20s)];
    CHECK(count["a"] > 40);
    CHECK(count["b"] > 40);
}
