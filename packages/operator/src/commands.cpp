#include "commands.h"

#include "configuration_codec.h"
#include "table_printer.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace pomelohub {

using nlohmann::json;

namespace {

    exit_code printError(const command_error& error)
    {
        std::cerr << "pomelohub: " << error.message << '\n';
        return error.code;
    }

    exit_code failWithBadInput(const std::string& message)
    {
        return printError({ exit_code::badInput, message });
    }

    std::optional<std::string> readInput(const std::string& path)
    {
        std::ostringstream text;
        if (path == "-") {
            text << std::cin.rdbuf();
            return text.str();
        }
        std::ifstream file(path);
        if (!file)
            return std::nullopt;
        text << file.rdbuf();
        return text.str();
    }

    std::string toCellText(const json& value)
    {
        return value.is_string() ? value.get<std::string>() : value.dump();
    }

    /** Prints \p rows as a table with \p fields as its columns, or, for JSON output, whole. A field that a
     * row lacks gives an empty cell. */
    void printRows(const common_options& common, const json& rows, const std::vector<std::string>& fields)
    {
        if (common.output == output_format::json) {
            std::cout << rows.dump(2) << '\n';
            return;
        }
        table_printer table(fields);
        for (const auto& row : rows) {
            std::vector<std::string> cells;
            cells.reserve(fields.size());
            for (const auto& field : fields)
                cells.push_back(row.contains(field) ? toCellText(row[field]) : "");
            table.addRow(std::move(cells));
        }
        table.print(std::cout);
    }

    std::vector<std::string> selectedKinds(const std::string& kind)
    {
        if (!kind.empty())
            return { kind };
        return { "organisation", "service", "data-centre", "capacity-floor" };
    }

    command_result<json> fetchResources(
        const fleet_api& api, const std::string& kind, const std::string& name)
    {
        auto rows = json::array();
        for (const auto& selectedKind : selectedKinds(kind)) {
            auto response = api.get("/v1/resources/" + selectedKind + (name.empty() ? "" : "/" + name));
            if (!response)
                return tl::unexpected(response.error());
            if (response->is_array())
                rows.insert(rows.end(), response->begin(), response->end());
            else
                rows.push_back(*response);
        }
        return rows;
    }

    void printResources(const common_options& common, const json& rows)
    {
        printRows(common, rows, { "kind", "name", "version", "in_force", "content" });
    }

    json toJsonRow(const change_result& result)
    {
        return { { "kind", toText(result.name.kind) }, { "name", result.name.name },
            { "version", result.offset + 1 }, { "outcome", result.outcome },
            { "in_force", result.isInForce } };
    }

    command_result<change_result> submitChange(const fleet_api& api, const common_options& common,
        configuration_record record, std::optional<resource_version> expected)
    {
        auto version = api.fetchVersion(record.target);
        if (!version)
            return tl::unexpected(version.error());
        if (expected && *expected != *version)
            return tl::unexpected(command_error { exit_code::conflict,
                record.target.name + " does not have the expected version: its version is "
                    + std::to_string(*version) });
        record.expectedVersion = *version;
        record.id = makeRecordId();
        return api.applyChange(record, common.inForceTimeout);
    }

    exit_code printChanges(const common_options& common, const json& rows)
    {
        printRows(common, rows, { "kind", "name", "version", "outcome", "in_force" });
        for (const auto& row : rows) {
            if (!row["in_force"].get<bool>())
                return printError({ exit_code::notYetInForce,
                    toCellText(row["name"])
                        + " was accepted, but not every live node confirmed it within the wait time" });
        }
        return exit_code::success;
    }

} // namespace

exit_code runApply(const common_options& common, const change_options& change)
{
    auto text = readInput(change.path);
    if (!text)
        return failWithBadInput("cannot read file " + change.path);
    auto parsed = readResourceFile(*text);
    for (const auto& error : parsed.errors)
        std::cerr << change.path << ": " << toText(error) << '\n';
    if (!parsed.errors.empty())
        return failWithBadInput("invalid input; no resource was applied");
    fleet_api api(common.nodeAddress, common.logAddress);
    auto rows = json::array();
    for (const auto& content : parsed.resources) {
        configuration_record record;
        record.target = nameOf(content);
        record.content = content;
        auto result = submitChange(api, common, std::move(record), change.expectedVersion);
        if (!result) {
            printChanges(common, rows);
            return printError(result.error());
        }
        rows.push_back(toJsonRow(*result));
    }
    return printChanges(common, rows);
}

exit_code runDelete(const common_options& common, const std::string& kind, const std::string& name)
{
    auto resourceKind = resourceKindFromText(kind);
    if (!resourceKind)
        return failWithBadInput("no such kind of resource: " + kind);
    fleet_api api(common.nodeAddress, common.logAddress);
    auto existing = api.get("/v1/resources/" + kind + "/" + name);
    if (!existing)
        return printError(existing.error());
    configuration_record record;
    record.target = { *resourceKind, name };
    auto result = submitChange(api, common, std::move(record), std::nullopt);
    if (!result)
        return printError(result.error());
    return printChanges(common, json::array({ toJsonRow(*result) }));
}

exit_code runGet(const common_options& common, const std::string& kind, const std::string& name)
{
    if (!kind.empty() && !resourceKindFromText(kind))
        return failWithBadInput("no such kind of resource: " + kind);
    auto rows = fetchResources(fleet_api(common.nodeAddress, common.logAddress), kind, name);
    if (!rows)
        return printError(rows.error());
    printResources(common, *rows);
    return exit_code::success;
}

exit_code runWatch(const common_options& common, const std::string& kind, std::uint32_t maxPrints)
{
    fleet_api api(common.nodeAddress, common.logAddress);
    std::uint64_t lastOffset = 0;
    for (std::uint32_t printCount = 0; maxPrints == 0 || printCount < maxPrints;) {
        auto response = api.get("/v1/changes?after=" + std::to_string(lastOffset) + "&wait_ms=25000",
            std::chrono::milliseconds(25'000));
        if (!response)
            return printError(response.error());
        auto inForce = response->value("in_force_offset", std::uint64_t { 0 });
        if (inForce <= lastOffset)
            continue;
        auto rows = fetchResources(api, kind, "");
        if (!rows)
            return printError(rows.error());
        auto changedRows = json::array();
        for (const auto& row : *rows) {
            auto version = row.value("version", std::uint64_t { 0 });
            if (version > lastOffset && version <= inForce)
                changedRows.push_back(row);
        }
        lastOffset = inForce;
        if (changedRows.empty())
            continue;
        printResources(common, changedRows);
        std::cout << std::flush;
        ++printCount;
    }
    return exit_code::success;
}

exit_code runStatus(const common_options& common)
{
    auto status = fleet_api(common.nodeAddress, common.logAddress).get("/v1/status");
    if (!status)
        return printError(status.error());
    if (common.output == output_format::json) {
        std::cout << status->dump(2) << '\n';
        return exit_code::success;
    }
    auto offset = status->value("configuration_offset", std::uint64_t { 0 });
    auto inForce = status->value("in_force_offset", std::uint64_t { 0 });
    std::cout << "seen from " << toCellText((*status)["node"]) << " (" << toCellText((*status)["readiness"])
              << "): applied " << offset << ", in force everywhere " << inForce << ", lag "
              << offset - std::min(offset, inForce) << " records, log seen "
              << toCellText((*status)["log_evidence_age_ms"]) << " ms ago\n";
    std::cout << "slots held: " << (*status)["slots"].dump() << "\n\n";
    printRows(common, (*status)["members"],
        { "node", "data_centre", "status", "endpoint", "confirmed", "backend_servers" });
    return exit_code::success;
}

exit_code runExplain(const common_options& common, const std::string& subject)
{
    fleet_api api(common.nodeAddress, common.logAddress);
    auto explanation = api.get("/v1/explain/" + subject);
    if (!explanation)
        return printError(explanation.error());
    if ((*explanation)["decisions"].empty())
        return printError({ exit_code::refused,
            "node " + toCellText((*explanation)["node"]) + " has no recorded decisions about " + subject
                + "; for a request, ask the node that received it from the caller" });
    printRows(common, (*explanation)["decisions"], { "at_ms", "stage", "outcome", "reason" });
    return exit_code::success;
}

exit_code runBackends(const common_options& common)
{
    auto rows = fleet_api(common.nodeAddress, common.logAddress).get("/v1/backends");
    if (!rows)
        return printError(rows.error());
    printRows(common, *rows,
        { "id", "service", "node", "data_centre", "condition", "slots", "weight", "ejected", "answers",
            "failures", "in_flight" });
    return exit_code::success;
}

} // namespace pomelohub
