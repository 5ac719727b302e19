#include "fleet_api.h"

#include "configuration_codec.h"

#include <httplib.h>

#include <random>

namespace pomelohub {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds nodeTimeout { 3000 };
    constexpr milliseconds logTimeout { 3000 };
    constexpr int appendTries = 5;

    tl::unexpected<command_error> fail(exit_code code, std::string message)
    {
        return tl::unexpected(command_error { code, std::move(message) });
    }

} // namespace

fleet_api::fleet_api(std::string node, std::string log)
    : m_node(std::move(node))
    , m_log(std::move(log))
{
}

command_result<json> fleet_api::get(const std::string& path, milliseconds wait) const
{
    httplib::Client client("http://" + m_node);
    client.set_connection_timeout(nodeTimeout);
    client.set_read_timeout(nodeTimeout + wait);
    auto answer = client.Get(path);
    if (!answer)
        return fail(exit_code::unreachable, "node " + m_node + ": " + httplib::to_string(answer.error()));
    auto body = json::parse(answer->body, nullptr, false);
    if (body.is_discarded())
        return fail(exit_code::failure, "node " + m_node + " gave an answer that is not JSON");
    if (answer->status == 404)
        return fail(exit_code::refused, "not found: " + path);
    if (answer->status != 200)
        return fail(exit_code::refused, body.value("error", "status " + std::to_string(answer->status)));
    return body;
}

command_result<resource_version> fleet_api::versionOf(const resource_name& name) const
{
    httplib::Client client("http://" + m_node);
    client.set_connection_timeout(nodeTimeout);
    client.set_read_timeout(nodeTimeout);
    auto answer = client.Get("/v1/resources/" + std::string(toText(name.kind)) + "/" + name.name);
    if (!answer)
        return fail(exit_code::unreachable, "node " + m_node + ": " + httplib::to_string(answer.error()));
    auto body = json::parse(answer->body, nullptr, false);
    if (!body.is_object() || !body.contains("version"))
        return fail(exit_code::failure, "node " + m_node + " gave no version");
    return body["version"].get<resource_version>();
}

command_result<std::uint64_t> fleet_api::append(const configuration_record& record) const
{
    auto access = makeHttpLogAccess(m_log, logTimeout);
    auto text = encodeRecord(record);
    tl::expected<std::uint64_t, log_error> offset = tl::unexpected(log_error {});
    // The record names the version it replaces, so appending it twice changes nothing.
    for (int i = 0; i < appendTries && !offset; ++i) {
        offset = access.append("configuration", text);
        if (!offset && offset.error().failure == log_failure::refused)
            return fail(exit_code::refused, "the log refused the change: " + offset.error().detail);
    }
    if (offset)
        return *offset;
    return fail(exit_code::unreachable,
        "the log gave no answer (" + offset.error().detail
            + "); the change may or may not take effect, ask with get");
}

command_result<change_result> fleet_api::change(const configuration_record& record, milliseconds wait) const
{
    auto offset = append(record);
    if (!offset)
        return tl::unexpected(offset.error());
    auto path = "/v1/records/" + std::to_string(*offset) + "?wait_ms=" + std::to_string(wait.count());
    auto known = get(path, wait);
    if (!known)
        return tl::unexpected(known.error());
    change_result result { record.target, *offset, "", known->value("in_force", false) };
    if (known->at("outcome").is_string())
        result.outcome = known->at("outcome");
    if (result.outcome == "conflict")
        return fail(exit_code::conflict, record.target.name + " was changed by another operator meanwhile");
    if (result.outcome == "key-taken")
        return fail(exit_code::refused, record.target.name + " names a key or host of another resource");
    return result;
}

std::string makeRecordId()
{
    std::random_device source;
    std::string id;
    for (int i = 0; i < 4; ++i) {
        constexpr std::string_view digits = "0123456789abcdef";
        auto word = source();
        for (int digit = 0; digit < 8; ++digit)
            id.push_back(digits[word >> (4 * digit) & 15]);
    }
    return id;
}

} // namespace pomelohub
