/** \file
 * Defines the commands of the operator's program. Each prints its result and gives the exit code.
 */
#pragma once

#include "fleet_api.h"

namespace pomelohub {

enum class output_format {
    table,
    json,
};

/** Options that every command has. */
struct common_options {
    std::string node = "127.0.0.1:7080"; ///< Admin address of a node.
    std::string log = "127.0.0.1:6000"; ///< Address of the platform's log.
    output_format output = output_format::table;
    std::chrono::milliseconds wait { 5000 }; ///< For a change to be in force everywhere.
};

struct change_options {
    std::string file; ///< Resources in JSON with comments; "-" for standard input.
    std::optional<resource_version> expectedVersion; ///< Refuse on any other version.
};

exit_code runApply(const common_options& common, const change_options& change);
exit_code runDelete(const common_options& common, const std::string& kind, const std::string& name);
exit_code runGet(const common_options& common, const std::string& kind, const std::string& name);
exit_code runWatch(const common_options& common, const std::string& kind, std::uint32_t changes);
exit_code runStatus(const common_options& common);
exit_code runExplain(const common_options& common, const std::string& subject);
exit_code runBackends(const common_options& common);

} // namespace pomelohub
