/** \file
 * The filters of the entry node: what each lets through and refuses, and in which order.
 */
#include "configuration_controller.h"
#include "entry_filters.h"
#include "hashing.h"
#include "retry_policy.h"

#include <doctest/doctest.h>

using namespace pomelohub;
using std::chrono::milliseconds;

namespace {

const present now { instant(std::chrono::hours(1)), wall_time(std::chrono::hours(500'000)) };

/** A configuration with one service and one organisation, and the chain over it. */
struct entry_fixture {
    entry_fixture()
    {
        service content { service_id("s"), { "host" },
            { { "read", "GET", "/", true, false }, { "open", "GET", "/open", true, true },
                { "act", "POST", "/act", false, false } } };
        organisation caller { organisation_id("org"), { sha256("key") }, 100, 100 };
        std::vector<configuration_log_entry> records {
            { 0, { "1", { resource_kind::service, "s" }, 0, std::nullopt, content } },
            { 1, { "2", { resource_kind::organisation, "org" }, 0, std::nullopt, caller } },
        };
        controller.apply(records);
    }
    request_error refuse(request_context& context)
    {
        std::string_view refusedBy;
        return chain.run(context, now, refusedBy).error();
    }
    static request_context makeRequest(const std::string& method, const std::string& path)
    {
        request_context context;
        context.method = method;
        context.host = "host";
        context.path = path;
        context.apiKey = "key";
        return context;
    }

    configuration_controller controller;
    token_leases leases;
    crash_quarantine quarantine { {} };
    node_readiness readiness = node_readiness::ready;
    bool hasTokens = true;
    request_chain chain
        = makeEntryChain({ controller.table(), leases, quarantine, [this](instant) { return readiness; },
            [this](const handle<organisation_leases>& held, bool) {
                if (hasTokens)
                    applyGrant(*held, 0, { 1, 5, milliseconds(1000) }, now.monotonic);
                return hasTokens;
            },
            [] { return now; }, {} });
};

} // namespace

TEST_CASE("a good request passes, and its key is taken out")
{
    entry_fixture entry;
    auto context = entry_fixture::makeRequest("GET", "/x");
    std::string_view refusedBy;
    REQUIRE(entry.chain.run(context, now, refusedBy));
    CHECK_FALSE(context.apiKey);
    CHECK(context.caller()->id == organisation_id("org"));
    CHECK(context.deadline == now.monotonic + std::chrono::seconds(30));
}

TEST_CASE("each filter refuses what it is there for, always as not run")
{
    entry_fixture entry;
    auto check = [&](request_context context, refusal_reason reason) {
        auto why = entry.refuse(context);
        CHECK(why.reason == reason);
        CHECK(why.outcome == execution::notRun);
    };
    auto context = entry_fixture::makeRequest("GET", "/x");
    context.timeout = milliseconds(0);
    check(context, refusal_reason::deadlineExceeded);
    context = entry_fixture::makeRequest("GET", "/x");
    context.host = "other";
    check(context, refusal_reason::routeUnknown);
    check(entry_fixture::makeRequest("PUT", "/x"), refusal_reason::routeUnknown);
    context = entry_fixture::makeRequest("GET", "/x");
    context.apiKey = "wrong";
    check(context, refusal_reason::keyUnknown);
    context.apiKey.reset();
    check(context, refusal_reason::keyMissing);
    check(entry_fixture::makeRequest("POST", "/act"), refusal_reason::idempotencyKeyMissing);
    entry.hasTokens = false;
    check(entry_fixture::makeRequest("GET", "/x"), refusal_reason::rateExceeded);
    entry.readiness = node_readiness::isolated;
    check(entry_fixture::makeRequest("GET", "/x"), refusal_reason::nodeIsolated);
}

TEST_CASE("a request that crashed two backend servers is refused as may have run, others are not")
{
    entry_fixture entry;
    auto context = entry_fixture::makeRequest("GET", "/x");
    context.target = "/x?poison";
    auto fingerprint = fingerprintOf({ "org", "s", "GET", "/x?poison", {}, {} });
    backend_server_id first("b1");
    backend_server_id second("b2");
    auto recordCrash = [&](const backend_server_id& backend) {
        entry.quarantine.recordCrash(
            { fingerprint, backend, {}, now.monotonic, now.monotonic }, now.monotonic);
        return entry.quarantine.isQuarantined(fingerprint, now.monotonic);
    };
    CHECK_FALSE(recordCrash(first));
    CHECK_FALSE(recordCrash(first));
    // A request in flight at the crash that was answered elsewhere is cleared.
    entry.quarantine.recordResponse(fingerprint, now.monotonic);
    CHECK_FALSE(recordCrash(second));
    std::string_view refusedBy;
    CHECK(entry.chain.run(context, now, refusedBy));
    CHECK(recordCrash(first));
    context = entry_fixture::makeRequest("GET", "/x");
    context.target = "/x?poison";
    auto why = entry.refuse(context);
    CHECK(why.reason == refusal_reason::requestQuarantined);
    CHECK(why.outcome == execution::mayHaveRun);
    context = entry_fixture::makeRequest("GET", "/x");
    context.target = "/x";
    CHECK(entry.chain.run(context, now, refusedBy));
    // Another node learns of it, for as long as is left.
    crash_quarantine other({});
    other.addNotices(entry.quarantine.notices(now.monotonic), now.monotonic);
    CHECK(other.isQuarantined(fingerprint, now.monotonic));
    CHECK_FALSE(other.isQuarantined(fingerprint, now.monotonic + std::chrono::minutes(11)));
}

TEST_CASE("an open route needs no key and uses no rate")
{
    entry_fixture entry;
    entry.hasTokens = false;
    auto context = entry_fixture::makeRequest("GET", "/open/x");
    context.apiKey.reset();
    std::string_view refusedBy;
    CHECK(entry.chain.run(context, now, refusedBy));
}

TEST_CASE("a withdrawn key is seen by a stream that is under way")
{
    entry_fixture entry;
    auto context = entry_fixture::makeRequest("GET", "/x");
    std::string_view refusedBy;
    REQUIRE(entry.chain.run(context, now, refusedBy));
    CHECK(isApiKeyValid(entry.controller.table(), context));
    organisation without { organisation_id("org"), {}, 100, 100 };
    configuration_log_entry record { 2,
        { "3", { resource_kind::organisation, "org" }, 2, std::nullopt, without } };
    entry.controller.apply(std::span(&record, 1));
    CHECK_FALSE(isApiKeyValid(entry.controller.table(), context));
}

TEST_CASE("a prefix matches whole segments, and the longest one wins")
{
    std::vector<route> routes { { "a", "*", "/bids", true, false },
        { "b", "POST", "/bids/new", false, false } };
    CHECK(matchRoute(routes, "GET", "/bids/7")->id == "a");
    CHECK(matchRoute(routes, "POST", "/bids/new")->id == "b");
    CHECK(matchRoute(routes, "GET", "/bidsx") == nullptr);
}

TEST_CASE("a request that may have run is tried again only when it is idempotent")
{
    failed_attempt attempt { { execution::mayHaveRun, refusal_reason::pathFailed, "", {} }, 1, false, true,
        now.monotonic + milliseconds(10) };
    CHECK_FALSE(mayRetry(attempt, {}, now.monotonic));
    attempt.isIdempotent = true;
    CHECK(mayRetry(attempt, {}, now.monotonic));
    attempt.isBodyReplayable = false;
    CHECK_FALSE(mayRetry(attempt, {}, now.monotonic));
    attempt = { { execution::notRun, refusal_reason::backendServerShed, "", {} }, 1, false, true,
        now.monotonic + milliseconds(10) };
    CHECK(mayRetry(attempt, {}, now.monotonic));
    CHECK_FALSE(mayRetry(attempt, {}, now.monotonic + milliseconds(10)));
    attempt.attempts = 3;
    CHECK_FALSE(mayRetry(attempt, {}, now.monotonic));
}

TEST_CASE("retries cannot grow beyond their share of requests")
{
    retry_budget budget(20, 2);
    CHECK(budget.tryAcquire());
    CHECK(budget.tryAcquire());
    CHECK_FALSE(budget.tryAcquire());
    for (int i = 0; i < 5; ++i)
        budget.recordRequest();
    CHECK(budget.tryAcquire());
    CHECK_FALSE(budget.tryAcquire());
}
