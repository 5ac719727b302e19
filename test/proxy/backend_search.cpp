/** \file
 * In which order an entry offers a request to backend servers, and what callers of a service get when many of
 * its servers fail.
 */
#include "admission_queue.h"
#include "backend_selector.h"
#include "passive_health_check.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <memory>
#include <random>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

const instant start { 100s };
const data_centre_id near("near");

handle<peer_state> makePeer(const std::string& name)
{
    instance_announcement announced;
    announced.node = node_id(name);
    announced.dataCentre = near;
    return handle<peer_state>(new peer_state(announced));
}

const backend_selector_policy limits;

void reportRisk(peer_state& peer, double risk, instant now = start)
{
    peer.applyReport({ 0, 0, 4, 200ms, risk, false, true, risk }, now);
}

struct search_fixture {
    std::vector<handle<peer_state>> peers { makePeer("a"), makePeer("b"), makePeer("c") };
    std::set<data_centre_id> evacuated;
    backend_selector search { {}, near };
    choice_random_hook random = [this](std::uint64_t below) { return generator() % below; };
    std::mt19937_64 generator { 7 };

    selection_input view(retry_rule repeats = retry_rule::once) const
    {
        return { peers, evacuated, repeats, 1s, 5s };
    }
    std::optional<backend_selection> next(retry_rule repeats = retry_rule::once)
    {
        return search.select(view(repeats), random, start);
    }
};

} // namespace

TEST_CASE("Every server is asked for an idle slot before any wait")
{
    search_fixture fixture;
    std::set<std::string> asked;
    for (int i = 0; i < 3; ++i) {
        auto step = fixture.next();
        REQUIRE(step);
        CHECK(step->maxQueueTime <= 20ms);
        asked.insert(step->peer->announcement.node.text());
        fixture.search.recordRefusal(step->peer, 100ms);
    }
    CHECK(asked.size() == 3);
}

TEST_CASE("The shortest announced wait comes next, if it leaves most of the objective")
{
    search_fixture fixture;
    for (auto wait : { 250ms, 90ms, 800ms }) {
        auto step = fixture.next();
        REQUIRE(step);
        fixture.search.recordRefusal(step->peer, wait);
    }
    SUBCASE("servers that work come first")
    {
        auto shortest = fixture.next();
        REQUIRE(shortest);
        CHECK(shortest->maxFailureRisk == limits.preferredRisk.once);
        CHECK(shortest->maxQueueTime == 300ms);
        fixture.search.recordRefusal(shortest->peer, {});
        auto second = fixture.next();
        REQUIRE(second);
        CHECK(second->peer != shortest->peer);
        CHECK(second->maxFailureRisk == limits.preferredRisk.once);
    }
    SUBCASE("a server that began to fail meanwhile is left out")
    {
        for (const auto& peer : fixture.peers)
            reportRisk(*peer, 0.9);
        auto step = fixture.next();
        REQUIRE(step);
        CHECK(step->maxFailureRisk == 1);
    }
}

TEST_CASE("A request that must run once is no trial while other servers may be idle")
{
    search_fixture fixture;
    std::vector<trial_rule> rules;
    for (auto step = fixture.next(); step && rules.size() < 4; step = fixture.next()) {
        rules.push_back(step->trialRule);
        fixture.search.recordRefusal(step->peer, 100ms);
    }
    REQUIRE(rules.size() == 4);
    CHECK(rules.front() == trial_rule::never);
    CHECK(rules.back() == trial_rule::afterFailures);
    CHECK(search_fixture().next(retry_rule::idempotent)->trialRule == trial_rule::always);
}

TEST_CASE("Servers at risk come before a wait that makes the answer late, and that before giving up")
{
    search_fixture fixture;
    reportRisk(*fixture.peers[0], 0.5);
    for (int i = 0; i < 2; ++i) {
        auto step = fixture.next();
        REQUIRE(step);
        CHECK(step->peer != fixture.peers[0]);
        fixture.search.recordRefusal(step->peer, 600ms);
    }
    auto atRisk = fixture.next();
    REQUIRE(atRisk);
    CHECK(atRisk->maxFailureRisk == limits.lastResortRisk.once);
    bool waited = false;
    for (auto step = atRisk; step; step = fixture.next()) {
        waited = waited || (step->maxFailureRisk == limits.preferredRisk.once && step->maxQueueTime == 700ms);
        fixture.search.recordRefusal(step->peer, {});
    }
    CHECK(waited);
}

TEST_CASE("A request is the trial of one server at most while others serve")
{
    search_fixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.peers.push_back(makePeer("failing" + std::to_string(i)));
        reportRisk(*fixture.peers.back(), 0.9, start - 1s);
    }
    int trials = 0;
    int sound = 0;
    for (int i = 0; i < 4; ++i) {
        auto step = fixture.next(retry_rule::idempotent);
        REQUIRE(step);
        bool isTrial = step->peer->failureRisk(start) > step->maxFailureRisk;
        (isTrial ? trials : sound) += 1;
        fixture.search.recordRefusal(step->peer, isTrial ? 0ms : 100ms);
    }
    CHECK(trials == 1);
    CHECK(sound == 3);
}

TEST_CASE("A server that had the request is not chosen again, and refusals are bounded")
{
    search_fixture fixture;
    auto first = fixture.next();
    REQUIRE(first);
    auto reached = first->peer->announcement.node;
    fixture.search.recordReached(reached);
    CHECK(fixture.search.hasReachedBackend());
    int steps = 0;
    while (auto step = fixture.next()) {
        CHECK(step->peer->announcement.node != reached);
        fixture.search.recordRefusal(step->peer, 50ms);
        ++steps;
    }
    CHECK(steps <= static_cast<int>(backend_selector_policy {}.maxRefusals));
}

namespace {

/** Servers, each behind the queue and the judge of its node, and callers that come at a steady rate. Time
 * passes only from one event to the next. */
struct played_service {
    struct server {
        server(played_service& service, double failing)
            : peer(makePeer("s" + std::to_string(service.servers.size())))
            , failing(failing)
            , queue(
                  {},
                  [this, &service](const handle<queued_request>& request, instant now) {
                      service.run(*this, request, now);
                  },
                  [&service](const handle<queued_request>& request, const request_error& reason) {
                      service.refused(request, reason);
                  })
        {
            queue.setSlots(5, start);
        }
        handle<peer_state> peer;
        double failing;
        admission_queue queue;
        passive_health_check judge;
    };

    struct call : queued_request {
        std::unique_ptr<backend_selector> search;
        instant arrived {};
        server* at = nullptr;
        double maxFailureRisk = 0;
    };

    std::deque<std::unique_ptr<server>> servers;
    std::vector<handle<peer_state>> peers;
    std::multimap<instant, std::function<void(instant)>> events;
    std::mt19937_64 generator { 20261204 };
    choice_random_hook random = [this](std::uint64_t below) { return generator() % below; };
    std::set<data_centre_id> evacuated;
    int offered = 0;
    int servedInTime = 0;
    int lost = 0; ///< Reached a server and failed there.
    static constexpr duration objective = 1500ms;
    static constexpr duration limit = 10s;
    static constexpr duration work = 370ms;

    void add(double failing)
    {
        servers.push_back(std::make_unique<server>(*this, failing));
        peers.push_back(servers.back()->peer);
    }

    bool chance(double share) { return static_cast<double>(random(1000)) < share * 1000; }

    void run(server& at, const handle<queued_request>& request, instant now)
    {
        bool fails = chance(at.failing);
        auto taken = fails
            ? duration(1ms)
            : std::chrono::duration_cast<duration>(work * (0.5 + static_cast<double>(random(1000)) / 1000));
        events.emplace(now + taken, [this, &at, request, fails, taken](instant then) {
            at.judge.record(fails ? backend_outcome::broken : backend_outcome::served, then);
            auto& ended = static_cast<call&>(*request);
            (fails ? lost : servedInTime) += fails || then - ended.arrived <= objective ? 1 : 0;
            report(at, then);
            auto risk = at.judge.failureRisk(then);
            if (fails)
                at.queue.refuseIf(
                    [risk](const queued_request& waiting) {
                        return static_cast<const call&>(waiting).maxFailureRisk < risk;
                    },
                    notRun(refusal_reason::backendServerFailed, "").value(), then);
            at.queue.release(fails ? std::nullopt : std::optional(taken), then);
        });
    }

    void report(server& at, instant now)
    {
        at.peer->applyReport({ at.queue.inUse(), static_cast<std::uint32_t>(at.queue.waitingCount()), 5,
                                 at.queue.meanLatency(), at.judge.failureRisk(now), false,
                                 at.judge.isSuspect(), at.judge.observedFailureRatio() },
            now);
    }

    void refused(const handle<queued_request>& request, const request_error& reason)
    {
        auto self = boost::static_pointer_cast<call>(request);
        self->search->recordRefusal(self->at->peer, reason.retryAfter);
        events.emplace(m_now, [this, self](instant now) { offer(self, now); });
    }

    void offer(const handle<call>& request, instant now)
    {
        m_now = now;
        auto left = request->arrived + limit - now;
        auto step
            = request->search->select({ peers, evacuated, retry_rule::once, objective, left }, random, now);
        if (!step)
            return;
        for (const auto& each : servers) {
            if (each->peer == step->peer)
                request->at = each.get();
        }
        auto& at = *request->at;
        request->maxFailureRisk = step->maxFailureRisk;
        bool isAtRisk = at.judge.failureRisk(now) > step->maxFailureRisk;
        bool mayBeTrial = step->trialRule == trial_rule::afterFailures && at.judge.hasNoRecentFailure(now);
        if (isAtRisk && !(mayBeTrial && at.judge.tryStartTrial(now))) {
            at.peer->deferTrial(now + 200ms);
            report(at, now);
            refused(request, notRun(refusal_reason::backendServerFailed, "").value());
            return;
        }
        auto admitted = at.queue.admit({ request, now + left, 1, step->maxQueueTime, false }, now);
        report(at, now);
        if (!admitted)
            refused(request, admitted.error());
    }

    void play(double perSecond, duration length)
    {
        auto gap = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / perSecond));
        for (auto at = start; at < start + length; at += gap) {
            ++offered;
            events.emplace(at, [this](instant now) {
                handle<call> request(new call);
                request->search = std::make_unique<backend_selector>(backend_selector_policy {}, near);
                request->arrived = now;
                offer(request, now);
            });
        }
        while (!events.empty()) {
            auto next = events.begin();
            auto event = std::move(next->second);
            m_now = next->first;
            events.erase(next);
            event(m_now);
        }
    }

private:
    instant m_now {};
};

} // namespace

TEST_CASE("With five of nine servers failing at once, the rest carry the load that they can")
{
    // Four servers with five slots of 370 ms serve 54 requests a second; 40 of a kind that runs once come.
    played_service service;
    for (int i = 0; i < 9; ++i)
        service.add(i < 5 ? 0.95 : 0.0);
    service.play(40, 20s);
    CHECK(service.servedInTime > service.offered * 0.95);
    CHECK(service.lost < service.offered * 0.03);
}

TEST_CASE("Where every server fails a part of its requests, callers are still served")
{
    played_service service;
    for (int i = 0; i < 9; ++i)
        service.add(0.4);
    service.play(30, 20s);
    CHECK(service.servedInTime > service.offered * 0.5);
}

TEST_CASE("Where every server fails nearly all, none is left out, so that what still works is found")
{
    played_service service;
    for (int i = 0; i < 9; ++i)
        service.add(0.9);
    service.play(30, 20s);
    CHECK(service.servedInTime + service.lost > service.offered * 0.95);
}

TEST_CASE("At twice the capacity what cannot be served in time is refused, not lost")
{
    played_service service;
    for (int i = 0; i < 4; ++i)
        service.add(0.0);
    service.play(110, 20s);
    CHECK(service.lost == 0);
    CHECK(service.servedInTime > service.offered * 0.4);
}
