/** \file
 * A backend server that is cold gets no more requests in any second than it can handle, however late its node
 * learns that it is cold.
 */
#include "gateway_fixture.h"

#include <rapidcheck.h>

#include <random>

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

constexpr double warmupPerSecond = 12;
constexpr std::size_t tolerated = 23; // The users' bound: 12 x 1.5 + 5.

std::string healthOf(const std::string& fields)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

/** Callers that send their next request as soon as the last one is answered or refused. */
struct busy_callers {
    busy_callers(gateway_fixture& fixture, int count)
        : m_fixture(fixture)
    {
        for (int i = 0; i < count; ++i)
            send();
    }

    ~busy_callers() { m_isStopped = true; }

    void send()
    {
        auto request = m_fixture.make(retry_rule::idempotent);
        request->onReply = [this](const forward_reply& reply) {
            if (m_isStopped)
                return;
            if (reply.response)
                ++served;
            asio::post(m_fixture.context, [this] {
                if (!m_isStopped)
                    send();
            });
        };
        m_fixture.gateway.submit(request);
    }

    int served = 0;

private:
    gateway_fixture& m_fixture;
    bool m_isStopped = false;
};

void playFor(gateway_fixture& fixture, duration time)
{
    auto end = readSystemClock().monotonic + time;
    fixture.context.restart();
    while (readSystemClock().monotonic < end)
        fixture.context.run_one_for(10ms);
}

} // namespace

TEST_CASE("A server that turns cold between two heartbeats gets no more in a second than it can handle")
{
    gateway_fixture fixture;
    fixture.setWarmupRate(warmupPerSecond);
    SUBCASE("when its health answers say that it is cold")
    {
        fixture.backend.healthReply = healthOf("Instance-Id: i-1\r\nWarmup-Ms: 3000\r\n");
    }
    SUBCASE("when its health check is not answered") { fixture.backend.healthReply = ""; }
    SUBCASE("when its health check fails")
    {
        fixture.backend.healthReply = "HTTP/1.1 503 Busy\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n";
    }
    SUBCASE("when another server answers the health check")
    {
        fixture.backend.healthReply = healthOf("Instance-Id: i-2\r\n");
    }
    SUBCASE("when the time that its health answer gives cannot be read")
    {
        fixture.backend.healthReply = healthOf("Instance-Id: i-1\r\nWarmup-Ms: soon\r\n");
    }
    busy_callers callers(fixture, 20);
    playFor(fixture, 2500ms);
    CHECK(callers.served > 0);
    CHECK(fixture.backend.mostInOneSecond() <= tolerated);
}

TEST_CASE("Requests of offers that were granted one after the other reach a cold server no faster together")
{
    gateway_fixture fixture;
    fixture.setWarmupRate(warmupPerSecond);
    fixture.backend.healthReply = healthOf("Instance-Id: i-1\r\nWarmup-Ms: 3000\r\n");
    std::vector<handle<gateway_request>> granted;
    backend_heartbeat heartbeat;
    heartbeat.id = backend_server_id("i-1");
    heartbeat.service = service_id("a");
    heartbeat.slots = 100;
    heartbeat.sequence = 2;
    heartbeat.startedAt = wall_time(1000ms);
    fixture.gateway.handleHeartbeat(heartbeat);
    int sent = 0;
    auto commitAll = [&] {
        for (const auto& request : std::exchange(granted, {}))
            fixture.gateway.commit(*request);
    };
    auto end = readSystemClock().monotonic + 3s;
    auto nextCommit = readSystemClock().monotonic + 600ms;
    fixture.context.restart();
    while (readSystemClock().monotonic < end) {
        if (sent < 200) {
            ++sent;
            auto request = fixture.make(retry_rule::idempotent);
            request->hasPayload = false;
            request->onReply = [](const forward_reply&) {};
            request->onGranted = [&granted, raw = request.get()] { granted.emplace_back(raw); };
            fixture.gateway.submit(request);
        }
        if (readSystemClock().monotonic > nextCommit) {
            nextCommit += 600ms;
            commitAll();
        }
        fixture.context.run_one_for(10ms);
    }
    CHECK(!fixture.backend.arrivals.empty());
    CHECK(fixture.backend.mostInOneSecond() <= tolerated);
}

TEST_CASE("A late heartbeat does not make a server warm that has said since that it is cold")
{
    gateway_fixture fixture;
    fixture.setWarmupRate(warmupPerSecond);
    fixture.backend.healthReply = healthOf("Instance-Id: i-1\r\nWarmup-Ms: 5000\r\n");
    busy_callers callers(fixture, 20);
    REQUIRE(runUntil(fixture.context, [&] { return fixture.gateway.report().isCold; }));
    fixture.beat();
    CHECK(fixture.gateway.report().isCold);
}

TEST_CASE("A cold server whose service leaves the configuration is not flooded by the requests that wait")
{
    gateway_fixture fixture;
    fixture.setWarmupRate(warmupPerSecond);
    fixture.backend.healthReply = healthOf("Instance-Id: i-1\r\nWarmup-Ms: 5000\r\n");
    fixture.beat("i-1", false, 1000ms, 5s);
    std::vector<handle<gateway_request>> waiting;
    for (int i = 0; i < 60; ++i) {
        waiting.push_back(fixture.make(retry_rule::idempotent));
        waiting.back()->request.timeLeft = 60s;
        waiting.back()->request.maxQueueTime = 60s;
        fixture.gateway.submit(waiting.back());
    }
    fixture.snapshot->routes = handle<routing_table>(new routing_table);
    fixture.gateway.onSnapshotChanged();
    playFor(fixture, 1500ms);
    CHECK(fixture.backend.mostInOneSecond() <= tolerated);
}

TEST_CASE("A server that is busy and warm is not held to the rate of a cold one")
{
    gateway_fixture fixture;
    fixture.setWarmupRate(warmupPerSecond);
    fixture.backend.healthReply = healthOf("Instance-Id: i-1\r\n");
    busy_callers callers(fixture, 20);
    constexpr int many = 300; // Takes more than twelve seconds at the bound for a cold server.
    CHECK(runUntil(fixture.context, [&] { return callers.served >= many; }));
}

namespace {

/** A node that knows its server by heartbeats and health answers that come late, and callers that send more
 * than the server can take. All times are given. */
struct server_play {
    static constexpr std::uint32_t slots = 5;
    static constexpr duration warmup = 3s;

    explicit server_play(std::uint32_t seed)
        : random(seed)
    {
        queue.setSlots(slots, now);
        queue.setStartLimit(cold_server_settings { 1.5, 5 }.maxStartsPerSecond(warmupPerSecond));
    }

    duration between(duration from, duration to)
    {
        return duration(std::uniform_int_distribution<duration::rep>(from.count(), to.count())(random));
    }

    bool isCold() const { return now < coldUntil; }

    void beat()
    {
        nextBeat = now + 1500ms;
        backend_heartbeat heartbeat;
        heartbeat.id = backend_server_id("a");
        heartbeat.sequence = ++sequence;
        heartbeat.startedAt = wall_time(1s);
        heartbeat.warmupLeft = std::max<duration>(coldUntil - now, duration::zero());
        if (between(0ms, 9ms) > 1ms) // Others are lost.
            later.emplace(
                now + between(0ms, 3s), [this, heartbeat] { identity.applyHeartbeat(heartbeat, now); });
    }

    void ask()
    {
        isAsking = true;
        auto sent = now;
        later.emplace(now + between(1ms, 200ms), [this, sent] {
            auto left = coldUntil - now;
            later.emplace(now + between(0ms, 300ms), [this, sent, left] {
                isAsking = false;
                if (left > duration::zero())
                    identity.recordWarmup(now + left);
                else
                    queue.confirmWarm(sent, now);
            });
        });
    }

    void start()
    {
        bool isLate = between(0ms, 9ms) > 6ms;
        later.emplace(now + (isLate ? between(0ms, 700ms) : duration::zero()), [this] {
            queue.recordStart(now);
            sent.push_back({ now, isCold() });
            later.emplace(now + between(0ms, 30ms), [this] { queue.release(10ms, now); });
        });
    }

    void playFor(duration time)
    {
        for (auto end = now + time; now < end; now += 1ms) {
            if (!isCold() && between(0ms, 2s) < 1ms)
                coldUntil = now + warmup;
            if (now >= nextBeat)
                beat();
            queue.setWarmupLimit(identity.isCold(now) ? warmupPerSecond * 0.9 : 0, identity.warmupEndsAt());
            while (!later.empty() && later.begin()->first <= now) {
                auto action = std::move(later.begin()->second);
                later.erase(later.begin());
                action();
            }
            if (!isAsking && !identity.isCold(now) && queue.needsWarmthConfirmation(now))
                ask();
            if (queue.waitingCount() < slots) {
                handle<queued_request> request(new queued_request);
                (void)queue.admit({ request, now + 60s, 1, 60s, false }, now);
            }
            queue.dispatch(now);
        }
    }

    std::size_t mostInOneColdSecond() const
    {
        std::deque<instant> cold;
        std::size_t most = 0;
        for (const auto& each : sent) {
            if (!each.isCold)
                cold.clear();
            else
                cold.push_back(each.at);
            while (!cold.empty() && cold.back() - cold.front() >= 1s)
                cold.pop_front();
            most = std::max(most, cold.size());
        }
        return most;
    }

    struct sent_request {
        instant at;
        bool isCold;
    };

    std::mt19937 random;
    instant now { 100s };
    instant coldUntil {};
    instant nextBeat {};
    std::uint64_t sequence = 0;
    bool isAsking = false;
    std::multimap<instant, std::function<void()>> later;
    std::vector<sent_request> sent;
    backend_identity identity;
    admission_queue queue { {}, [this](const handle<queued_request>&, instant) { start(); },
        [](const handle<queued_request>&, const request_error&) {} };
};

} // namespace

TEST_CASE("Late and lost heartbeats, late answers and late sends do not flood a server that turns cold again")
{
    CHECK(rc::check("starts in any cold second", [](std::uint32_t seed) {
        server_play play(seed);
        play.playFor(20s);
        RC_ASSERT(play.mostInOneColdSecond() > 0U);
        RC_ASSERT(play.mostInOneColdSecond() <= tolerated);
        RC_ASSERT(play.sent.size() > 20 * warmupPerSecond / 2);
    }));
}

TEST_CASE("A server gets nothing from the moment at which a first configuration is known to the rate being "
          "in force")
{
    gateway_fixture fixture;
    auto routes = fixture.snapshot->routes;
    fixture.snapshot->routes = nullptr;
    backend_gateway starting(fixture.context, fixture.backend.acceptor.local_endpoint(), service_id("a"),
        data_centre_id("z"), fixture.words, {}, quietLog(),
        { readSystemClock, [&] { return handle<const fleet_snapshot>(fixture.snapshot); },
            [](request_fingerprint, instant) { return false; },
            [](const std::vector<interrupted_request>&) {}, [](request_fingerprint) {} });
    backend_heartbeat heartbeat;
    heartbeat.id = backend_server_id("i-1");
    heartbeat.service = service_id("a");
    heartbeat.sequence = 1;
    heartbeat.startedAt = wall_time(1000ms);
    starting.handleHeartbeat(heartbeat);
    fixture.snapshot->routes = routes;
    auto submit = [&] {
        std::optional<forward_reply> reply;
        auto request = fixture.make();
        request->onReply = [&](forward_reply what) { reply = std::move(what); };
        starting.submit(request);
        REQUIRE(runUntil(fixture.context, [&] { return reply.has_value(); }));
        return std::move(*reply);
    };
    checkNotRun(submit(), refusal_reason::nodeStarting);
    starting.onSnapshotChanged();
    CHECK(submit().response);
}
