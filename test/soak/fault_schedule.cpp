/** \file
 * The faults that a seed stands for.
 */
#include "fault_schedule.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace pomelohub;

namespace {

bool areEqual(const std::vector<planned_fault>& left, const std::vector<planned_fault>& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](const planned_fault& a, const planned_fault& b) {
            return a.kind == b.kind && a.at == b.at && a.length == b.length && a.node == b.node;
        });
}

} // namespace

TEST_CASE("A seed stands for the same faults each time, and another seed for others")
{
    schedule_policy policy;
    CHECK(areEqual(makeSchedule(7, policy), makeSchedule(7, policy)));
    CHECK_FALSE(areEqual(makeSchedule(7, policy), makeSchedule(8, policy)));
}

TEST_CASE("Faults are in order, within the limits, and of all kinds")
{
    schedule_policy policy;
    std::set<fault_kind> kinds;
    bool hasOverlap = false;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        auto schedule = makeSchedule(seed, policy);
        REQUIRE_FALSE(schedule.empty());
        for (std::size_t i = 0; i < schedule.size(); ++i) {
            const auto& fault = schedule[i];
            kinds.insert(fault.kind);
            CHECK(fault.at < policy.length);
            CHECK(fault.length >= policy.minFault);
            CHECK(fault.length <= policy.maxFault);
            CHECK(fault.node < policy.nodeCount);
            CHECK((i == 0 || schedule[i - 1].at <= fault.at));
            hasOverlap = hasOverlap || (i > 0 && schedule[i - 1].at + schedule[i - 1].length > fault.at);
        }
    }
    CHECK(kinds.size() == faultKindCount);
    CHECK(hasOverlap);
}
