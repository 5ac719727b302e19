/** \file
 * pomelohub, the command-line client for operators: changes configuration resources through the platform's
 * log and shows the configuration and the state of the fleet.
 */
#include "commands.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

/** Parsed command line. */
struct command_line {
    pomelohub::common_options common;
    pomelohub::change_options change;
    std::string kind;
    std::string name;
    std::string subject;
    std::uint32_t maxPrints = 0; ///< 0: no limit.
    std::int64_t inForceTimeoutMs = 5000;
    std::int64_t expectedVersion = -1; ///< Negative: any version.
    std::function<pomelohub::exit_code()> run; ///< The selected command.
};

void addCommonOptions(CLI::App& command, command_line& line)
{
    static const std::map<std::string, pomelohub::output_format> formats {
        { "table", pomelohub::output_format::table }, { "json", pomelohub::output_format::json }
    };
    command.add_option("--node", line.common.nodeAddress, "Admin address of any node")
        ->envname("POMELOHUB_NODE")
        ->capture_default_str();
    command.add_option("-o,--output", line.common.output, "Output: table or json")
        ->transform(CLI::CheckedTransformer(formats, CLI::ignore_case));
}

void addChangeOptions(CLI::App& command, command_line& line)
{
    command.add_option("--log", line.common.logAddress, "Address of the platform's log")
        ->envname("POMELOHUB_LOG")
        ->capture_default_str();
    command.add_option("--wait-ms", line.inForceTimeoutMs, "How long to wait until the change is in force")
        ->check(CLI::Range(0, 30'000))
        ->capture_default_str();
}

void addApplyCommand(CLI::App& app, command_line& line)
{
    auto* command = app.add_subcommand("apply", "Create or change the resources in a file");
    addCommonOptions(*command, line);
    addChangeOptions(*command, line);
    command->add_option("file", line.change.path, "JSON with comments, or - for standard input")->required();
    command->add_option("--if-version", line.expectedVersion, "Apply only to this version (0: none yet)");
    command->callback([&line] {
        line.run = [&line] {
            if (line.expectedVersion >= 0)
                line.change.expectedVersion = static_cast<pomelohub::resource_version>(line.expectedVersion);
            return pomelohub::runApply(line.common, line.change);
        };
    });
}

void addDeleteCommand(CLI::App& app, command_line& line)
{
    auto* command = app.add_subcommand("delete", "Delete a resource");
    addCommonOptions(*command, line);
    addChangeOptions(*command, line);
    command->add_option("kind", line.kind, "organisation, service, data-centre or capacity-floor")
        ->required();
    command->add_option("name", line.name, "Name of the resource")->required();
    command->callback(
        [&line] { line.run = [&line] { return pomelohub::runDelete(line.common, line.kind, line.name); }; });
}

void addGetCommand(CLI::App& app, command_line& line)
{
    auto* command
        = app.add_subcommand("get", "Show resources with their versions and whether they are in force");
    addCommonOptions(*command, line);
    command->add_option("kind", line.kind, "Kind of resource; all kinds when left out");
    command->add_option("name", line.name, "Name of the resource");
    command->callback(
        [&line] { line.run = [&line] { return pomelohub::runGet(line.common, line.kind, line.name); }; });
}

void addWatchCommand(CLI::App& app, command_line& line)
{
    auto* command = app.add_subcommand("watch", "Show changes as they come into force");
    addCommonOptions(*command, line);
    command->add_option("kind", line.kind, "Kind of resource; all kinds when left out");
    command->add_option("--changes", line.maxPrints, "End after this many prints; 0 goes on");
    command->callback([&line] {
        line.run = [&line] { return pomelohub::runWatch(line.common, line.kind, line.maxPrints); };
    });
}

void addQueryCommands(CLI::App& app, command_line& line)
{
    auto* status = app.add_subcommand("status", "Show members, confirmed versions and lag");
    addCommonOptions(*status, line);
    status->callback([&line] { line.run = [&line] { return pomelohub::runStatus(line.common); }; });
    auto* backends = app.add_subcommand("backends", "Show backend servers as a node sees them");
    addCommonOptions(*backends, line);
    backends->callback([&line] { line.run = [&line] { return pomelohub::runBackends(line.common); }; });
    auto* explain
        = app.add_subcommand("explain", "Show what was decided about a request or a backend server");
    addCommonOptions(*explain, line);
    explain->add_option("subject", line.subject, "Request identifier or backend server")->required();
    explain->callback(
        [&line] { line.run = [&line] { return pomelohub::runExplain(line.common, line.subject); }; });
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "pomelohub: operate a fleet. Exit codes: 0 done, 1 failure, 2 bad input, 3 conflict, "
                   "4 refused, 5 unreachable, 6 accepted but not yet in force" };
    command_line line;
    app.require_subcommand(1);
    addApplyCommand(app, line);
    addDeleteCommand(app, line);
    addGetCommand(app, line);
    addWatchCommand(app, line);
    addQueryCommands(app, line);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(pomelohub::exit_code::badInput);
    }
    line.common.inForceTimeout = std::chrono::milliseconds(line.inForceTimeoutMs);
    return static_cast<int>(line.run());
}
