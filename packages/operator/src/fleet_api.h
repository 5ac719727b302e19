/** \file
 * Defines fleet_api, by which the operator's program asks a node what is in force and appends changes to the
 * platform's log.
 */
#pragma once

#include "log_client.h"
#include "resource.h"

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

namespace pomelohub {

/** Exit codes of the operator's program, for scripts. */
enum class exit_code {
    success = 0,
    failure = 1, ///< Something unforeseen.
    badInput = 2,
    conflict = 3, ///< Another operator changed the resource first.
    refused = 4, ///< The change is not allowed, or the resource does not exist.
    unreachable = 5,
    notYetInForce = 6, ///< Accepted, but not confirmed everywhere in the time given.
};

struct command_error {
    exit_code code = exit_code::failure;
    std::string message;
};

template <typename T> using command_result = tl::expected<T, command_error>;

/** How a change ended. */
struct change_result {
    resource_name name;
    std::uint64_t offset = 0;
    std::string outcome;
    bool isInForce = false;
};

/** Thread safety: one thread. */
class fleet_api {
public:
    /** \param node admin address of any node. \param log address of the log, needed for changes only. */
    fleet_api(std::string node, std::string log);

    /** What the node answers to a GET of \p path. */
    command_result<nlohmann::json> get(const std::string& path, std::chrono::milliseconds wait = {}) const;

    /** The version of a resource, 0 when it never existed. */
    command_result<resource_version> versionOf(const resource_name& name) const;

    /** Appends \p record, again when the answer was lost, and waits until it is in force. */
    command_result<change_result> change(
        const configuration_record& record, std::chrono::milliseconds wait) const;

private:
    command_result<std::uint64_t> append(const configuration_record& record) const;

    std::string m_node;
    std::string m_log;
};

/** A fresh identifier for a record. */
std::string makeRecordId();

} // namespace pomelohub
