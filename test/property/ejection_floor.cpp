/** \file
 * Property of ejection: whatever nodes complain of, and however the floor changes, permits never leave less
 * than the floor in use for longer than a permit lasts.
 */
#include "ejection_budget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace pomelohub;

namespace {

constexpr std::uint32_t backendCount = 9;

std::vector<backend_server_id> someBackends()
{
    std::vector<backend_server_id> backends;
    for (std::uint32_t i = 0; i < backendCount; ++i) {
        if (*rc::gen::inRange(0, 2) == 0)
            backends.emplace_back("b" + std::to_string(i));
    }
    return backends;
}

} // namespace

TEST_CASE("P6: healthy capacity stays at or above the floor")
{
    CHECK(rc::check("permits in force leave the floor", [] {
        ejection_policy policy;
        policy.maxEjectionPercent = 100;
        ejection_budget budget(policy);
        auto now = instant() + std::chrono::hours(1);
        service_capacity capacity { backendCount, 5, 3 };
        auto floorRaisedAt = now - policy.permitLifetime;
        std::map<backend_server_id, instant> out;
        for (int step = 0; step < 150; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
            if (*rc::gen::inRange(0, 15) == 0) {
                auto minInUse = static_cast<std::uint32_t>(*rc::gen::inRange(0, 10));
                if (minInUse > capacity.minInUse)
                    floorRaisedAt = now;
                capacity.minInUse = minInUse;
            }
            auto asked = now;
            node_id reporter("n" + std::to_string(*rc::gen::inRange(0, 3)));
            auto permit = budget.request({ service_id("s"), reporter, someBackends() }, capacity, now);
            for (const auto& backend : permit.ejected)
                out[backend] = asked + permit.lifetime;
            std::erase_if(out, [&](const auto& entry) { return entry.second <= now; });
            if (now - floorRaisedAt >= policy.permitLifetime)
                RC_ASSERT(backendCount - out.size() >= std::min(capacity.minInUse, backendCount));
        }
    }));
}
