/** \file
 * That the platform's documents and header fields are read once, strictly, into the project's types.
 */
#include "platform_configuration.h"
#include "platform_dialect.h"
#include "platform_documents.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <limits>

using namespace pomelohub;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

json document()
{
    return json::parse(R"({"version":"r7","services":[{"name":"a","health_check_path":"/health",
        "max_connections":330,"warmup_s":3.0,"warmup_per_s":17.0},{"name":"b"}],
        "limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_s":3,"idle_timeout_s":15},
        "tenants":[{"name":"guild","api_keys":["k1","k2"],"priority":1,"rate_per_s":25,"burst":30}],
        "virtual_hosts":[{"host":"h.example","paths":[
        {"name":"r1","path_prefix":"/p/","route_type":"safe","timeout_s":3,"target_latency_s":1.5,"priority":2,
        "weighted_backends":[{"service":"a","weight":90},{"service":"b","weight":10}],"max_attempts":2,
        "allow_anonymous":false},
        {"name":"r2","path_prefix":"/u/","route_type":"upload","service":"b","allow_anonymous":true}]}]})");
}

tl::expected<backend_notification, std::string> call(const char* target, const std::string& body)
{
    http_message request;
    request.method = "POST";
    request.target = target;
    request.body = body;
    return readPlatformBackendNotification(request);
}

const char* const heartbeatTarget = "/-/rpc?call=instances.heartbeat&of=i-7f";

json heartbeat()
{
    return json::parse(R"({"service":"a","address":"10.0.0.9:80","zone":"z","version":"v1","slots":5,
        "state":"ready","warmup_left_s":1.5,"seq":4,"born":1700000000123})");
}

http_message callerMessage()
{
    http_message message;
    message.method = "GET";
    message.target = "/p/x";
    message.fields = { { "Host", "h.example:80" }, { "Request-Id", "r1" }, { "Deadline-Ms", "1500" },
        { "Authorization", "Bearer k1" }, { "Tenant-Id", "forged" }, { "Caller-Service", "forged" },
        { "Expect-Instance", "forged" }, { "Connection", "keep-alive" }, { "X-End", "1" } };
    return message;
}

} // namespace

TEST_CASE("A configuration becomes a routing table")
{
    auto table = readPlatformConfiguration(document().dump());
    REQUIRE(table);
    CHECK((*table)->version == 7);
    auto rule = (*table)->match("h.example", "/p/x");
    REQUIRE(rule);
    CHECK(rule->retryRule == retry_rule::idempotent);
    CHECK(rule->timeout == 3s);
    CHECK(rule->targetLatency == 1500ms);
    CHECK(rule->rank == 2);
    CHECK(rule->maxAttempts == 2);
    CHECK(rule->services.size() == 2);
    auto upload = (*table)->match("h.example", "/u/x");
    CHECK(upload->retryRule == retry_rule::once);
    CHECK(upload->isPublic);
    auto organisation = (*table)->organisations()->withKey("k2");
    REQUIRE(organisation);
    CHECK(organisation->tokensPerSecond == 25);
    CHECK(organisation->rank == 1U);
    CHECK((*table)->profileOf(service_id("a"))->warmupPerSecond == 17);
    CHECK((*table)->limits.maxBodyBytes == 200);
}

TEST_CASE("A configuration that does not hold together is refused with a reason")
{
    auto refuses = [](const std::function<void(json&)>& spoil) {
        auto spoiled = document();
        spoil(spoiled);
        auto result = readPlatformConfiguration(spoiled.dump());
        CHECK_FALSE(result);
        if (!result)
            CHECK_FALSE(result.error().empty());
    };
    refuses([](json& d) { d["version"] = 7; });
    refuses([](json& d) { d["version"] = "r"; });
    refuses([](json& d) { d["version"] = "r7x"; });
    refuses([](json& d) { d.erase("virtual_hosts"); });
    refuses([](json& d) { d["virtual_hosts"][0]["paths"][1]["service"] = "unknown"; });
    refuses([](json& d) { d["virtual_hosts"][0]["paths"][0]["path_prefix"] = "/bare"; });
    refuses([](json& d) { d["virtual_hosts"][0]["paths"][0]["weighted_backends"][0]["weight"] = -1; });
    refuses([](json& d) { d["virtual_hosts"][0]["paths"][0]["weighted_backends"] = json::array(); });
    refuses([](json& d) { d["virtual_hosts"][0]["paths"][0]["timeout_s"] = -1; });
    refuses([](json& d) { d["tenants"][0]["rate_per_s"] = -1; });
    refuses([](json& d) { d["tenants"].push_back({ { "name", "other" }, { "api_keys", { "k1" } } }); });
    CHECK_FALSE(readPlatformConfiguration(""));
    CHECK_FALSE(readPlatformConfiguration(document().dump().substr(0, 200)));
    CHECK_FALSE(readPlatformConfiguration("\xff\xfe"));
}

TEST_CASE("A new version shares what has not changed with the last valid one")
{
    auto decode = makePlatformConfigurationDecoder();
    auto first = document();
    first["virtual_hosts"].push_back({ { "host", "other.example" },
        { "paths",
            { { { "name", "r3" }, { "path_prefix", "/o/" }, { "route_type", "safe" },
                { "service", "a" } } } } });
    auto before = decode(first.dump());
    REQUIRE(before);
    auto second = first;
    second["version"] = "r8";
    second["virtual_hosts"][0]["paths"][0]["timeout_s"] = 9;
    SUBCASE("after a valid one") { }
    SUBCASE("after an invalid one in between")
    {
        auto spoiled = first;
        spoiled["virtual_hosts"][1]["paths"][0]["service"] = "unknown";
        CHECK_FALSE(decode(spoiled.dump()));
    }
    auto after = decode(second.dump());
    REQUIRE(after);
    CHECK((*after)->version == 8);
    CHECK((*after)->match("h.example", "/p/x")->timeout == 9s);
    CHECK((*before)->match("h.example", "/p/x")->timeout == 3s);
    CHECK((*after)->match("h.example", "/u/x") == (*before)->match("h.example", "/u/x"));
    CHECK((*after)->match("other.example", "/o/x") == (*before)->match("other.example", "/o/x"));
    CHECK((*after)->organisations()->withKey("k1") == (*before)->organisations()->withKey("k1"));
    (*before)->match("h.example", "/p/x")->nextService();
    (*after)->inheritRequestCounts(**before);
    CHECK((*after)->match("h.example", "/p/x")->requestCount == 1);
}

TEST_CASE("The same route of another host is another route")
{
    auto doc = document();
    auto host = doc["virtual_hosts"][0];
    host["host"] = "second.example";
    doc["virtual_hosts"].push_back(host);
    auto table = readPlatformConfiguration(doc.dump());
    REQUIRE(table);
    CHECK((*table)->match("second.example", "/p/x")->host == "second.example");
    CHECK((*table)->match("h.example", "/p/x")->host == "h.example");
}

TEST_CASE("A host that is listed twice has the routes of both")
{
    auto doc = document();
    doc["virtual_hosts"].push_back({ { "host", "h.example" },
        { "paths",
            { { { "name", "r3" }, { "path_prefix", "/o/" }, { "route_type", "safe" },
                { "service", "a" } } } } });
    auto table = readPlatformConfiguration(doc.dump());
    REQUIRE(table);
    CHECK((*table)->match("h.example", "/o/x")->name == "r3");
    CHECK((*table)->match("h.example", "/p/x")->name == "r1");
    CHECK((*table)->ruleCount() == 3);
}

TEST_CASE("A text that is cut short or has a fault anywhere is refused as a whole")
{
    auto whole = document().dump();
    REQUIRE(readPlatformConfiguration(whole));
    REQUIRE(readPlatformConfiguration(document().dump(2)));
    for (std::size_t length = 0; length < whole.size(); ++length)
        CHECK_FALSE(readPlatformConfiguration(whole.substr(0, length)));
    for (std::size_t at = 0; at < whole.size(); ++at) {
        if (std::string_view("{}[],:").find(whole[at]) == std::string_view::npos)
            continue;
        auto spoiled = whole;
        spoiled[at] = '#';
        CHECK_FALSE(readPlatformConfiguration(spoiled));
    }
    CHECK_FALSE(readPlatformConfiguration(whole + "x"));
}

TEST_CASE("A heartbeat says who the backend server is and since when")
{
    auto read = call(heartbeatTarget, heartbeat().dump());
    REQUIRE(read);
    const auto& beat = std::get<backend_heartbeat>(*read);
    CHECK(beat.id == backend_server_id("i-7f"));
    CHECK(beat.slots == 5);
    CHECK_FALSE(beat.isDraining);
    CHECK(beat.warmupLeft == 1500ms);
    CHECK(beat.sequence == 4);
    CHECK(beat.startedAt.time_since_epoch().count() == 1700000000123);
    auto leave = call("/-/rpc?call=instances.deregister&of=i%2D7f", "");
    REQUIRE(leave);
    CHECK(std::get<backend_deregistration>(*leave).id == backend_server_id("i-7f"));
}

TEST_CASE("A heartbeat of another writer is refused")
{
    for (const char* field : { "service", "slots", "state", "seq" }) {
        auto spoiled = heartbeat();
        spoiled.erase(field);
        CHECK_FALSE(call(heartbeatTarget, spoiled.dump()));
        spoiled[field] = json::object();
        CHECK_FALSE(call(heartbeatTarget, spoiled.dump()));
    }
    auto unknownState = heartbeat();
    unknownState["state"] = "asleep";
    CHECK_FALSE(call(heartbeatTarget, unknownState.dump()));
    auto noSlots = heartbeat();
    noSlots["slots"] = 0;
    CHECK_FALSE(call(heartbeatTarget, noSlots.dump()));
    auto textStart = heartbeat();
    textStart["born"] = "yesterday";
    CHECK_FALSE(call(heartbeatTarget, textStart.dump()));
    CHECK_FALSE(call(heartbeatTarget, "\x80\x81"));
    CHECK_FALSE(call(heartbeatTarget, "[]"));
    CHECK_FALSE(call("/-/rpc?call=instances.heartbeat", heartbeat().dump()));
    CHECK_FALSE(call("/-/rpc?call=unknown&of=i", heartbeat().dump()));
    CHECK_FALSE(call("/-/rpc?call=instances.heartbeat&of=%zz", heartbeat().dump()));
}

TEST_CASE("A heartbeat with a number or an address out of range, or nested very deeply, is refused")
{
    auto refuses = [](const char* field, const json& value) {
        auto spoiled = heartbeat();
        spoiled[field] = value;
        CHECK_FALSE(call(heartbeatTarget, spoiled.dump()));
    };
    refuses("seq", -1);
    refuses("seq", 1e30);
    refuses("seq", 4.5);
    refuses("slots", 4294967297);
    refuses("slots", 1e30);
    refuses("born", -1);
    refuses("born", 1e30);
    refuses("born", std::numeric_limits<std::int64_t>::max());
    refuses("warmup_left_s", 1e300);
    refuses("address", "10.0.0.9:65536");
    refuses("address", "10.0.0.9:0");
    refuses("address", "10.0.0.9");
    auto text = heartbeat().dump();
    auto huge = text;
    huge.replace(huge.find("\"seq\":4"), 7, "\"seq\":1" + std::string(400, '0'));
    CHECK_FALSE(call(heartbeatTarget, huge));
    constexpr std::size_t depth = 200'000;
    CHECK_FALSE(call(heartbeatTarget, std::string(depth, '[')));
    CHECK_FALSE(call(heartbeatTarget, std::string(depth, '[') + std::string(depth, ']')));
    CHECK(call(heartbeatTarget,
        text.insert(1, "\"more\":" + std::string(depth, '[') + std::string(depth, ']') + ",")));
}

TEST_CASE("What a caller says of itself is taken out, and what only the fleet may say is dropped")
{
    auto words = makePlatformHeaderCodec();
    auto message = callerMessage();
    auto request = words.readCallerRequest(message);
    REQUIRE(request);
    CHECK(request->id == request_id("r1"));
    CHECK(request->timeout == 1500ms);
    CHECK(request->apiKey == "k1");
    CHECK(request->host == "h.example");
    for (const char* name :
        { "Authorization", "Tenant-Id", "Caller-Service", "Expect-Instance", "Connection" })
        CHECK_FALSE(message.hasField(name));
    CHECK(message.hasField("X-End"));
}

TEST_CASE("A request without an id or with a spoiled time limit is refused")
{
    auto words = makePlatformHeaderCodec();
    auto noId = callerMessage();
    noId.removeField("Request-Id");
    CHECK_FALSE(words.readCallerRequest(noId));
    for (const char* limit : { "soon", "12x", "-5", "99999999999999999999" }) {
        auto spoiled = callerMessage();
        spoiled.setField("Deadline-Ms", limit);
        CHECK_FALSE(words.readCallerRequest(spoiled));
    }
}

TEST_CASE("A backend server is told the time left, whom it must be, and for whom it works, and never the key")
{
    auto words = makePlatformHeaderCodec();
    forwarded_request request;
    request.message = callerMessage();
    (void)words.readCallerRequest(request.message);
    request.organisation = organisation_id("guild");
    request.callerService = service_id("front");
    auto sent = words.makeBackendRequest(request, { backend_server_id("i-7f"), 1234ms });
    CHECK(sent.field("Deadline-Ms") == "1234");
    CHECK(sent.field("Expect-Instance") == "i-7f");
    CHECK(sent.field("Tenant-Id") == "guild");
    CHECK(sent.field("Caller-Service") == "front");
    CHECK(sent.field("Request-Id") == "r1");
    CHECK_FALSE(sent.hasField("Authorization"));
}

TEST_CASE("Retry-After is told only where the request has not run")
{
    auto words = makePlatformHeaderCodec();
    request_error refusal { execution::notRun, refusal_reason::backendServerBusy, "busy", 250ms };
    CHECK(words.makeRefusal(refusal, 503).field("Retry-After")->starts_with("0.25"));
    refusal.outcome = execution::mayHaveRun;
    CHECK_FALSE(words.makeRefusal(refusal, 502).hasField("Retry-After"));
}

TEST_CASE("A health answer tells how long the server stays cold, and one that cannot be read tells nothing")
{
    auto words = makePlatformHeaderCodec();
    auto answer = makeResponse(200, "");
    CHECK(words.readBackendResponse(answer).warmupLeft == duration::zero());
    answer.setField("Warmup-Ms", "1500");
    CHECK(words.readBackendResponse(answer).warmupLeft == 1500ms);
    for (const char* time : { "", "soon", "-1", "3600001", "nan", "99999999999999999999" }) {
        answer.setField("Warmup-Ms", time);
        CHECK_FALSE(words.readBackendResponse(answer).warmupLeft);
    }
}
