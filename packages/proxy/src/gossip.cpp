#include "gossip.h"

#include "compression.h"
#include "peer_forwarder.h"

#include <nlohmann/json.hpp>

namespace pomelohub {

namespace {

    using nlohmann::json;

    constexpr std::size_t maxTransferBytes = 64 << 20;
    constexpr std::uint64_t maxContactAgeMs = 3'600'000; ///< Older contacts count as this old.
    constexpr std::size_t maxDepth = 16; ///< Of nested arrays and objects; messages use fewer.

    /** Thrown on an invalid message or announcement. Caught within this file. */
    struct invalid_message : std::runtime_error {
        using std::runtime_error::runtime_error;
    };

    /** Stops the library's parser, which recurses, at values that are nested too deeply. */
    struct depth_check : nlohmann::json_sax<json> {
        bool null() override { return true; }
        bool boolean(bool) override { return true; }
        bool number_integer(number_integer_t) override { return true; }
        bool number_unsigned(number_unsigned_t) override { return true; }
        bool number_float(number_float_t, const string_t&) override { return true; }
        bool string(string_t&) override { return true; }
        bool binary(binary_t&) override { return true; }
        bool key(string_t&) override { return true; }
        bool start_object(std::size_t) override { return ++depth <= maxDepth; }
        bool start_array(std::size_t) override { return ++depth <= maxDepth; }
        bool end_object() override { return depth-- > 0; }
        bool end_array() override { return depth-- > 0; }
        bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override
        {
            return false;
        }

        std::size_t depth = 0;
    };

    json parseMessagePack(std::string_view bytes)
    {
        depth_check check;
        if (!json::sax_parse(bytes, &check, json::input_format_t::msgpack))
            throw invalid_message("the bytes are not MessagePack, or nested too deeply");
        return json::from_msgpack(bytes);
    }

    std::uint64_t parseUnsigned(const json& value)
    {
        if (!value.is_number_unsigned())
            throw invalid_message("a number is negative, not whole or too large");
        return value.get<std::uint64_t>();
    }

    json toJson(const instance_announcement& each)
    {
        return { { "node", each.node.text() }, { "life", each.life }, { "revision", each.revision },
            { "endpoint", each.endpoint }, { "data_centre", each.dataCentre.text() },
            { "service", each.service.text() }, { "left", each.hasLeft } };
    }

    instance_announcement parseAnnouncement(const json& value)
    {
        instance_announcement result;
        result.node = node_id(value.at("node").get<std::string>());
        result.life = parseUnsigned(value.at("life"));
        result.revision = parseUnsigned(value.at("revision"));
        result.endpoint = value.at("endpoint").get<std::string>();
        auto address = endpointFromText(result.endpoint);
        if (result.node.empty() || !address || address->port() == 0)
            throw invalid_message("an announcement has no node or no valid endpoint");
        result.dataCentre = data_centre_id(value.at("data_centre").get<std::string>());
        result.service = service_id(value.at("service").get<std::string>());
        result.hasLeft = value.at("left").get<bool>();
        return result;
    }

    json toJson(const document_delta& delta)
    {
        auto parts = json::array();
        for (const auto& part : delta.parts)
            parts.push_back({ part.offset, part.length, part.text });
        return { { "base", delta.base }, { "target", delta.target }, { "parts", std::move(parts) } };
    }

    document_delta parseDelta(const json& value)
    {
        document_delta delta { value.at("base").get<document_fingerprint>(),
            value.at("target").get<document_fingerprint>(), {} };
        for (const auto& part : value.at("parts")) {
            delta.parts.push_back(
                { parseUnsigned(part.at(0)), parseUnsigned(part.at(1)), part.at(2).get<std::string>() });
        }
        return delta;
    }

    /** Entries are arrays of the data centre, whether it is evacuated, its position, the era in which it was
     * read and the start offsets. */
    json toJson(const evacuation_table& table)
    {
        auto result = json::array();
        for (const auto& [dataCentre, entry] : table.entries())
            result.push_back({ dataCentre.text(), entry.isEvacuated, entry.decidedAt.era,
                entry.decidedAt.offset, entry.readIn, entry.startOffsets });
        return result;
    }

    evacuation_table parseEvacuations(const json& value)
    {
        evacuation_table table;
        for (const auto& each : value) {
            evacuation_table::entry entry { each.at(1).get<bool>(),
                { parseUnsigned(each.at(2)), parseUnsigned(each.at(3)) }, parseUnsigned(each.at(4)), {} };
            for (const auto& offset : each.at(5))
                entry.startOffsets.insert(parseUnsigned(offset));
            table.merge(data_centre_id(each.at(0).get<std::string>()), entry);
        }
        return table;
    }

    json toJson(const followed_log& followed)
    {
        return json::array({ followed.formerStart, followed.formerEnd.era, followed.formerEnd.offset,
            followed.lowestEnd, followed.start });
    }

    followed_log parseFollowed(const json& value)
    {
        return { parseUnsigned(value.at(0)), { parseUnsigned(value.at(1)), parseUnsigned(value.at(2)) },
            parseUnsigned(value.at(3)), parseUnsigned(value.at(4)) };
    }

    json toJson(const operator_transfer& transfer)
    {
        json result { { "position", transfer.position.offset }, { "era", transfer.position.era },
            { "evacuations", toJson(transfer.evacuations) }, { "followed", toJson(transfer.followed) },
            { "evacuated", json::array() } }; // Nodes of an earlier version read it.
        for (const auto& each : transfer.evacuations.evacuated())
            result["evacuated"].push_back(each.text());
        if (transfer.document)
            result["document"] = *transfer.document;
        if (transfer.delta)
            result["delta"] = toJson(*transfer.delta);
        return result;
    }

    operator_transfer parseOperatorTransfer(const json& value)
    {
        operator_transfer transfer;
        transfer.position.offset = parseUnsigned(value.at("position"));
        if (value.contains("evacuations")) {
            transfer.position.era = parseUnsigned(value.at("era"));
            transfer.evacuations = parseEvacuations(value.at("evacuations"));
            transfer.followed = parseFollowed(value.at("followed"));
        } else {
            transfer.evacuatedOnly.emplace();
            for (const auto& each : value.at("evacuated"))
                transfer.evacuatedOnly->insert(data_centre_id(each.get<std::string>()));
        }
        if (value.contains("document"))
            transfer.document = value.at("document").get<std::string>();
        if (value.contains("delta"))
            transfer.delta = parseDelta(value.at("delta"));
        return transfer;
    }

    /** Without names, as there may be many in a message. */
    json toJson(const crash_notice& notice)
    {
        auto crashes = json::array();
        for (const auto& each : notice.crashes)
            crashes.push_back({ each.id, each.runTime.count(), each.age.count() });
        return json::array({ notice.fingerprint,
            notice.answerAge ? json(notice.answerAge->count()) : json(nullptr), std::move(crashes) });
    }

    crash_notice parseCrashNotice(const json& value)
    {
        auto parseTime = [](const json& time) { return std::chrono::milliseconds(time.get<std::int64_t>()); };
        crash_notice notice;
        notice.fingerprint = parseUnsigned(value.at(0));
        if (!value.at(1).is_null())
            notice.answerAge = parseTime(value.at(1));
        for (const auto& each : value.at(2))
            notice.crashes.push_back(
                { parseUnsigned(each.at(0)), parseTime(each.at(1)), parseTime(each.at(2)) });
        return notice;
    }

    gossip_update parseGossip(const json& body)
    {
        gossip_update update;
        update.from = node_id(body.at("from").get<std::string>());
        update.offset = parseUnsigned(body.at("position"));
        if (body.contains("era")) {
            update.era = parseUnsigned(body.at("era"));
            update.version = parseUnsigned(body.at("version"));
            update.evacuations = parseUnsigned(body.at("evacuations"));
        }
        update.fingerprint = parseUnsigned(body.at("fingerprint"));
        for (const auto& each : body.at("announcements")) {
            try {
                update.announcements.push_back(parseAnnouncement(each));
            } catch (const std::exception&) {
                ++update.unreadableAnnouncements; // Logged by the caller.
            }
        }
        if (body.contains("operators")) {
            const auto& bytes = body.at("operators").get_binary();
            update.operators.emplace(bytes.begin(), bytes.end());
        }
        if (body.contains("contact_age_ms")) {
            auto age = std::min(parseUnsigned(body.at("contact_age_ms")), maxContactAgeMs);
            update.contactAge = std::chrono::milliseconds(static_cast<std::int64_t>(age));
        } else if (body.value("following_log", false)) {
            update.contactAge = duration::zero(); // From a node of an earlier version.
        }
        if (body.contains("part_fingerprints"))
            update.partFingerprints
                = body.at("part_fingerprints").get<announcement_table::part_fingerprints>();
        if (body.contains("document_base"))
            update.documentBase = body.at("document_base").get<document_fingerprint>();
        for (const auto& each : body.value("crashes", json::array()))
            update.crashes.push_back(parseCrashNotice(each));
        return update;
    }

} // namespace

std::string encodeAnnouncement(const instance_announcement& announcement)
{
    return toJson(announcement).dump();
}

std::optional<instance_announcement> decodeAnnouncement(std::string_view text)
{
    try {
        return parseAnnouncement(json::parse(text));
    } catch (const std::exception&) {
        return std::nullopt; // Not written by a node of this fleet; the caller logs it.
    }
}

std::string encodeOperatorTransfer(const operator_transfer& transfer)
{
    std::string bytes;
    json::to_msgpack(toJson(transfer), bytes);
    return compress(bytes);
}

std::optional<operator_transfer> decodeOperatorTransfer(std::string_view bytes)
{
    auto whole = decompress(bytes, maxTransferBytes);
    if (!whole)
        return std::nullopt;
    try {
        return parseOperatorTransfer(parseMessagePack(*whole));
    } catch (const std::exception&) {
        return std::nullopt; // The caller logs the invalid message.
    }
}

peer_message encodeGossip(const gossip_update& update)
{
    json body { { "from", update.from.text() }, { "position", update.offset },
        { "fingerprint", update.fingerprint }, { "announcements", json::array() },
        { "quarantined", json::array() }, // Nodes of an earlier version require it.
        { "following_log", update.contactAge == duration::zero() } };
    for (const auto& each : update.announcements)
        body["announcements"].push_back(toJson(each));
    if (update.era) {
        body["era"] = *update.era;
        body["version"] = update.version;
        body["evacuations"] = update.evacuations;
    }
    if (update.contactAge)
        body["contact_age_ms"] = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(*update.contactAge).count());
    if (update.partFingerprints)
        body["part_fingerprints"] = *update.partFingerprints;
    if (update.documentBase)
        body["document_base"] = *update.documentBase;
    if (update.operators)
        body["operators"] = json::binary({ update.operators->begin(), update.operators->end() });
    for (const auto& each : update.crashes)
        body["crashes"].push_back(toJson(each));
    auto bytes = json::to_msgpack(body);
    peer_message message;
    message.fields = { { "type", "gossip" } };
    message.payload.assign(bytes.begin(), bytes.end());
    return message;
}

std::optional<gossip_update> decodeGossip(const peer_message& message)
{
    try {
        return parseGossip(parseMessagePack(message.payload));
    } catch (const std::exception&) {
        return std::nullopt; // The caller logs the invalid message.
    }
}

} // namespace pomelohub
