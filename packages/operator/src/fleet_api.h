/** \file
 * Defines fleet_api, the client through which pomelohub queries the admin interface of a node and appends
 * configuration changes to the platform's log.
 */
#pragma once

#include "log_client.h"
#include "resource.h"

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

namespace pomelohub {

/** Exit codes of pomelohub. Scripts rely on the numbers. */
enum class exit_code {
    success = 0,
    failure = 1, ///< Any other error, such as a malformed response.
    badInput = 2, ///< Invalid command line or input file.
    conflict = 3, ///< The resource has another version: another operator changed it first.
    refused = 4, ///< The change is not allowed, or the resource does not exist.
    unreachable = 5, ///< The node did not respond, or the log confirmed no append.
    notYetInForce = 6, ///< Accepted, but not confirmed by every live node within the wait time.
};

/** Why a command failed. */
struct command_error {
    exit_code code = exit_code::failure;
    std::string message;
};

template <typename T> using command_result = tl::expected<T, command_error>;

/** Result of a change that was appended to the log. */
struct change_result {
    resource_name name;
    std::uint64_t offset = 0; ///< Of the record in the configuration stream.
    std::string outcome; ///< As the node reports it; empty if it reports none yet.
    bool isInForce = false; ///< Every live node has confirmed the record.
};

/** Client of a node's admin interface and of the platform's log. Not thread-safe. */
class fleet_api {
public:
    /** \param nodeAddress admin address (host:port) of any node.
     * \param logAddress address (host:port) of the log; used by changes only. */
    fleet_api(std::string nodeAddress, std::string logAddress);

    /** Sends a GET request for \p path to the node and returns the JSON body of its response.
     * \param extraTimeout is added to the usual read timeout, for requests that the node holds until a
     * change.
     *
     * Errors: unreachable if there is no response; failure if its body is not JSON; otherwise refused if its
     * status is not 200. */
    command_result<nlohmann::json> get(
        const std::string& path, std::chrono::milliseconds extraTimeout = {}) const;

    /** Returns the version of a resource, 0 if it never existed. A deleted resource still has a version.
     * Errors: unreachable if the node does not respond, failure if its response holds no version. */
    command_result<resource_version> fetchVersion(const resource_name& name) const;

    /** Appends \p record to the log, with retries, and waits up to \p inForceTimeout until it is in force.
     * Errors: those of get; conflict if the resource changed meanwhile; refused if the log refuses the record
     * or a key or host is taken; unreachable if no append was confirmed, although the change may still apply.
     */
    command_result<change_result> applyChange(
        const configuration_record& record, std::chrono::milliseconds inForceTimeout) const;

private:
    /** Returns the offset of the record. */
    command_result<std::uint64_t> appendWithRetry(const configuration_record& record) const;

    std::string m_nodeAddress;
    std::string m_logAddress;
};

/** Returns a random record identifier of 32 hexadecimal digits. */
std::string makeRecordId();

} // namespace pomelohub
