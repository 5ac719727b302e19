/** \file
 * What keeps a backend server from more than it bears: the gate, the fair queue and the order of admission.
 */
#include "admission_filters.h"
#include "concurrency_limiter.h"
#include "fair_queue.h"

#include <doctest/doctest.h>

using namespace pomelohub;
using std::chrono::milliseconds;

static const instant now { std::chrono::hours(1) };

static void answer(concurrency_limiter& gate, int count, milliseconds latency, bool failed = false)
{
    for (int i = 0; i < count; ++i) {
        REQUIRE(gate.tryAcquire());
        gate.release({ failed, latency });
    }
}

TEST_CASE("a cold backend server gets one request at a time, and more after good answers")
{
    concurrency_limiter gate(5, {});
    CHECK(gate.tryAcquire());
    CHECK_FALSE(gate.tryAcquire());
    gate.release({ false, milliseconds(25) });
    answer(gate, 3, milliseconds(25));
    CHECK(gate.limit() == 2U);
    answer(gate, 200, milliseconds(25));
    CHECK(gate.limit() == 5U);
}

// Guards against a limit that rises as fast as that of a warm server, on a machine where all responses are
// slow.
TEST_CASE("a backend server that says that it is cold gets at most three at once for 30 good answers")
{
    constexpr int coldAnswers = 30;
    concurrency_limiter gate(5, {});
    gate.setCondition(backend_condition::warm);
    answer(gate, 200, milliseconds(25));
    gate.setCondition(backend_condition::cold);
    REQUIRE(gate.limit() == 1U);
    answer(gate, coldAnswers, milliseconds(90));
    CHECK(gate.limit() <= 3U);
    gate.setCondition(backend_condition::warm);
    answer(gate, 60, milliseconds(25));
    CHECK(gate.limit() == 5U);
}

TEST_CASE("a warm backend server that turns cold without warning is sent back to one at a time")
{
    concurrency_limiter gate(5, {});
    gate.setCondition(backend_condition::warm);
    answer(gate, 200, milliseconds(25));
    REQUIRE(gate.limit() == 5U);
    answer(gate, 2, milliseconds(300));
    CHECK(gate.limit() == 5U);
    answer(gate, 1, milliseconds(300));
    CHECK(gate.limit() == 1U);
}

namespace {

struct numbered_request : queued_request {
    int number = 0;
};

handle<queued_request> makeRequest(const std::string& organisation, int number, duration left)
{
    handle<numbered_request> request(new numbered_request);
    request->organisation = organisation_id(organisation);
    request->deadline = now + left;
    request->number = number;
    return request;
}

int numberOf(const handle<queued_request>& request)
{
    return static_cast<const numbered_request&>(*request).number;
}

} // namespace

TEST_CASE("a small organisation's request is served in turn, not behind all of a large one's")
{
    fair_queue queue(100);
    for (int i = 0; i < 50; ++i)
        queue.push(makeRequest("large", i, milliseconds(100)));
    queue.push(makeRequest("small", 1000, milliseconds(100)));
    auto ignore = [](const handle<queued_request>&) {};
    CHECK(numberOf(queue.pop(now, ignore)) == 0);
    CHECK(numberOf(queue.pop(now, ignore)) == 1000);
    CHECK(numberOf(queue.pop(now, ignore)) == 1);
}

TEST_CASE("a full queue drops from the organisation that has the most waiting")
{
    fair_queue queue(10);
    for (int i = 0; i < 10; ++i)
        CHECK(queue.push(makeRequest("large", i, milliseconds(100))) == nullptr);
    auto dropped = queue.push(makeRequest("small", 1000, milliseconds(100)));
    REQUIRE(dropped != nullptr);
    CHECK(dropped->organisation == organisation_id("large"));
}

TEST_CASE("a request that can no longer meet its deadline is dropped before it runs")
{
    fair_queue queue(10);
    queue.push(makeRequest("org", 1, milliseconds(0)));
    queue.push(makeRequest("org", 2, milliseconds(10)));
    int expired = 0;
    auto next = queue.pop(now, [&](const handle<queued_request>& each) { expired = numberOf(each); });
    CHECK(expired == 1);
    CHECK(numberOf(next) == 2);
}

TEST_CASE("the node beside a backend server refuses what its data centre, drain or deadline forbid")
{
    bool isInService = true;
    bool isLeaving = false;
    auto chain = makeAdmissionChain({ [&] { return isInService; }, [&] { return isLeaving; } });
    std::string_view refusedBy;
    admission_context context;
    context.deadline = now + milliseconds(1);
    CHECK(chain.run(context, { now, {} }, refusedBy));
    context.condition = backend_condition::draining;
    CHECK(chain.run(context, { now, {} }, refusedBy).error().reason == refusal_reason::backendServerDraining);
    isLeaving = true;
    context.condition = backend_condition::warm;
    CHECK(chain.run(context, { now, {} }, refusedBy).error().reason == refusal_reason::nodeLeaving);
    isInService = false;
    CHECK(
        chain.run(context, { now, {} }, refusedBy).error().reason == refusal_reason::dataCentreOutOfService);
    isInService = true;
    isLeaving = false;
    CHECK(chain.run(context, { now + milliseconds(1), {} }, refusedBy).error().outcome == execution::notRun);
}
