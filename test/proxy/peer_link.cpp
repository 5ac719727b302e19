/** \file
 * How two nodes speak: offers that carry nothing before they are granted, and what is known when a link is
 * lost.
 */
#include "forwarded_request.h"
#include "loopback.h"

using namespace pomelohub;
using namespace std::chrono_literals;

namespace {

struct link_fixture {
    asio::io_context context;
    std::vector<handle<peer_request>> requests;
    std::vector<bool> silences;
    handle<peer_link> asked;
    handle<peer_link> asking;

    explicit link_fixture(peer_link_policy policy = {})
    {
        tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        acceptor.async_accept([&](std::error_code error, tcp::socket socket) {
            REQUIRE_FALSE(error);
            asked = peer_link::makeServer(std::move(socket), {},
                { nullptr, nullptr, [this](handle<peer_request> request) { requests.push_back(request); },
                    readSystemClock });
            asked->start();
        });
        asking = peer_link::makeClient(context, policy,
            { [this](bool isUnresponsive) { silences.push_back(isUnresponsive); }, nullptr, nullptr,
                readSystemClock });
        asking->connect(acceptor.local_endpoint());
        REQUIRE(run([&] { return asked && asking->isConnected(); }));
    }

    ~link_fixture()
    {
        requests.clear();
        asking->close();
        if (asked)
            asked->close();
    }

    bool run(const std::function<bool()>& condition) { return runUntil(context, condition); }
};

/** What a call was told. */
struct call_record {
    int grants = 0;
    std::optional<peer_message> reply;
    std::optional<peer_call_failure> failure;

    peer_call::hooks hooks()
    {
        return { [this] { ++grants; }, [this](peer_message&& message) { reply = std::move(message); },
            [this](peer_call_failure why) { failure = why; } };
    }
};

} // namespace

TEST_CASE("A request and its reply arrive whole, also when they are large")
{
    link_fixture fixture;
    call_record record;
    std::string large(3 << 20, 'x');
    auto call = fixture.asking->call({ { { "type", "t" } }, large }, false, record.hooks());
    REQUIRE(fixture.run([&] { return fixture.requests.size() == 1; }));
    CHECK(fixture.requests[0]->message.payload == large);
    CHECK(fixture.requests[0]->message.value("type") == "t");
    fixture.requests[0]->reply({ { { "ok", "1" } }, large });
    REQUIRE(fixture.run([&] { return record.reply.has_value(); }));
    CHECK(record.reply->payload == large);
}

TEST_CASE("An offer brings its fields only, and its payload after the grant")
{
    link_fixture fixture;
    call_record record;
    auto call = fixture.asking->call({ { { "type", "t" } }, "payload" }, true, record.hooks());
    REQUIRE(fixture.run([&] { return fixture.requests.size() == 1; }));
    auto request = fixture.requests[0];
    CHECK(request->isOffer);
    CHECK(request->message.payload.empty());
    bool isCommitted = false;
    request->onPayloadComplete = [&] { isCommitted = true; };
    request->grant();
    REQUIRE(fixture.run([&] { return record.grants == 1; }));
    CHECK_FALSE(call->isPayloadCommitted());
    call->commit();
    REQUIRE(fixture.run([&] { return isCommitted; }));
    CHECK(request->message.payload == "payload");
    request->reply({});
    CHECK(fixture.run([&] { return record.reply.has_value(); }));
}

TEST_CASE("An offer may be refused without its payload, and leaves nothing behind")
{
    link_fixture fixture;
    call_record record;
    auto call = fixture.asking->call({ { { "type", "t" } }, "payload" }, true, record.hooks());
    REQUIRE(fixture.run([&] { return fixture.requests.size() == 1; }));
    fixture.requests[0]->reply({ { { "no", "1" } }, "" });
    REQUIRE(fixture.run([&] { return record.reply.has_value(); }));
    CHECK(record.grants == 0);
    CHECK(
        fixture.run([&] { return fixture.asking->streamCount() == 0 && fixture.asked->streamCount() == 0; }));
}

namespace {

/** More in a short time than the HTTP/2 library takes of resets from a peer. */
constexpr int burstCount = 3000;

} // namespace

TEST_CASE("A burst of refused offers leaves a link open and answering")
{
    link_fixture fixture;
    constexpr int batch = 100;
    int refused = 0;
    int failed = 0;
    std::vector<handle<peer_call>> calls;
    while (refused + failed < burstCount) {
        for (int i = 0; i < batch; ++i) {
            calls.push_back(fixture.asking->call({ { { "type", "t" } }, "payload" }, true,
                { nullptr, [&](peer_message&&) { ++refused; }, [&](peer_call_failure) { ++failed; } }));
        }
        REQUIRE(fixture.run([&] {
            for (const auto& request : std::exchange(fixture.requests, {}))
                request->reply({ { { "no", "1" } }, "" });
            return refused + failed == static_cast<int>(calls.size());
        }));
    }
    CHECK(failed == 0);
    call_record record;
    auto call = fixture.asking->call({ { { "type", "t" } }, "payload" }, false, record.hooks());
    REQUIRE(fixture.run([&] { return fixture.requests.size() == 1 || record.failure; }));
    REQUIRE_FALSE(record.failure);
    fixture.requests[0]->reply({});
    CHECK(fixture.run([&] { return record.reply.has_value(); }));
    CHECK(fixture.run([&] { return fixture.asked->streamCount() == 0; }));
}

TEST_CASE("A burst of cancelled calls ends no other call of the link")
{
    link_fixture fixture;
    call_record kept;
    auto keptCall = fixture.asking->call({ { { "type", "kept" } }, "payload" }, false, kept.hooks());
    REQUIRE(fixture.run([&] { return fixture.requests.size() == 1; }));
    auto keptRequest = fixture.requests[0];
    for (int i = 0; i < burstCount; ++i) {
        call_record record;
        auto call = fixture.asking->call({ { { "type", "t" } }, "payload" }, true, {});
        REQUIRE(fixture.run([&] { return fixture.requests.size() == 2 || kept.failure; }));
        REQUIRE_FALSE(kept.failure);
        fixture.requests.pop_back();
        call->cancel();
    }
    keptRequest->reply({});
    REQUIRE(fixture.run([&] { return kept.reply || kept.failure; }));
    CHECK(kept.reply.has_value());
}

TEST_CASE("A call that is cancelled ends at the other side, before and after the grant")
{
    link_fixture fixture;
    call_record record;
    int cancelled = 0;
    auto before = fixture.asking->call({ { { "type", "t" } }, "payload" }, true, record.hooks());
    auto after = fixture.asking->call({ { { "type", "t" } }, "payload" }, false, record.hooks());
    REQUIRE(fixture.run([&] { return fixture.requests.size() == 2; }));
    for (const auto& request : fixture.requests)
        request->onCancelled = [&] { ++cancelled; };
    before->cancel();
    after->cancel();
    CHECK(fixture.run([&] { return cancelled == 2; }));
    CHECK_FALSE(record.failure);
    CHECK_FALSE(record.reply);
}

TEST_CASE("When a link is lost, an offer was not sent and a request may have arrived")
{
    link_fixture fixture;
    call_record offer;
    call_record sent;
    auto first = fixture.asking->call({ { { "type", "t" } }, "payload" }, true, offer.hooks());
    auto second = fixture.asking->call({ { { "type", "t" } }, "payload" }, false, sent.hooks());
    REQUIRE(fixture.run([&] { return fixture.requests.size() == 2; }));
    fixture.asked->close();
    REQUIRE(fixture.run([&] { return offer.failure && sent.failure; }));
    CHECK(*offer.failure == peer_call_failure::notSent);
    CHECK(*sent.failure == peer_call_failure::streamLost);
}

TEST_CASE("A node that takes connections but says nothing is silent, then given up")
{
    asio::io_context context;
    tcp::acceptor mute(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    peer_link_policy policy;
    policy.pingInterval = 5ms;
    policy.unresponsiveAfter = 20ms;
    policy.keepaliveTimeout = 60ms;
    std::vector<bool> silences;
    bool isClosed = false;
    auto link = peer_link::makeClient(context, policy,
        { [&](bool isUnresponsive) { silences.push_back(isUnresponsive); }, [&] { isClosed = true; }, nullptr,
            readSystemClock });
    link->connect(mute.local_endpoint());
    call_record record;
    auto call = link->call({ { { "type", "t" } }, "payload" }, true, record.hooks());
    REQUIRE(runUntil(context, [&] { return isClosed; }));
    CHECK(silences == std::vector<bool> { true });
    CHECK(record.failure == peer_call_failure::notSent);
}

TEST_CASE("A node that nobody listens at was not sent anything")
{
    asio::io_context context;
    auto link = peer_link::makeClient(context, {}, { nullptr, nullptr, nullptr, readSystemClock });
    call_record record;
    auto call = link->call({ { { "type", "t" } }, "payload" }, false, record.hooks());
    link->connect(freeEndpoint());
    REQUIRE(runUntil(context, [&] { return record.failure.has_value(); }));
    CHECK(*record.failure == peer_call_failure::notSent);
}

TEST_CASE("A forwarded request and its reply read as they were written")
{
    forwarded_request request;
    request.id = request_id("r1");
    request.service = service_id("a");
    request.callerService = service_id("b");
    request.organisation = organisation_id("guild");
    request.rank = 3;
    request.retryRule = retry_rule::once;
    request.timeLeft = 1500ms;
    request.maxQueueTime = 250ms;
    request.fingerprint = 0xfedcba9876543210;
    request.message.method = "POST";
    request.message.target = "/x";
    request.message.fields = { { "Host", "h" } };
    request.message.body = "body";
    auto message = encodeForwardedRequest(request);
    auto read = decodeForwardedFields(message);
    REQUIRE(read);
    CHECK(read->id == request.id);
    CHECK(read->retryRule == retry_rule::once);
    CHECK(read->timeLeft == 1500ms);
    CHECK(read->fingerprint == request.fingerprint);
    CHECK(decodeRequestPayload(message.payload.append(message.body))->body == "body");
    CHECK(read->trialRule == trial_rule::never);
    request.retryRule = retry_rule::idempotent;
    for (auto rule : { trial_rule::never, trial_rule::afterFailures, trial_rule::always }) {
        request.trialRule = rule;
        request.maxFailureRisk = 0.35;
        auto decoded = decodeForwardedFields(encodeForwardedRequest(request));
        REQUIRE(decoded);
        CHECK(decoded->trialRule == rule);
        CHECK(decoded->maxFailureRisk == doctest::Approx(0.35));
    }
    CHECK_FALSE(decodeForwardedFields({}));
    CHECK_FALSE(decodeRequestPayload("cut"));

    forward_reply refused;
    refused.response = notRun(refusal_reason::backendServerBusy, "busy", 70ms);
    refused.report = { 3, 4, 5, 60ms, true, true };
    refused.avoidFor = 80ms;
    auto back = decodeForwardReply(encodeForwardReply(refused, false), false);
    REQUIRE_FALSE(back.response);
    CHECK(back.response.error().reason == refusal_reason::backendServerBusy);
    CHECK(back.response.error().outcome == execution::notRun);
    CHECK(back.response.error().retryAfter == 70ms);
    CHECK(back.report == refused.report);
    CHECK(back.avoidFor == 80ms);
    // A reply that cannot be read proves nothing.
    CHECK(decodeForwardReply({}, false).response.error().outcome == execution::mayHaveRun);
}

namespace {

peer_link_policy shortIdlePolicy()
{
    peer_link_policy policy;
    policy.pingInterval = 10ms;
    policy.idlePingInterval = 100ms;
    policy.idleTimeout = 10s;
    return policy;
}

} // namespace

TEST_CASE("A link without open streams wakes its nodes for its pings only")
{
    link_fixture fixture(shortIdlePolicy());
    std::size_t events = 0;
    auto end = std::chrono::steady_clock::now() + 500ms;
    fixture.context.restart();
    while (std::chrono::steady_clock::now() < end)
        events += fixture.context.run_one_for(5ms);
    // A ping takes a timer, and a write and a read at both ends, each of which may come in two parts.
    constexpr std::size_t pings = 5;
    constexpr std::size_t eventsPerPing = 10;
    CHECK(events <= pings * eventsPerPing);
    CHECK(fixture.asking->isConnected());
}

TEST_CASE("A link without open streams is closed after its idle timeout, and one with a stream is kept")
{
    auto policy = shortIdlePolicy();
    policy.idleTimeout = 60ms;
    link_fixture unused(policy);
    CHECK(unused.run([&] { return !unused.asking->isOpen() && !unused.asked->isOpen(); }));

    link_fixture used(policy);
    call_record record;
    auto call = used.asking->call({ { { "type", "t" } }, "payload" }, false, record.hooks());
    REQUIRE(used.run([&] { return used.requests.size() == 1; }));
    auto end = std::chrono::steady_clock::now() + 4 * policy.idleTimeout;
    used.run([&] { return std::chrono::steady_clock::now() > end; });
    CHECK(used.asking->isConnected());
    used.requests[0]->reply({});
    CHECK(used.run([&] { return record.reply.has_value(); }));
    CHECK(used.run([&] { return !used.asking->isOpen(); }));
}
