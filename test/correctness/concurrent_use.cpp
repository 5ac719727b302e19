/** \file
 * What threads share on the path of a request: read-copy-update cells and token leases. Run under
 * ThreadSanitizer as well.
 */
#include "configuration_controller.h"
#include "token_leases.h"

#include <doctest/doctest.h>

#include <thread>

using namespace pomelohub;

TEST_CASE("readers always find a resource, whole and never older, while changes are applied")
{
    configuration_controller controller;
    auto apply = [&](std::uint64_t offset, double rate) {
        organisation content { organisation_id("org"), { digest { 1 } }, rate, 100 };
        configuration_log_entry record { offset,
            { std::to_string(offset), { resource_kind::organisation, "org" }, offset, std::nullopt,
                content } };
        controller.apply(std::span(&record, 1));
    };
    apply(0, 1);
    constexpr std::uint64_t changes = 300;
    std::atomic<bool> isDone { false };
    std::atomic<std::uint64_t> faults { 0 };
    std::vector<std::thread> readers;
    for (int i = 0; i < 4; ++i) {
        readers.emplace_back([&] {
            resource_version seen = 0;
            while (!isDone) {
                auto stored = controller.table().findByKey(digest { 1 });
                bool isFault = !stored || stored->version < seen
                    || stored->as<organisation>()->requestsPerSecond != static_cast<double>(stored->version);
                faults += isFault ? 1 : 0;
                seen = stored ? stored->version : 0;
            }
        });
    }
    for (std::uint64_t offset = 1; offset < changes; ++offset)
        apply(offset, static_cast<double>(offset + 1));
    isDone = true;
    for (auto& reader : readers)
        reader.join();
    CHECK(faults == 0U);
}

TEST_CASE("threads together spend no more than was granted")
{
    organisation_leases leases;
    const instant now { std::chrono::hours(1) };
    std::atomic<std::uint64_t> spent { 0 };
    std::uint64_t granted = 0;
    std::atomic<bool> isDone { false };
    std::vector<std::thread> spenders;
    for (int i = 0; i < 4; ++i) {
        spenders.emplace_back([&] {
            while (!isDone)
                spent += trySpend(leases, now) ? 1 : 0;
        });
    }
    std::uint64_t returned = 0;
    for (std::uint32_t round = 0; round < 2000; ++round) {
        auto part = round % ratePartitions;
        returned += leases.partitions[part].replace(0, now);
        applyGrant(leases, part, { round + 1, 50, std::chrono::seconds(10) }, now);
        granted += 50;
    }
    isDone = true;
    for (auto& spender : spenders)
        spender.join();
    for (auto& part : leases.partitions)
        returned += part.replace(0, now);
    CHECK(spent + returned == granted);
}

TEST_CASE("threads that use an organisation for the first time share its leases")
{
    token_leases leases;
    std::array<handle<organisation_leases>, 4> found;
    std::vector<std::thread> threads;
    for (auto& each : found)
        threads.emplace_back([&] { each = leases.leasesFor(organisation_id("org")); });
    for (auto& thread : threads)
        thread.join();
    for (const auto& each : found)
        CHECK(each == found[0]);
}
