#include "slot_codec.h"

namespace pomelohub {

using nlohmann::json;

static constexpr std::array<std::string_view, 4> slotChangeNames { "claim", "release", "join", "restate" };

static json toJson(const std::optional<node_incarnation>& life)
{
    return life ? json::array({ life->node.text(), life->incarnation }) : json();
}

json toJson(const slot_snapshot& state)
{
    return json::array({ state.slot, state.term, toJson(state.holder), toJson(state.claimant) });
}

static std::optional<node_incarnation> lifeFromJson(const json& value)
{
    if (value.is_null())
        return std::nullopt;
    return node_incarnation { node_id(value.at(0)), value.at(1) };
}

std::optional<slot_snapshot> slotSnapshotFromJson(const json& value)
{
    try {
        slot_snapshot state { value.at(0), value.at(1), lifeFromJson(value.at(2)),
            lifeFromJson(value.at(3)) };
        return value.size() == 4 && state.slot < slotCount ? std::optional(std::move(state)) : std::nullopt;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encodeFleetRecord(const fleet_record& record)
{
    const auto& slots = record.slots;
    json value { { "change", slotChangeNames.at(static_cast<std::size_t>(slots.change)) },
        { "node", slots.member.node.text() }, { "life", slots.member.incarnation },
        { "data_centre", record.dataCentre.text() }, { "endpoint", record.endpoint } };
    auto pairs = json::array();
    for (std::size_t i = 0; i < slots.slots.size(); ++i)
        pairs.push_back({ slots.slots[i], slots.terms[i] });
    for (const auto& state : slots.snapshots)
        pairs.push_back(toJson(state));
    value["slots"] = std::move(pairs);
    return value.dump();
}

static void readSlotSnapshots(checked_document& document, const json& entries, slot_record& slots)
{
    for (const auto& entry : entries) {
        if (auto state = slotSnapshotFromJson(entry))
            slots.snapshots.push_back(std::move(*state));
        else
            return document.fail("/slots", "must hold entries of a slot, a term, a holder and a claimant");
    }
}

static void readSlots(checked_document& document, const json& pairs, slot_record& slots)
{
    if (slots.change == slot_change::restate)
        return readSlotSnapshots(document, pairs, slots);
    for (const auto& pair : pairs) {
        bool isPair = pair.is_array() && pair.size() == 2 && pair[0].is_number_unsigned()
            && pair[1].is_number_unsigned();
        if (!isPair || pair[0] >= slotCount) {
            document.fail("/slots", "must hold pairs of a slot and a term");
            return;
        }
        slots.slots.push_back(pair[0]);
        slots.terms.push_back(pair[1]);
    }
}

std::optional<fleet_record> decodeFleetRecord(const std::string& text, std::vector<field_error>& errors)
{
    auto document = checked_document::parse(text);
    checked_object object(document, document.root(), "");
    fleet_record record;
    if (object.isObject()) {
        auto change = object.text("change");
        auto found = std::find(slotChangeNames.begin(), slotChangeNames.end(), change);
        if (found == slotChangeNames.end())
            object.fail("change", "is not a known change of slots");
        else
            record.slots.change = static_cast<slot_change>(found - slotChangeNames.begin());
        record.slots.member.node = node_id(object.text("node"));
        record.slots.member.incarnation
            = static_cast<incarnation_number>(object.integer("life", { 0, 9e15 }));
        record.dataCentre = data_centre_id(object.text("data_centre", false));
        record.endpoint = object.text("endpoint", false);
        const auto& root = document.root();
        if (root.contains("slots") && root["slots"].is_array())
            readSlots(document, root["slots"], record.slots);
        else
            object.fail("slots", "must be an array");
    }
    errors = document.errors();
    return errors.empty() ? std::optional(std::move(record)) : std::nullopt;
}

} // namespace pomelohub
