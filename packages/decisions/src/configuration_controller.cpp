#include "configuration_controller.h"

#include <algorithm>

namespace pomelohub {

static constexpr std::array<std::string_view, 6> outcomeTexts { "applied", "repeated", "conflict",
    "key-taken", "restated", "stale" };

std::string_view toText(record_outcome outcome) { return outcomeTexts.at(static_cast<std::size_t>(outcome)); }

static handle<const stored_resource> makeStored(const configuration_record& record, resource_version version)
{
    handle<stored_resource> stored(new stored_resource);
    stored->name = record.target;
    stored->version = version;
    stored->recordId = record.id;
    stored->content = record.content;
    return stored;
}

std::vector<record_outcome> configuration_controller::apply(std::span<const configuration_log_entry> records)
{
    std::vector<record_outcome> outcomes;
    configuration_batch batch(m_table);
    for (const auto& entry : records) {
        if (entry.offset < m_nextOffset)
            continue;
        auto outcome = determineOutcome(batch, entry.record);
        if (outcome == record_outcome::applied)
            batch.put(makeStored(entry.record, entry.offset + 1));
        if (outcome == record_outcome::restated)
            batch.put(makeStored(entry.record, *entry.record.restatedVersion));
        outcomes.push_back(outcome);
        m_nextOffset = entry.offset + 1;
    }
    if (!outcomes.empty())
        batch.publish();
    return outcomes;
}

record_outcome configuration_controller::determineOutcome(
    const configuration_batch& batch, const configuration_record& record) const
{
    auto current = batch.find(record.target);
    resource_version version = current ? current->version : 0;
    if (record.restatedVersion)
        return *record.restatedVersion > version ? record_outcome::restated : record_outcome::stale;
    if (current && current->recordId == record.id)
        return record_outcome::repeated;
    if (record.expectedVersion != version)
        return record_outcome::conflict;
    return hasKeyConflict(batch, record) ? record_outcome::keyTaken : record_outcome::applied;
}

bool configuration_controller::hasKeyConflict(
    const configuration_batch& batch, const configuration_record& record) const
{
    if (!record.content)
        return false;
    auto isOtherResource = [&](const handle<const stored_resource>& holder) {
        return holder && holder->name != record.target;
    };
    if (const auto* content = std::get_if<organisation>(&*record.content)) {
        return std::any_of(content->apiKeyDigests.begin(), content->apiKeyDigests.end(),
            [&](const digest& key) { return isOtherResource(batch.findByKey(key)); });
    }
    if (const auto* content = std::get_if<service>(&*record.content)) {
        return std::any_of(content->hosts.begin(), content->hosts.end(),
            [&](const std::string& host) { return isOtherResource(batch.findByHost(host)); });
    }
    return false;
}

void configuration_controller::advanceTo(std::uint64_t offset)
{
    m_nextOffset = std::max(m_nextOffset, offset);
}

configuration_snapshot configuration_controller::snapshot() const
{
    configuration_snapshot result { m_nextOffset, {} };
    m_table.forEach([&](const stored_resource& stored) {
        result.resources.emplace_back(handle<const stored_resource>(&stored));
    });
    return result;
}

void configuration_controller::load(const configuration_snapshot& snapshot)
{
    if (snapshot.nextOffset <= m_nextOffset)
        return;
    configuration_batch batch(m_table);
    for (const auto& stored : snapshot.resources) {
        auto current = batch.find(stored->name);
        if (!current || current->version < stored->version)
            batch.put(stored);
    }
    batch.publish();
    m_nextOffset = snapshot.nextOffset;
}

} // namespace pomelohub
