/** \file
 * Declares the commands of pomelohub, the command-line client for operators. Each command prints its result
 * to standard output and its errors to standard error, and returns the exit code of the program.
 */
#pragma once

#include "fleet_api.h"

namespace pomelohub {

enum class output_format {
    table,
    json,
};

/** Options shared by the commands. */
struct common_options {
    std::string nodeAddress = "127.0.0.1:7080"; ///< Admin address (host:port) of any node.
    std::string logAddress = "127.0.0.1:6000"; ///< Log address (host:port); used by changes only.
    output_format output = output_format::table;
    /** Longest wait until a change is in force on every live node. */
    std::chrono::milliseconds inForceTimeout { 5000 };
};

/** Options of runApply. */
struct change_options {
    std::string path; ///< File of resources in JSON with comments, or "-" for standard input.
    /** If set, a resource with another version is not changed. */
    std::optional<resource_version> expectedVersion;
};

/** Creates or changes each resource of a file, one by one; stops at the first that fails. */
exit_code runApply(const common_options& common, const change_options& change);
/** Deletes a resource. Fails with exit_code::refused if it does not exist. */
exit_code runDelete(const common_options& common, const std::string& kind, const std::string& name);
/** Prints resources. An empty \p kind selects all kinds, an empty \p name all resources of the kind. */
exit_code runGet(const common_options& common, const std::string& kind, const std::string& name);
/** Prints changed resources as they come into force. Returns after \p maxPrints prints; 0 means no limit. */
exit_code runWatch(const common_options& common, const std::string& kind, std::uint32_t maxPrints);
/** Prints the members of the fleet and the state of the configuration, as seen by the node. */
exit_code runStatus(const common_options& common);
/** Prints the decisions that the node recorded about a request or a backend server. */
exit_code runExplain(const common_options& common, const std::string& subject);
/** Prints the backend servers, as seen by the node. */
exit_code runBackends(const common_options& common);

} // namespace pomelohub
