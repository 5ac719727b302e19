/** \file
 * Bytes and texts from outside that are wrong: each gives an error that says what, and nothing else happens.
 */
#include "configuration_codec.h"
#include "node_messages.h"
#include "peer_session.h"
#include "sealed_datagram.h"
#include "slot_codec.h"

#include <doctest/doctest.h>

using namespace pomelohub;

TEST_CASE("every fault of a resource file is reported with its path and line")
{
    auto file = readResourceFile(R"([
        // A comment.
        { "kind": "organisation", "name": "Org!", "keys": [{ "sha256": "12" }],
          "requests_per_second": -1,
          "burst": 2, "colour": "red" },
        { "kind": "planet" }
    ])");
    CHECK(file.resources.empty());
    REQUIRE(file.errors.size() == 6U);
    CHECK(toText(file.errors[0]).starts_with("line 3: /0/name: must have"));
    CHECK(file.errors[1].path == "/0/keys/0/sha256");
    CHECK(file.errors[2].path == "/0/requests_per_second");
    CHECK(file.errors[2].line == 4U);
    CHECK(file.errors[3].path == "/0/burst");
    CHECK(file.errors[4].message == "is not a known field");
    CHECK(file.errors[5].line == 6U);
}

TEST_CASE("a text that is not JSON is reported with its line")
{
    auto file = readResourceFile("[\n{ \"kind\": \n");
    REQUIRE(file.errors.size() == 1U);
    CHECK(file.errors.front().line == 3U);
}

TEST_CASE("a key in an operator's file is stored as its digest only")
{
    auto file = readResourceFile(R"({ "kind": "organisation", "name": "org", "keys": [{ "key": "secret" }],
        "requests_per_second": 1, "burst": 8 })");
    REQUIRE(file.resources.size() == 1U);
    configuration_record record { "id", nameOf(file.resources[0]), 0, std::nullopt, file.resources[0] };
    auto text = encodeRecord(record);
    CHECK(text.find("secret") == std::string::npos);
    std::vector<field_error> errors;
    auto decoded = decodeRecord(text, errors);
    REQUIRE(decoded);
    CHECK(decoded->content == record.content);
}

TEST_CASE("corrupt log records are refused")
{
    std::vector<field_error> errors;
    for (const auto* text :
        { "", "{}", "[1]", "\xff\xfe", R"({"id":"a","kind":"service","name":"x","replaces":-1})",
            R"({"id":"a","kind":"service","name":"x","replaces":0,"content":{"name":"y"}})" })
        CHECK_FALSE(decodeRecord(text, errors));
    fleet_record restated { {}, data_centre_id("dc"), "127.0.0.1:1" };
    restated.slots = { slot_change::restate, { node_id("a"), 1 }, {}, {},
        { { 5, 7, node_incarnation { node_id("a"), 1 }, node_incarnation { node_id("b"), 2 } },
            { 6, 8, {}, {} } } };
    auto decoded = decodeFleetRecord(encodeFleetRecord(restated), errors);
    REQUIRE(decoded);
    REQUIRE(decoded->slots.snapshots.size() == 2U);
    CHECK(decoded->slots.snapshots[0].claimant == node_incarnation { node_id("b"), 2 });
    CHECK_FALSE(decoded->slots.snapshots[1].holder);
    CHECK_FALSE(decodeFleetRecord(R"({"change":"restate","node":"a","life":1,"slots":[[5,1,"a"]]})", errors));
    for (const auto* text : { "", "{}", R"({"change":"claim","node":"a","life":1,"slots":[[999,1]]})" })
        CHECK_FALSE(decodeFleetRecord(text, errors));
}

TEST_CASE("messages between nodes survive the way there and back, and cut ones are refused")
{
    gossip_message message;
    message.kind = gossip_kind::probeRequest;
    message.sequence = 7;
    message.from = { node_id("a"), 3 };
    message.updates.push_back(
        { { node_id("b"), 1 }, data_centre_id("dc"), "1.2.3.4:5", member_status::suspect, 2, 9,
            { { backend_server_id("x"), service_id("s"), 5, backend_condition::warm } } });
    auto bytes = encode(message);
    auto decoded = decodeGossip(bytes);
    REQUIRE(decoded);
    CHECK(decoded->updates.front().backends == message.updates.front().backends);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodeGossip(std::string_view(bytes).substr(0, length)));
}

TEST_CASE("a datagram that was changed or sealed with another key is not opened")
{
    datagram_sealer sealer({ "secret number one" });
    auto sealed = sealer.seal("hello");
    CHECK(sealer.open(sealed) == "hello");
    CHECK_FALSE(datagram_sealer({ "secret number two" }).open(sealed));
    CHECK(datagram_sealer({ "secret number two", "secret number one" }).open(sealed) == "hello");
    for (std::size_t i = 0; i < sealed.size(); ++i) {
        auto changed = sealed;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        CHECK_FALSE(sealer.open(changed));
    }
    CHECK_FALSE(sealer.open("short"));
}

TEST_CASE("a verdict passes between nodes unchanged")
{
    request_error why { execution::mayHaveRun, refusal_reason::backendServerFailed, "detail",
        std::chrono::milliseconds(250) };
    auto read = refusalFromHeaders(toHeaders(why));
    REQUIRE(read);
    CHECK(read->outcome == why.outcome);
    CHECK(read->reason == why.reason);
    CHECK(read->retryAfter == why.retryAfter);
    CHECK_FALSE(refusalFromHeaders({ { "pomelohub-verdict", "perhaps" } }));
}
