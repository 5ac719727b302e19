#include "commands.h"

#include "configuration_codec.h"
#include "table_printer.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace pomelohub {

using nlohmann::json;

namespace {

    exit_code report(const command_error& error)
    {
        std::cerr << "pomelohub: " << error.message << '\n';
        return error.code;
    }

    exit_code reportBadInput(const std::string& message) { return report({ exit_code::badInput, message }); }

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

    std::string cell(const json& value)
    {
        return value.is_string() ? value.get<std::string>() : value.dump();
    }

    /** Prints \p rows with the named fields as columns, or as JSON. */
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
                cells.push_back(row.contains(field) ? cell(row[field]) : "");
            table.add(std::move(cells));
        }
        table.print(std::cout);
    }

    std::vector<std::string> kindsFor(const std::string& kind)
    {
        if (!kind.empty())
            return { kind };
        return { "organisation", "service", "data-centre", "capacity-floor" };
    }

    command_result<json> fetchResources(
        const fleet_api& api, const std::string& kind, const std::string& name)
    {
        auto rows = json::array();
        for (const auto& each : kindsFor(kind)) {
            auto found = api.get("/v1/resources/" + each + (name.empty() ? "" : "/" + name));
            if (!found)
                return tl::unexpected(found.error());
            if (found->is_array())
                rows.insert(rows.end(), found->begin(), found->end());
            else
                rows.push_back(*found);
        }
        return rows;
    }

    void printResources(const common_options& common, const json& rows)
    {
        printRows(common, rows, { "kind", "name", "version", "in_force", "content" });
    }

    json toRow(const change_result& result)
    {
        return { { "kind", toText(result.name.kind) }, { "name", result.name.name },
            { "version", result.offset + 1 }, { "outcome", result.outcome },
            { "in_force", result.isInForce } };
    }

    command_result<change_result> makeChange(const fleet_api& api, const common_options& common,
        configuration_record record, std::optional<resource_version> expected)
    {
        auto version = api.versionOf(record.target);
        if (!version)
            return tl::unexpected(version.error());
        if (expected && *expected != *version)
            return tl::unexpected(command_error {
                exit_code::conflict, record.target.name + " has version " + std::to_string(*version) });
        record.expectedVersion = *version;
        record.id = makeRecordId();
        return api.change(record, common.wait);
    }

    exit_code finishChanges(const common_options& common, const json& rows)
    {
        printRows(common, rows, { "kind", "name", "version", "outcome", "in_force" });
        for (const auto& row : rows) {
            if (!row["in_force"].get<bool>())
                return report({ exit_code::notYetInForce,
                    cell(row["name"]) + " is accepted but not confirmed by every live node yet" });
        }
        return exit_code::success;
    }

} // namespace

exit_code runApply(const common_options& common, const change_options& change)
{
    auto text = readInput(change.file);
    if (!text)
        return reportBadInput("cannot read " + change.file);
    auto file = readResourceFile(*text);
    for (const auto& error : file.errors)
        std::cerr << change.file << ": " << toText(error) << '\n';
    if (!file.errors.empty())
        return reportBadInput("nothing was applied");
    fleet_api api(common.node, common.log);
    auto rows = json::array();
    for (const auto& content : file.resources) {
        configuration_record record;
        record.target = nameOf(content);
        record.content = content;
        auto result = makeChange(api, common, std::move(record), change.expectedVersion);
        if (!result) {
            finishChanges(common, rows);
            return report(result.error());
        }
        rows.push_back(toRow(*result));
    }
    return finishChanges(common, rows);
}

exit_code runDelete(const common_options& common, const std::string& kind, const std::string& name)
{
    auto known = resourceKindFromText(kind);
    if (!known)
        return reportBadInput("no such kind of resource: " + kind);
    fleet_api api(common.node, common.log);
    auto present = api.get("/v1/resources/" + kind + "/" + name);
    if (!present)
        return report(present.error());
    configuration_record record;
    record.target = { *known, name };
    auto result = makeChange(api, common, std::move(record), std::nullopt);
    if (!result)
        return report(result.error());
    return finishChanges(common, json::array({ toRow(*result) }));
}

exit_code runGet(const common_options& common, const std::string& kind, const std::string& name)
{
    if (!kind.empty() && !resourceKindFromText(kind))
        return reportBadInput("no such kind of resource: " + kind);
    auto rows = fetchResources(fleet_api(common.node, common.log), kind, name);
    if (!rows)
        return report(rows.error());
    printResources(common, *rows);
    return exit_code::success;
}

exit_code runWatch(const common_options& common, const std::string& kind, std::uint32_t changes)
{
    fleet_api api(common.node, common.log);
    std::uint64_t seen = 0;
    for (std::uint32_t shown = 0; changes == 0 || shown < changes;) {
        auto news = api.get("/v1/changes?after=" + std::to_string(seen) + "&wait_ms=25000",
            std::chrono::milliseconds(25'000));
        if (!news)
            return report(news.error());
        auto inForce = news->value("in_force_offset", std::uint64_t { 0 });
        if (inForce <= seen)
            continue;
        auto rows = fetchResources(api, kind, "");
        if (!rows)
            return report(rows.error());
        auto fresh = json::array();
        for (const auto& row : *rows) {
            auto version = row.value("version", std::uint64_t { 0 });
            if (version > seen && version <= inForce)
                fresh.push_back(row);
        }
        seen = inForce;
        if (fresh.empty())
            continue;
        printResources(common, fresh);
        std::cout << std::flush;
        ++shown;
    }
    return exit_code::success;
}

exit_code runStatus(const common_options& common)
{
    auto status = fleet_api(common.node, common.log).get("/v1/status");
    if (!status)
        return report(status.error());
    if (common.output == output_format::json) {
        std::cout << status->dump(2) << '\n';
        return exit_code::success;
    }
    auto offset = status->value("configuration_offset", std::uint64_t { 0 });
    auto inForce = status->value("in_force_offset", std::uint64_t { 0 });
    std::cout << "seen from " << cell((*status)["node"]) << " (" << cell((*status)["readiness"])
              << "): applied " << offset << ", in force everywhere " << inForce << ", lag "
              << offset - std::min(offset, inForce) << " records, log seen "
              << cell((*status)["log_evidence_age_ms"]) << " ms ago\n";
    std::cout << "slots held: " << (*status)["slots"].dump() << "\n\n";
    printRows(common, (*status)["members"],
        { "node", "data_centre", "status", "endpoint", "confirmed", "backend_servers" });
    return exit_code::success;
}

exit_code runExplain(const common_options& common, const std::string& subject)
{
    fleet_api api(common.node, common.log);
    auto explained = api.get("/v1/explain/" + subject);
    if (!explained)
        return report(explained.error());
    if ((*explained)["decisions"].empty())
        return report({ exit_code::refused,
            "node " + cell((*explained)["node"]) + " knows nothing of " + subject
                + "; ask the node that the request entered by" });
    printRows(common, (*explained)["decisions"], { "at_ms", "stage", "outcome", "reason" });
    return exit_code::success;
}

exit_code runBackends(const common_options& common)
{
    auto rows = fleet_api(common.node, common.log).get("/v1/backends");
    if (!rows)
        return report(rows.error());
    printRows(common, *rows,
        { "id", "service", "node", "data_centre", "condition", "slots", "weight", "ejected", "answers",
            "failures", "in_flight" });
    return exit_code::success;
}

} // namespace pomelohub
