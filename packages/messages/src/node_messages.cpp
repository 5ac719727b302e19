#include "node_messages.h"

#include "configuration_codec.h"
#include "slot_codec.h"

namespace pomelohub {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    /** Thrown for valid MessagePack that is not a valid message of the expected type. */
    struct invalid_message : std::runtime_error {
        using std::runtime_error::runtime_error;
    };

    std::string pack(const json& value)
    {
        std::string bytes;
        json::to_msgpack(value, bytes);
        return bytes;
    }

    /** Applies \p read to the decoded bytes. \return nothing when the bytes are not MessagePack, or a type or
     * length does not match. */
    template <typename F>
    auto unpack(std::string_view bytes, F&& read) -> std::optional<decltype(read(json()))>
    {
        try {
            return read(json::from_msgpack(bytes.begin(), bytes.end()));
        } catch (const std::exception&) {
            return std::nullopt;
        }
    }

    json toArray(const node_incarnation& life) { return json::array({ life.node.text(), life.incarnation }); }

    node_incarnation readLife(const json& value) { return { node_id(value.at(0)), value.at(1) }; }

    template <typename Enum> Enum readEnum(const json& value, Enum last)
    {
        auto number = value.get<unsigned>();
        if (number > static_cast<unsigned>(last))
            throw invalid_message("enumeration value out of range");
        return static_cast<Enum>(number);
    }

    json toArray(const announced_backend& backend)
    {
        return json::array({ backend.id.text(), backend.service.text(), backend.slots, backend.condition });
    }

    announced_backend readBackend(const json& value)
    {
        return { backend_server_id(value.at(0)), service_id(value.at(1)), value.at(2),
            readEnum(value.at(3), backend_condition::draining) };
    }

    json toArray(const member_record& record)
    {
        auto backends = json::array();
        for (const auto& backend : record.backends)
            backends.push_back(toArray(backend));
        return json::array({ toArray(record.life), record.dataCentre.text(), record.endpoint, record.status,
            record.revision, record.confirmedOffset, backends });
    }

    member_record readMember(const json& value)
    {
        member_record record { readLife(value.at(0)), data_centre_id(value.at(1)), value.at(2),
            readEnum(value.at(3), member_status::left), value.at(4), value.at(5), {} };
        for (const auto& backend : value.at(6))
            record.backends.push_back(readBackend(backend));
        return record;
    }

    json toArray(const std::vector<member_record>& members)
    {
        auto result = json::array();
        for (const auto& member : members)
            result.push_back(toArray(member));
        return result;
    }

    std::vector<member_record> readMembers(const json& value)
    {
        std::vector<member_record> members;
        for (const auto& member : value)
            members.push_back(readMember(member));
        return members;
    }

    json toArray(const std::vector<crash_notice>& notices)
    {
        auto result = json::array();
        for (const auto& notice : notices) {
            auto crashes = json::array();
            for (const auto& each : notice.crashes)
                crashes.push_back(json::array({ each.id, each.runTime.count(), each.age.count() }));
            result.push_back(json::array({ notice.fingerprint,
                notice.answerAge ? json(notice.answerAge->count()) : json(nullptr), std::move(crashes) }));
        }
        return result;
    }

    std::vector<crash_notice> readCrashNotices(const json& value)
    {
        auto readTime = [](const json& time) { return milliseconds(time.get<std::int64_t>()); };
        std::vector<crash_notice> notices;
        for (const auto& each : value) {
            crash_notice notice;
            notice.fingerprint = each.at(0);
            if (!each.at(1).is_null())
                notice.answerAge = readTime(each.at(1));
            for (const auto& crash : each.at(2))
                notice.crashes.push_back({ crash.at(0), readTime(crash.at(1)), readTime(crash.at(2)) });
            notices.push_back(std::move(notice));
        }
        return notices;
    }

    json toArray(const log_cursors& cursors)
    {
        return json::array(
            { cursors.configuration, cursors.fleet, cursors.staleness.count(), cursors.inForceOffset });
    }

    log_cursors readCursors(const json& value)
    {
        return { value.at(0), value.at(1), milliseconds(value.at(2).get<std::int64_t>()), value.at(3) };
    }

    json toArray(const std::vector<backend_server_id>& ids)
    {
        auto result = json::array();
        for (const auto& id : ids)
            result.push_back(id.text());
        return result;
    }

    std::vector<backend_server_id> readBackendIds(const json& value)
    {
        std::vector<backend_server_id> ids;
        for (const auto& id : value)
            ids.emplace_back(id.get<std::string>());
        return ids;
    }

    json toArray(const stored_resource& stored)
    {
        auto content = stored.content ? toJson(*stored.content) : json();
        return json::array(
            { stored.name.kind, stored.name.name, stored.version, stored.recordId, std::move(content) });
    }

    handle<const stored_resource> readStored(const json& value)
    {
        handle<stored_resource> stored(new stored_resource);
        stored->name = { readEnum(value.at(0), resource_kind::capacityFloor), value.at(1) };
        stored->version = value.at(2);
        stored->recordId = value.at(3);
        if (value.at(4).is_null())
            return stored;
        auto document = checked_document::wrap(value.at(4));
        stored->content = resourceFromJson(document, document.root(), stored->name.kind, "");
        if (!stored->content)
            throw invalid_message("invalid content of a resource");
        return stored;
    }

    slot_snapshot readSlotSnapshot(const json& value)
    {
        auto state = slotSnapshotFromJson(value);
        if (!state)
            throw invalid_message("invalid state of a slot");
        return *state;
    }

} // namespace

std::string encode(const gossip_message& message)
{
    return pack(json::array({ message.kind, message.sequence, toArray(message.from), message.fromEndpoint,
        message.target.text(), message.targetEndpoint, toArray(message.cursors), message.viewDigest,
        toArray(message.updates), toArray(message.crashes) }));
}

std::optional<gossip_message> decodeGossip(std::string_view bytes)
{
    return unpack(bytes, [](const json& value) {
        gossip_message message;
        message.kind = readEnum(value.at(0), gossip_kind::report);
        message.sequence = value.at(1);
        message.from = readLife(value.at(2));
        message.fromEndpoint = value.at(3);
        message.target = node_id(value.at(4));
        message.targetEndpoint = value.at(5);
        message.cursors = readCursors(value.at(6));
        message.viewDigest = value.at(7);
        message.updates = readMembers(value.at(8));
        message.crashes = readCrashNotices(value.at(9));
        return message;
    });
}

std::string encode(const rate_request& request)
{
    return pack(json::array({ request.partition.organisation.text(), request.partition.index,
        toArray(request.entry), request.returnedGrant, request.unspent, request.requestedTokens }));
}

std::optional<rate_request> decodeRateRequest(std::string_view bytes)
{
    return unpack(bytes, [](const json& value) {
        return rate_request { { organisation_id(value.at(0)), value.at(1) }, readLife(value.at(2)),
            value.at(3), value.at(4), value.at(5) };
    });
}

std::string encode(const rate_grant& grant)
{
    return pack(json::array({ grant.id, grant.tokens, grant.lifetime.count() }));
}

std::optional<rate_grant> decodeRateGrant(std::string_view bytes)
{
    return unpack(bytes, [](const json& value) {
        return rate_grant { value.at(0), value.at(1), milliseconds(value.at(2).get<std::int64_t>()) };
    });
}

std::string encode(const ejection_request& request)
{
    return pack(json::array({ request.service.text(), request.reporter.text(), toArray(request.suspects) }));
}

std::optional<ejection_request> decodeEjectionRequest(std::string_view bytes)
{
    return unpack(bytes, [](const json& value) {
        return ejection_request { service_id(value.at(0)), node_id(value.at(1)),
            readBackendIds(value.at(2)) };
    });
}

std::string encode(const ejection_permit& permit)
{
    return pack(json::array({ toArray(permit.ejected), permit.lifetime.count() }));
}

std::optional<ejection_permit> decodeEjectionPermit(std::string_view bytes)
{
    return unpack(bytes, [](const json& value) {
        return ejection_permit { readBackendIds(value.at(0)), milliseconds(value.at(1).get<std::int64_t>()) };
    });
}

std::string encode(const std::vector<member_record>& members) { return pack(toArray(members)); }

std::optional<std::vector<member_record>> decodeMembers(std::string_view bytes)
{
    return unpack(bytes, readMembers);
}

std::string encode(const bootstrap_state& state)
{
    auto resources = json::array();
    for (const auto& stored : state.configuration.resources)
        resources.push_back(toArray(*stored));
    auto slots = json::array();
    for (const auto& slot : state.slots)
        slots.push_back(toJson(slot));
    return pack(json::array({ state.configuration.nextOffset, std::move(resources), state.fleetNextOffset,
        std::move(slots), toArray(state.members) }));
}

std::optional<bootstrap_state> decodeBootstrapState(std::string_view bytes)
{
    return unpack(bytes, [](const json& value) {
        bootstrap_state state;
        state.configuration.nextOffset = value.at(0);
        for (const auto& stored : value.at(1))
            state.configuration.resources.push_back(readStored(stored));
        state.fleetNextOffset = value.at(2);
        for (const auto& record : value.at(3))
            state.slots.push_back(readSlotSnapshot(record));
        state.members = readMembers(value.at(4));
        return state;
    });
}

std::string encode(const log_page& page)
{
    auto records = json::array();
    for (const auto& record : page.records)
        records.push_back(json::array({ record.offset, record.data }));
    return pack(json::array({ page.first, page.next, std::move(records) }));
}

std::optional<log_page> decodeLogPage(std::string_view bytes)
{
    return unpack(bytes, [](const json& value) {
        log_page page { value.at(0), value.at(1), {} };
        for (const auto& record : value.at(2))
            page.records.push_back({ record.at(0), record.at(1) });
        return page;
    });
}

} // namespace pomelohub
