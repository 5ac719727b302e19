#include "gossip.h"

#include <nlohmann/json.hpp>

namespace pomelohub {

namespace {

    using nlohmann::json;

    json toJson(const instance_announcement& each)
    {
        return { { "node", each.node.text() }, { "life", each.life }, { "revision", each.revision },
            { "endpoint", each.endpoint }, { "data_centre", each.dataCentre.text() },
            { "service", each.service.text() }, { "left", each.hasLeft } };
    }

    instance_announcement announcementFrom(const json& value)
    {
        instance_announcement result;
        result.node = node_id(value.at("node").get<std::string>());
        result.life = value.at("life").get<std::uint64_t>();
        result.revision = value.at("revision").get<std::uint64_t>();
        result.endpoint = value.at("endpoint").get<std::string>();
        result.dataCentre = data_centre_id(value.at("data_centre").get<std::string>());
        result.service = service_id(value.at("service").get<std::string>());
        result.hasLeft = value.at("left").get<bool>();
        return result;
    }

    json toJson(const operator_state& state)
    {
        auto evacuated = json::array();
        for (const auto& each : state.evacuated)
            evacuated.push_back(each.text());
        return { { "position", state.position }, { "document", state.document }, { "evacuated", evacuated } };
    }

    operator_state operatorsFrom(const json& value)
    {
        operator_state state;
        state.position = value.at("position").get<std::uint64_t>();
        state.document = value.at("document").get<std::string>();
        for (const auto& each : value.at("evacuated"))
            state.evacuated.insert(data_centre_id(each.get<std::string>()));
        return state;
    }

    gossip_news newsFrom(const json& body)
    {
        gossip_news news;
        news.from = node_id(body.at("from").get<std::string>());
        news.position = body.at("position").get<std::uint64_t>();
        news.fingerprint = body.at("fingerprint").get<std::uint64_t>();
        for (const auto& each : body.at("announcements"))
            news.announcements.push_back(announcementFrom(each));
        if (body.contains("operators"))
            news.operators = operatorsFrom(body.at("operators"));
        for (const auto& each : body.at("quarantined")) {
            news.quarantined.push_back({ each.at("fingerprint").get<request_fingerprint>(),
                std::chrono::milliseconds(each.at("left_ms").get<std::int64_t>()) });
        }
        return news;
    }

} // namespace

std::string encodeAnnouncement(const instance_announcement& announcement)
{
    return toJson(announcement).dump();
}

std::optional<instance_announcement> decodeAnnouncement(std::string_view text)
{
    try {
        return announcementFrom(json::parse(text));
    } catch (const json::exception&) {
        return std::nullopt; // Another writer's record; the caller logs it.
    }
}

peer_message encodeGossip(const gossip_news& news)
{
    json body { { "from", news.from.text() }, { "position", news.position },
        { "fingerprint", news.fingerprint }, { "announcements", json::array() },
        { "quarantined", json::array() } };
    for (const auto& each : news.announcements)
        body["announcements"].push_back(toJson(each));
    if (news.operators)
        body["operators"] = toJson(*news.operators);
    for (const auto& each : news.quarantined)
        body["quarantined"].push_back(
            { { "fingerprint", each.fingerprint }, { "left_ms", each.left.count() } });
    auto bytes = json::to_msgpack(body);
    peer_message message;
    message.fields = { { "type", "gossip" } };
    message.payload.assign(bytes.begin(), bytes.end());
    return message;
}

std::optional<gossip_news> decodeGossip(const peer_message& message)
{
    try {
        return newsFrom(json::from_msgpack(message.payload));
    } catch (const json::exception&) {
        return std::nullopt; // The caller logs that the node sent something else.
    }
}

} // namespace pomelohub
