#include "configuration_codec.h"

#include "hashing.h"
#include "token_bucket_store.h"

namespace pomelohub {

using nlohmann::json;

namespace {

    constexpr number_range rateRange { 0.001, 1'000'000 };
    constexpr number_range burstRange { minBurst, 1'000'000 };
    constexpr number_range capacityFloorRange { 0, 100'000 };
    constexpr std::size_t maxNameLength = 100;

    void checkName(checked_object& object, const std::string& field, const std::string& name)
    {
        static const std::string allowed = "abcdefghijklmnopqrstuvwxyz0123456789-._";
        if (name.size() > maxNameLength || name.find_first_not_of(allowed) != std::string::npos)
            object.fail(field, "must have at most 100 of the characters a-z, 0-9, '-', '.' and '_'");
    }

    std::string readName(checked_object& object, const std::string& field)
    {
        auto name = object.text(field);
        checkName(object, field, name);
        return name;
    }

    std::vector<digest> readKeys(checked_object& object)
    {
        std::vector<digest> keys;
        for (auto& entry : object.objects("keys")) {
            auto key = entry.text("key", !entry.has("sha256"));
            auto hex = entry.text("sha256", !entry.has("key"));
            auto parsed = digestFromHex(hex);
            if (!key.empty())
                keys.push_back(sha256(key));
            else if (parsed)
                keys.push_back(*parsed);
            else if (!hex.empty())
                entry.fail("sha256", "must be 64 hexadecimal digits in lower case");
            entry.rejectUnknownFields();
        }
        return keys;
    }

    organisation readOrganisation(checked_object& object)
    {
        organisation content;
        content.id = organisation_id(readName(object, "name"));
        content.apiKeyDigests = readKeys(object);
        content.requestsPerSecond = object.number("requests_per_second", rateRange);
        content.burst = static_cast<std::uint32_t>(object.integer("burst", burstRange));
        return content;
    }

    route readRoute(checked_object& object)
    {
        route content;
        content.id = readName(object, "id");
        content.method = object.text("method", false, "*");
        content.pathPrefix = object.text("path_prefix");
        if (!content.pathPrefix.starts_with('/'))
            object.fail("path_prefix", "must start with '/'");
        content.isIdempotent = object.boolean("idempotent");
        content.isPublic = object.boolean("open", false);
        if (content.isPublic && !content.isIdempotent)
            object.fail("open", "an open route must be idempotent");
        object.rejectUnknownFields();
        return content;
    }

    service readService(checked_object& object)
    {
        service content;
        content.id = service_id(readName(object, "name"));
        content.hosts = object.texts("hosts");
        if (content.hosts.empty())
            object.fail("hosts", "must name at least one host");
        for (auto& entry : object.objects("routes"))
            content.routes.push_back(readRoute(entry));
        if (content.routes.empty())
            object.fail("routes", "must hold at least one route");
        return content;
    }

    data_centre readDataCentre(checked_object& object)
    {
        return { data_centre_id(readName(object, "name")), object.boolean("in_service") };
    }

    capacity_floor readCapacityFloor(checked_object& object)
    {
        return { service_id(readName(object, "service")),
            static_cast<std::uint32_t>(object.integer("minimum", capacityFloorRange)) };
    }

    resource readKind(checked_object& object, resource_kind kind)
    {
        switch (kind) {
        case resource_kind::organisation:
            return readOrganisation(object);
        case resource_kind::service:
            return readService(object);
        case resource_kind::dataCentre:
            return readDataCentre(object);
        case resource_kind::capacityFloor:
            break;
        }
        return readCapacityFloor(object);
    }

    struct json_writer {
        json operator()(const organisation& content) const
        {
            auto keys = json::array();
            for (const auto& key : content.apiKeyDigests)
                keys.push_back({ { "sha256", toHex(key) } });
            return { { "name", content.id.text() }, { "keys", keys },
                { "requests_per_second", content.requestsPerSecond }, { "burst", content.burst } };
        }
        json operator()(const service& content) const
        {
            auto routes = json::array();
            for (const auto& entry : content.routes)
                routes.push_back(
                    { { "id", entry.id }, { "method", entry.method }, { "path_prefix", entry.pathPrefix },
                        { "idempotent", entry.isIdempotent }, { "open", entry.isPublic } });
            return { { "name", content.id.text() }, { "hosts", content.hosts }, { "routes", routes } };
        }
        json operator()(const data_centre& content) const
        {
            return { { "name", content.id.text() }, { "in_service", content.isInService } };
        }
        json operator()(const capacity_floor& content) const
        {
            return { { "service", content.service.text() }, { "minimum", content.minimum } };
        }
    };

} // namespace

json toJson(const resource& content) { return std::visit(json_writer {}, content); }

std::optional<resource> resourceFromJson(
    checked_document& document, const json& value, resource_kind kind, const std::string& path)
{
    auto errorCountBefore = document.errors().size();
    checked_object object(document, value, path);
    if (!object.isObject())
        return std::nullopt;
    if (path.empty() || value.contains("kind"))
        object.text("kind", false);
    auto content = readKind(object, kind);
    object.rejectUnknownFields();
    if (document.errors().size() > errorCountBefore)
        return std::nullopt;
    return content;
}

resource_file readResourceFile(const std::string& text)
{
    auto document = checked_document::parse(text);
    resource_file file;
    auto readResource = [&](const json& value, const std::string& path) {
        checked_object object(document, value, path);
        if (!object.isObject())
            return;
        auto kind = resourceKindFromText(object.text("kind"));
        if (!kind) {
            object.fail("kind", "must be organisation, service, data-centre or capacity-floor");
            return;
        }
        if (auto content = resourceFromJson(document, value, *kind, path))
            file.resources.push_back(std::move(*content));
    };
    const auto& root = document.root();
    if (document.isValid() && root.is_array()) {
        for (std::size_t i = 0; i < root.size(); ++i)
            readResource(root[i], "/" + std::to_string(i));
    } else if (document.isValid()) {
        readResource(root, "");
    }
    file.errors = document.errors();
    return file;
}

std::string encodeRecord(const configuration_record& record)
{
    json value { { "id", record.id }, { "kind", toText(record.target.kind) }, { "name", record.target.name },
        { "replaces", record.expectedVersion } };
    if (record.restatedVersion)
        value["restates"] = *record.restatedVersion;
    if (record.content)
        value["content"] = toJson(*record.content);
    return value.dump();
}

std::optional<configuration_record> decodeRecord(const std::string& text, std::vector<field_error>& errors)
{
    constexpr number_range versionRange { 0, 9e15 };
    auto document = checked_document::parse(text);
    checked_object object(document, document.root(), "");
    configuration_record record;
    if (object.isObject()) {
        record.id = object.text("id");
        auto kind = resourceKindFromText(object.text("kind"));
        if (!kind)
            object.fail("kind", "is not a kind of resource");
        record.target = { kind.value_or(resource_kind::organisation), object.text("name") };
        record.expectedVersion = static_cast<resource_version>(object.integer("replaces", versionRange));
        if (object.has("restates"))
            record.restatedVersion = static_cast<resource_version>(object.integer("restates", versionRange));
        if (object.has("content")) {
            object.object("content");
            record.content
                = resourceFromJson(document, document.root()["content"], record.target.kind, "/content");
        }
        if (record.content && nameOf(*record.content) != record.target)
            object.fail("name", "differs from the name in the content");
        object.rejectUnknownFields();
    }
    errors = document.errors();
    return errors.empty() ? std::optional(std::move(record)) : std::nullopt;
}

} // namespace pomelohub
