/** \file
 * The rules by which configuration records apply: races, repeated appends, deletions and restatements.
 */
#include "configuration_controller.h"

#include <doctest/doctest.h>

using namespace pomelohub;

static configuration_record organisationRecord(
    const std::string& id, resource_version replaces, double rate, std::vector<digest> keys = {})
{
    organisation content { organisation_id("org"), std::move(keys), rate, 100 };
    return { id, { resource_kind::organisation, "org" }, replaces, std::nullopt, content };
}

static double rateIn(const configuration_controller& controller)
{
    auto stored = controller.table().find({ resource_kind::organisation, "org" });
    return stored && stored->content ? stored->as<organisation>()->requestsPerSecond : 0;
}

static std::vector<record_outcome> applyOne(
    configuration_controller& controller, std::uint64_t offset, configuration_record record)
{
    configuration_log_entry placed { offset, std::move(record) };
    return controller.apply(std::span(&placed, 1));
}

TEST_CASE("of two operators who saw the same version, the first in the log wins")
{
    configuration_controller controller;
    CHECK(applyOne(controller, 0, organisationRecord("a", 0, 1)).front() == record_outcome::applied);
    CHECK(applyOne(controller, 1, organisationRecord("b", 1, 2)).front() == record_outcome::applied);
    CHECK(applyOne(controller, 2, organisationRecord("c", 1, 3)).front() == record_outcome::conflict);
    CHECK(rateIn(controller) == 2);
}

TEST_CASE("a record appended again after a lost answer changes nothing")
{
    configuration_controller controller;
    applyOne(controller, 0, organisationRecord("a", 0, 1));
    CHECK(applyOne(controller, 1, organisationRecord("a", 0, 1)).front() == record_outcome::repeated);
    CHECK(controller.table().find({ resource_kind::organisation, "org" })->version == 1U);
}

TEST_CASE("a deleted resource does not come back by a late copy of the record that made it")
{
    configuration_controller controller;
    applyOne(controller, 0, organisationRecord("a", 0, 1));
    applyOne(controller, 1, { "d", { resource_kind::organisation, "org" }, 1, std::nullopt, std::nullopt });
    CHECK(applyOne(controller, 2, organisationRecord("a", 0, 1)).front() == record_outcome::conflict);
    CHECK(rateIn(controller) == 0);
}

TEST_CASE("a restatement by a node that was paused does not revert a change")
{
    configuration_controller controller;
    applyOne(controller, 0, organisationRecord("a", 0, 1));
    applyOne(controller, 1, organisationRecord("b", 1, 2));
    auto late = organisationRecord("a", 0, 1);
    late.restatedVersion = 1;
    CHECK(applyOne(controller, 2, late).front() == record_outcome::stale);
    CHECK(rateIn(controller) == 2);
}

TEST_CASE("a key that belongs to another organisation is refused, and a withdrawn key is free again")
{
    configuration_controller controller;
    digest key { 1, 2, 3 };
    applyOne(controller, 0, organisationRecord("a", 0, 1, { key }));
    organisation other { organisation_id("other"), { key }, 1, 100 };
    configuration_record take { "o", { resource_kind::organisation, "other" }, 0, std::nullopt, other };
    CHECK(applyOne(controller, 1, take).front() == record_outcome::keyTaken);
    applyOne(controller, 2, organisationRecord("b", 1, 1, {}));
    CHECK(controller.table().findByKey(key) == nullptr);
    take.id = "o2";
    CHECK(applyOne(controller, 3, take).front() == record_outcome::applied);
    CHECK(controller.table().findByKey(key)->name.name == "other");
}

TEST_CASE("a key that moved between organisations stays findable after a snapshot is loaded")
{
    digest key { 9 };
    configuration_controller first;
    applyOne(first, 0, organisationRecord("a", 0, 1, { key }));
    configuration_controller second;
    second.load(first.snapshot());
    applyOne(first, 1, organisationRecord("b", 1, 1, {}));
    organisation other { organisation_id("other"), { key }, 1, 100 };
    applyOne(first, 2, { "o", { resource_kind::organisation, "other" }, 0, std::nullopt, other });
    second.load(first.snapshot());
    REQUIRE(second.table().findByKey(key) != nullptr);
    CHECK(second.table().findByKey(key)->name.name == "other");
}
