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
    constexpr int maxAppendAttempts = 5;

    tl::unexpected<command_error> fail(exit_code code, std::string message)
    {
        return tl::unexpected(command_error { code, std::move(message) });
    }

} // namespace

fleet_api::fleet_api(std::string nodeAddress, std::string logAddress)
    : m_nodeAddress(std::move(nodeAddress))
    , m_logAddress(std::move(logAddress))
{
}

command_result<json> fleet_api::get(const std::string& path, milliseconds extraTimeout) const
{
    httplib::Client client("http://" + m_nodeAddress);
    client.set_connection_timeout(nodeTimeout);
    client.set_read_timeout(nodeTimeout + extraTimeout);
    auto response = client.Get(path);
    if (!response)
        return fail(
            exit_code::unreachable, "node " + m_nodeAddress + ": " + httplib::to_string(response.error()));
    auto body = json::parse(response->body, nullptr, false);
    if (body.is_discarded())
        return fail(exit_code::failure, "node " + m_nodeAddress + " sent a response that is not JSON");
    if (response->status == 404)
        return fail(exit_code::refused, "not found: " + path);
    if (response->status != 200)
        return fail(exit_code::refused, body.value("error", "status " + std::to_string(response->status)));
    return body;
}

command_result<resource_version> fleet_api::fetchVersion(const resource_name& name) const
{
    httplib::Client client("http://" + m_nodeAddress);
    client.set_connection_timeout(nodeTimeout);
    client.set_read_timeout(nodeTimeout);
    auto response = client.Get("/v1/resources/" + std::string(toText(name.kind)) + "/" + name.name);
    if (!response)
        return fail(
            exit_code::unreachable, "node " + m_nodeAddress + ": " + httplib::to_string(response.error()));
    auto body = json::parse(response->body, nullptr, false);
    if (!body.is_object() || !body.contains("version"))
        return fail(exit_code::failure, "node " + m_nodeAddress + " sent a response without a version");
    return body["version"].get<resource_version>();
}

command_result<std::uint64_t> fleet_api::appendWithRetry(const configuration_record& record) const
{
    auto log = makeHttpLogAccess(m_logAddress, logTimeout);
    auto encodedRecord = encodeRecord(record);
    tl::expected<std::uint64_t, log_error> offset = tl::unexpected(log_error {});
    // Retries are safe: the record carries the version it expects, so a second copy of it has no effect.
    for (int attempt = 0; attempt < maxAppendAttempts && !offset; ++attempt) {
        offset = log.append("configuration", encodedRecord);
        if (!offset && offset.error().failure == log_failure::refused)
            return fail(exit_code::refused, "the log refused the change: " + offset.error().detail);
    }
    if (offset)
        return *offset;
    return fail(exit_code::unreachable,
        "the log did not confirm the change (" + offset.error().detail
            + "); it may or may not take effect, check with 'pomelohub get'");
}

command_result<change_result> fleet_api::applyChange(
    const configuration_record& record, milliseconds inForceTimeout) const
{
    auto offset = appendWithRetry(record);
    if (!offset)
        return tl::unexpected(offset.error());
    auto path
        = "/v1/records/" + std::to_string(*offset) + "?wait_ms=" + std::to_string(inForceTimeout.count());
    auto recordState = get(path, inForceTimeout);
    if (!recordState)
        return tl::unexpected(recordState.error());
    change_result result { record.target, *offset, "", recordState->value("in_force", false) };
    if (recordState->at("outcome").is_string())
        result.outcome = recordState->at("outcome");
    if (result.outcome == "conflict")
        return fail(
            exit_code::conflict, record.target.name + " was changed concurrently by another operator");
    if (result.outcome == "key-taken")
        return fail(
            exit_code::refused, record.target.name + " uses a key or host that belongs to another resource");
    return result;
}

std::string makeRecordId()
{
    std::random_device randomDevice;
    std::string id;
    for (int i = 0; i < 4; ++i) {
        constexpr std::string_view digits = "0123456789abcdef";
        auto randomBits = randomDevice();
        for (int digit = 0; digit < 8; ++digit)
            id.push_back(digits[randomBits >> (4 * digit) & 15]);
    }
    return id;
}

} // namespace pomelohub
