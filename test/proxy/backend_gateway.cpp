/** \file
 * What the node beside a backend server admits, runs, and proves, against a server that misbehaves.
 */
#include "gateway_fixture.h"

using namespace pomelohub;
using namespace std::chrono_literals;

TEST_CASE("An answer is passed on, and its connection is used again")
{
    gateway_fixture fixture;
    for (int i = 0; i < 3; ++i) {
        auto reply = fixture.submit();
        REQUIRE(reply.response);
        CHECK(reply.response->body == "ok");
        CHECK(reply.hasReachedBackend);
    }
    CHECK(fixture.backend.connections == 1);
    CHECK(fixture.backend.requests[0].find("Expect-Instance: i-1") != std::string::npos);
}

TEST_CASE("A request may be cancelled after it was refused at its start, and gives its slot back once")
{
    gateway_fixture fixture;
    auto offer = fixture.make(retry_rule::idempotent);
    offer->hasPayload = false;
    int grants = 0;
    int replies = 0;
    offer->onGranted = [&] { ++grants; };
    offer->onReply = [&](const forward_reply&) { ++replies; };
    fixture.gateway.submit(offer);
    REQUIRE(grants == 1);
    auto other = fixture.make(retry_rule::idempotent);
    other->hasPayload = false;
    other->onGranted = [&] { ++grants; };
    fixture.gateway.submit(other);
    REQUIRE(grants == 2);
    fixture.quarantined.insert(7);
    fixture.gateway.commit(*offer);
    fixture.gateway.cancel(*offer);
    fixture.context.run_for(20ms);
    CHECK(replies == 0);
    CHECK(fixture.gateway.report().inUse == 1);
}

TEST_CASE("Answers that prove nothing leave open whether the request ran")
{
    SUBCASE("a reset") { checkMayHaveRun(gateway_fixture("reset").submit()); }
    SUBCASE("an answer to another request")
    {
        checkMayHaveRun(gateway_fixture(gateway_fixture::good("r2")).submit());
    }
    SUBCASE("a success without a receipt")
    {
        checkMayHaveRun(gateway_fixture("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").submit());
    }
    SUBCASE("bytes that are no answer") { checkMayHaveRun(gateway_fixture("nonsense\r\n\r\n").submit()); }
    SUBCASE("an encoded body")
    {
        checkMayHaveRun(gateway_fixture("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Encoding: gzip\r\n"
                                        "Content-Length: 2\r\n\r\nok")
                            .submit());
    }
    SUBCASE("an answer that is cut short")
    {
        gateway_fixture fixture("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nok");
        fixture.backend.closesAfter = true;
        checkMayHaveRun(fixture.submit());
    }
}

TEST_CASE("An answer without a length that ends with its connection is whole")
{
    gateway_fixture fixture("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n\r\nall of it");
    fixture.backend.closesAfter = true;
    auto reply = fixture.submit();
    REQUIRE(reply.response);
    CHECK(reply.response->body == "all of it");
}

TEST_CASE("Bytes after an answer end its connection and belong to no request")
{
    gateway_fixture fixture(gateway_fixture::good("r1") + gateway_fixture::good("r0"));
    for (int i = 0; i < 3; ++i) {
        auto reply = fixture.submit();
        REQUIRE(reply.response);
        CHECK(reply.response->field("Request-Id") == "r1");
    }
    CHECK(fixture.backend.connections == 3);
}

TEST_CASE("A rejection of the backend server proves that the request did not run")
{
    auto shed = gateway_fixture(gateway_fixture::refusal("r1")).submit();
    checkNotRun(shed, refusal_reason::backendServerShed);
    CHECK(shed.hasReachedBackend);
}

TEST_CASE("An earlier refusal that comes once more on a kept connection proves nothing of the next request")
{
    std::string again;
    SUBCASE("with the id of the earlier request") { again = gateway_fixture::refusal("r0"); }
    SUBCASE("without an id") { again = gateway_fixture::refusal(""); }
    SUBCASE("of another server, without an id")
    {
        again = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n";
    }
    gateway_fixture fixture(gateway_fixture::refusal("r0"));
    auto earlier = fixture.make();
    earlier->request.id = request_id("r0");
    earlier->request.message.setField("Request-Id", "r0");
    checkNotRun(fixture.submit(earlier), refusal_reason::backendServerShed);
    fixture.backend.reply = again;
    checkMayHaveRun(fixture.submit());
    CHECK(fixture.backend.connections == 1);
}

TEST_CASE("Bytes without end, in a head or in a body, end the request in its time and the connection with it")
{
    std::string piece;
    gateway_fixture fixture;
    SUBCASE("a head")
    {
        fixture.backend.reply = "HTTP/1.1 200 OK\r\n";
        piece = "X-More: " + std::string(4000, 'x') + "\r\n";
    }
    SUBCASE("one field") { piece = std::string(4000, 'x'); }
    SUBCASE("a body without a length")
    {
        fixture.backend.reply = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n\r\n";
        piece = std::string(4000, 'x');
    }
    SUBCASE("a body in chunks")
    {
        fixture.backend.reply
            = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
        piece = "fa0\r\n" + std::string(4000, 'x') + "\r\n";
    }
    if (fixture.backend.reply == gateway_fixture::good("r1"))
        fixture.backend.reply = "HTTP/1.1 200 OK\r\nX: ";
    auto request = fixture.make(retry_rule::idempotent);
    request->request.timeLeft = 1s;
    std::optional<forward_reply> reply;
    request->onReply = [&](forward_reply what) { reply = std::move(what); };
    auto startedAt = std::chrono::steady_clock::now();
    fixture.gateway.submit(request);
    CHECK(runUntil(fixture.context, [&] {
        for (const auto& each : fixture.backend.open) {
            std::error_code ignored;
            each->socket.non_blocking(true, ignored);
            if (!fixture.backend.requests.empty())
                asio::write(each->socket, asio::buffer(piece), ignored);
        }
        return reply.has_value() && fixture.backend.ended > 0;
    }));
    CHECK(std::chrono::steady_clock::now() - startedAt < 2s);
    REQUIRE(reply);
    checkMayHaveRun(*reply);
}

TEST_CASE("Another server at the address ends the use of it until it announces itself")
{
    gateway_fixture fixture(
        "HTTP/1.1 421 Misdirected\r\nInstance-Id: i-2\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n");
    checkNotRun(fixture.submit(), refusal_reason::noBackendServer);
    fixture.backend.reply = gateway_fixture::good("r1");
    checkNotRun(fixture.submit(), refusal_reason::noBackendServer);
    CHECK(fixture.backend.requests.size() == 1);
    fixture.beat("i-2", false, 2000ms);
    CHECK(fixture.submit().response);
}

TEST_CASE("Nothing reaches a server that leaves, an evacuated data centre, or another service")
{
    gateway_fixture fixture;
    SUBCASE("draining")
    {
        fixture.beat("i-1", true);
        checkNotRun(fixture.submit(), refusal_reason::backendServerDraining);
    }
    SUBCASE("a farewell")
    {
        CHECK(fixture.gateway.handleDeregistration(backend_server_id("i-1"), {}));
        checkNotRun(fixture.submit(), refusal_reason::backendServerDraining);
    }
    SUBCASE("evacuated")
    {
        fixture.snapshot->evacuated = { data_centre_id("z") };
        checkNotRun(fixture.submit(), refusal_reason::dataCentreOutOfService);
    }
    SUBCASE("another service")
    {
        auto request = fixture.make();
        request->request.service = service_id("b");
        checkNotRun(fixture.submit(request), refusal_reason::noBackendServer);
    }
    SUBCASE("a node that stops")
    {
        fixture.gateway.startDraining();
        checkNotRun(fixture.submit(), refusal_reason::nodeLeaving);
    }
    CHECK(fixture.backend.requests.empty());
}

TEST_CASE("A cold server gets nothing before the configuration tells how much it bears")
{
    gateway_fixture fixture;
    auto routes = fixture.snapshot->routes;
    fixture.snapshot->routes = nullptr;
    fixture.beat("i-2", false, 2000ms, 5s);
    checkNotRun(fixture.submit(), refusal_reason::nodeStarting);
    CHECK(fixture.backend.connections == 0);
    fixture.snapshot->routes = routes;
    CHECK(fixture.submit().response);
    fixture.snapshot->routes = nullptr;
    fixture.beat("i-2", false, 2000ms);
    CHECK(fixture.submit().response);
}

TEST_CASE("A request that another node lets pass is refused beside the server while it is quarantined")
{
    gateway_fixture fixture;
    fixture.quarantined.insert(7);
    checkNotRun(fixture.submit(), refusal_reason::requestQuarantined);
    CHECK(fixture.backend.connections == 0);
}

TEST_CASE("After a broken answer requests that run once go elsewhere, unless nothing else is left")
{
    gateway_fixture fixture("reset");
    checkMayHaveRun(fixture.submit());
    fixture.backend.reply = gateway_fixture::good("r1");
    auto refused = fixture.submit();
    checkNotRun(refused, refusal_reason::backendServerFailed);
    CHECK_FALSE(refused.hasReachedBackend);
    CHECK(refused.report.failureRisk > defaultMaxFailureRisk);
    CHECK(refused.avoidFor > 0s);
    auto lastResort = fixture.make();
    lastResort->request.maxFailureRisk = 0.8;
    CHECK(fixture.submit(lastResort).response);
}

TEST_CASE("Failures that follow from failed nested calls do not make a server suspect")
{
    auto failure = "HTTP/1.1 500 Error\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n";
    gateway_fixture fixture("");
    auto failOne = [&](bool hasFailedCall) {
        std::optional<forward_reply> reply;
        auto request = fixture.make();
        request->onReply = [&](const forward_reply& each) { reply = each; };
        auto before = fixture.backend.requests.size();
        fixture.gateway.submit(request);
        REQUIRE(runUntil(fixture.context, [&] { return fixture.backend.requests.size() == before + 1; }));
        if (hasFailedCall)
            fixture.gateway.recordFailedCall();
        asio::write(fixture.backend.open.back()->socket, asio::buffer(std::string(failure)));
        REQUIRE(runUntil(fixture.context, [&] { return reply.has_value(); }));
        return reply->report.failureRisk > defaultMaxFailureRisk;
    };
    for (int i = 0; i < 5; ++i)
        CHECK_FALSE(failOne(true));
    SUBCASE("a failure of its own counts") { CHECK(failOne(false)); }
    SUBCASE("a call that failed while nothing ran explains nothing")
    {
        fixture.gateway.recordFailedCall();
        CHECK(failOne(false));
    }
}

TEST_CASE("The last attempt of a request is not the trial of a server at risk")
{
    gateway_fixture fixture("reset");
    checkMayHaveRun(fixture.submit());
    auto due = std::chrono::steady_clock::now() + passive_health_policy {}.trialInterval;
    runUntil(fixture.context, [&] { return std::chrono::steady_clock::now() > due; });
    fixture.backend.reply = gateway_fixture::good("r1");
    auto lastAttempt = fixture.make(retry_rule::idempotent);
    checkNotRun(fixture.submit(lastAttempt), refusal_reason::backendServerFailed);
    auto firstAttempt = fixture.make(retry_rule::idempotent);
    firstAttempt->request.trialRule = trial_rule::always;
    CHECK(fixture.submit(firstAttempt).response);
}

TEST_CASE("A server that fails nearly all requests gets trials only")
{
    gateway_fixture fixture("reset");
    for (int i = 0; i < 8; ++i) {
        auto request = fixture.make();
        request->request.maxFailureRisk = 0.8;
        fixture.submit(request);
    }
    fixture.backend.reply = gateway_fixture::good("r1");
    auto lastResort = fixture.make();
    lastResort->request.maxFailureRisk = 0.8;
    checkNotRun(fixture.submit(lastResort), refusal_reason::backendServerFailed);
    auto whereAllFail = fixture.make();
    whereAllFail->request.maxFailureRisk = 1;
    CHECK(fixture.submit(whereAllFail).response);
}

TEST_CASE("Requests that wait at a server when it begins to fail are given back unrun")
{
    gateway_fixture fixture("");
    std::vector<handle<gateway_request>> requests { fixture.make(), fixture.make(), fixture.make() };
    std::optional<forward_reply> reply;
    for (const auto& each : requests)
        each->onReply = [](const forward_reply&) {};
    requests.back()->onReply = [&](const forward_reply& each) { reply = each; };
    for (const auto& each : requests)
        fixture.gateway.submit(each);
    REQUIRE(runUntil(fixture.context, [&] { return fixture.backend.requests.size() == 2; }));
    scripted_backend::reset(*fixture.backend.open.front());
    REQUIRE(runUntil(fixture.context, [&] { return reply.has_value(); }));
    checkNotRun(*reply, refusal_reason::backendServerFailed);
    CHECK(fixture.backend.requests.size() == 2);
}

TEST_CASE("A server that takes no connection was not sent anything")
{
    gateway_fixture fixture;
    fixture.backend.acceptor.close();
    auto reply = fixture.submit();
    checkNotRun(reply, refusal_reason::noBackendServer);
    CHECK_FALSE(reply.hasReachedBackend);
}

TEST_CASE("A request in whose run the server ended is reported, one that met a reset only is not")
{
    gateway_fixture fixture("reset");
    checkMayHaveRun(fixture.submit());
    CHECK(fixture.crashed.empty());
    fixture.beat("i-2", false, 2000ms);
    CHECK(fixture.crashed == std::vector<request_fingerprint> { 7 });
}

TEST_CASE("A crash is noticed without another request, and only requests that it interrupted are reported")
{
    gateway_fixture fixture("reset");
    checkMayHaveRun(fixture.submit(fixture.make(retry_rule::idempotent)));
    CHECK(fixture.crashed.empty());
    SUBCASE("when all connections have broken")
    {
        REQUIRE(runUntil(fixture.context, [&] { return fixture.backend.connections == 2; }));
        fixture.backend.acceptor.close();
        for (const auto& each : fixture.backend.open) {
            if (each->socket.is_open())
                scripted_backend::reset(*each);
        }
        REQUIRE(runUntil(fixture.context, [&] { return !fixture.crashed.empty(); }));
        CHECK(fixture.crashed == std::vector<request_fingerprint> { 7 });
    }
    SUBCASE("but not one before the server's last answer")
    {
        std::this_thread::sleep_for(100ms);
        fixture.backend.reply = gateway_fixture::good("r1");
        auto request = fixture.make(retry_rule::idempotent);
        request->request.maxFailureRisk = 1;
        CHECK(fixture.submit(request).response);
        fixture.beat("i-2", false, 2000ms);
        CHECK(fixture.crashed.empty());
    }
}

TEST_CASE("A caller that leaves stops a request that may be repeated and lets one that runs once end")
{
    gateway_fixture fixture("");
    auto idempotent = fixture.make(retry_rule::idempotent);
    auto once = fixture.make();
    bool hasReply = false;
    idempotent->onReply = once->onReply = [&](const forward_reply&) { hasReply = true; };
    fixture.gateway.submit(idempotent);
    fixture.gateway.submit(once);
    REQUIRE(runUntil(fixture.context, [&] { return fixture.backend.requests.size() == 2; }));
    fixture.gateway.cancel(*idempotent);
    fixture.gateway.cancel(*once);
    REQUIRE(runUntil(fixture.context, [&] { return fixture.backend.ended == 1; }));
    CHECK(fixture.gateway.activeCount() == 1);
    CHECK_FALSE(hasReply);
}

TEST_CASE("An offer holds a slot but runs nothing before its message is here")
{
    gateway_fixture fixture;
    auto offer = fixture.make();
    offer->hasPayload = false;
    bool isGranted = false;
    std::optional<forward_reply> reply;
    offer->onGranted = [&] { isGranted = true; };
    offer->onReply = [&](forward_reply what) { reply = std::move(what); };
    fixture.gateway.submit(offer);
    CHECK(isGranted);
    CHECK(fixture.backend.connections == 0);
    SUBCASE("and is given up without a trace")
    {
        fixture.gateway.cancel(*offer);
        CHECK(fixture.gateway.activeCount() == 0);
        CHECK(fixture.submit().response);
        CHECK(fixture.backend.requests.size() == 1);
    }
    SUBCASE("and runs when it is")
    {
        fixture.gateway.commit(*offer);
        REQUIRE(runUntil(fixture.context, [&] { return reply.has_value(); }));
        CHECK(reply->response);
    }
    SUBCASE("unless it was found to crash servers meanwhile")
    {
        fixture.quarantined.insert(offer->request.fingerprint);
        fixture.gateway.commit(*offer);
        REQUIRE(runUntil(fixture.context, [&] { return reply.has_value(); }));
        checkNotRun(*reply, refusal_reason::requestQuarantined);
        CHECK(fixture.backend.requests.empty());
    }
    SUBCASE("unless the server began to leave meanwhile")
    {
        fixture.beat("i-1", true);
        fixture.gateway.commit(*offer);
        REQUIRE(runUntil(fixture.context, [&] { return reply.has_value(); }));
        checkNotRun(*reply, refusal_reason::backendServerDraining);
        CHECK(fixture.backend.requests.empty());
    }
}

TEST_CASE("A backend server gets no more requests than the limit that it names until it names none")
{
    constexpr double perSecond = 1;
    constexpr auto period = 2s;
    constexpr std::size_t tolerated
        = 11; ///< The users' bound for 4 s: one and a half times the limit, and 5.
    auto withLimit = gateway_fixture::good("r1");
    withLimit.insert(withLimit.find("Content-Length"), "Server-Limit: 1\r\n");
    gateway_fixture fixture(withLimit);
    CHECK(fixture.submit().response);
    auto sendFor = [&](duration time) {
        fixture.backend.requests.clear();
        std::vector<handle<gateway_request>> sent;
        auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            sent.push_back(fixture.make());
            sent.back()->request.maxQueueTime = 300ms;
            sent.back()->onReply = [](const forward_reply&) {};
            fixture.gateway.submit(sent.back());
            fixture.context.restart();
            fixture.context.run_for(20ms);
        }
        for (const auto& each : sent)
            fixture.gateway.cancel(*each);
        return fixture.backend.requests.size();
    };
    auto limited = sendFor(period);
    CHECK(limited <= tolerated);
    CHECK(static_cast<double>(limited) >= perSecond);
    fixture.backend.reply = gateway_fixture::good("r1");
    CHECK(runUntil(fixture.context, [&] { return sendFor(100ms) > 0; }));
    CHECK(sendFor(period) > 2 * tolerated);
}

TEST_CASE("A backend server that says in an answer that it leaves gets no further request")
{
    auto leaving = gateway_fixture::good("r1");
    leaving.insert(leaving.find("Content-Length"), "Server-Leaving: 1\r\n");
    gateway_fixture fixture(leaving);
    CHECK(fixture.submit().response);
    checkNotRun(fixture.submit(), refusal_reason::backendServerDraining);
    fixture.beat();
    checkNotRun(fixture.submit(), refusal_reason::backendServerDraining);
    CHECK(fixture.backend.requests.size() == 1);
    fixture.backend.reply = gateway_fixture::good("r1");
    fixture.beat("i-2", false, 2000ms);
    CHECK(fixture.submit().response);
}

TEST_CASE("A node whose backend server has no request is not woken")
{
    gateway_fixture fixture;
    auto reply = fixture.submit(fixture.make());
    REQUIRE(reply.response);
    constexpr auto settling = 200ms;
    auto settled = std::chrono::steady_clock::now() + settling;
    runUntil(fixture.context, [&] { return std::chrono::steady_clock::now() > settled; });
    std::size_t events = 0;
    auto end = std::chrono::steady_clock::now() + 500ms;
    fixture.context.restart();
    while (std::chrono::steady_clock::now() < end)
        events += fixture.context.run_one_for(5ms);
    CHECK(events <= 1);
}

namespace {

/** A node that was started while its server was running, and knows it by its seventh heartbeat. */
struct restarted_gateway : gateway_fixture {
    explicit restarted_gateway(std::string health)
        : gateway_fixture(std::move(health), 7)
    {
        REQUIRE(runUntil(context, [&] { return backend.requests.size() == 1; }));
        CHECK(backend.requests[0].starts_with("GET /health HTTP/1.1\r\n"));
    }

    static std::string health(const std::string& status, const std::string& fields)
    {
        return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 0\r\n\r\n";
    }

    bool isServing()
    {
        backend.reply = good("r1");
        return submit().response.has_value();
    }

    /** Waits until the gateway has handled what the server said of itself. */
    void waitForAnswer()
    {
        REQUIRE(runUntil(context, [&] { return backend.ended == 1; }));
    }
};

} // namespace

// Guards against requests to a server that has deregistered at an earlier process of its node (DRAIN).
TEST_CASE("A restarted node asks its server whether it leaves before it sends it a request")
{
    SUBCASE("which it does not")
    {
        restarted_gateway fixture(restarted_gateway::health("200 OK", "Instance-Id: i-1\r\n"));
        checkNotRun(fixture.submit(), refusal_reason::noBackendServer);
        fixture.waitForAnswer();
        CHECK(fixture.isServing());
    }
    SUBCASE("which it says")
    {
        restarted_gateway fixture(
            restarted_gateway::health("200 OK", "Instance-Id: i-1\r\nServer-Leaving: 1\r\n"));
        fixture.waitForAnswer();
        checkNotRun(fixture.submit(), refusal_reason::backendServerDraining);
    }
    SUBCASE("which it says by its status")
    {
        restarted_gateway fixture(
            restarted_gateway::health("503 Service Unavailable", "Instance-Id: i-1\r\n"));
        fixture.waitForAnswer();
        checkNotRun(fixture.submit(), refusal_reason::noBackendServer);
    }
    SUBCASE("which another server answers")
    {
        restarted_gateway fixture(restarted_gateway::health("200 OK", "Instance-Id: i-2\r\n"));
        fixture.waitForAnswer();
        checkNotRun(fixture.submit(), refusal_reason::noBackendServer);
    }
    SUBCASE("again with its next heartbeat if it gets no answer")
    {
        restarted_gateway fixture("reset");
        fixture.waitForAnswer();
        checkNotRun(fixture.submit(), refusal_reason::noBackendServer);
        fixture.backend.reply = restarted_gateway::health("200 OK", "Instance-Id: i-1\r\n");
        REQUIRE(runUntil(fixture.context, [&] {
            fixture.beat();
            return fixture.backend.requests.size() == 2 && fixture.backend.ended == 2;
        }));
        CHECK(fixture.isServing());
    }
}

// Guards against a node that asks a server without end which resets each connection.
TEST_CASE(
    "A server that does not answer the question of its node is asked again with its next heartbeat only")
{
    restarted_gateway fixture("reset");
    fixture.waitForAnswer();
    auto settled = std::chrono::steady_clock::now() + 200ms;
    runUntil(fixture.context, [&] { return std::chrono::steady_clock::now() > settled; });
    CHECK(fixture.backend.connections == 1);
    fixture.beat();
    CHECK(runUntil(fixture.context, [&] { return fixture.backend.connections == 2; }));
}
