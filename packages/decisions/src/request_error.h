/** \file
 * Defines the error type of the whole system. An error says why a request was refused and whether a backend
 * server may have run it, so that its caller knows whether it is safe to send the request again.
 */
#pragma once

#include "core_types.h"

#include <tl/expected.hpp>

#include <optional>

namespace pomelohub {

/** Whether a backend server may have run the request. */
enum class execution {
    notRun,
    mayHaveRun,
};

/** Why a request was refused. Each reason has one HTTP status and one problem type. */
enum class refusal_reason {
    malformedRequest,
    requestTooLarge,
    keyMissing,
    keyUnknown,
    keyWithdrawn,
    routeUnknown,
    idempotencyKeyMissing,
    idempotencyKeyInvalid,
    idempotencyKeyReused,
    idempotencyKeyExpired,
    rateExceeded,
    authorityUnavailable,
    nodeIsolated,
    nodeStarting,
    nodeLeaving,
    dataCentreOutOfService,
    noBackendServer,
    backendServerDraining,
    backendServerBusy,
    backendServerShed,
    backendServerFailed,
    requestQuarantined,
    deadlineExceeded,
    pathFailed,
    cancelled,
    memoryExhausted,
    calledServiceBusy, ///< A service that the run would call has no room.
};

/** Why a request was refused, and what its caller needs to know to retry it. */
struct request_error {
    execution outcome = execution::notRun;
    refusal_reason reason = refusal_reason::pathFailed;
    std::string detail; ///< Text for humans.
    std::chrono::milliseconds retryAfter { 0 }; ///< 0 for none.
};

/** A value, or the error of the request. */

template <typename T> using result = tl::expected<T, request_error>;

/** An error of a request that no backend server has run. */
tl::unexpected<request_error> notRun(
    refusal_reason reason, std::string detail, std::chrono::milliseconds retryAfter = {});

/** An error of a request that a backend server may have run. */
tl::unexpected<request_error> mayHaveRun(refusal_reason reason, std::string detail);

/** Text of \p outcome in headers and logs: "not-run" or "may-have-run". */
std::string_view toText(execution outcome);
/** The inverse of toText(); nothing for any other text. */
std::optional<execution> executionFromText(std::string_view text);

/** Text of \p reason in problem documents and logs, such as "rate-exceeded". */
std::string_view toText(refusal_reason reason);
/** The inverse of toText(); nothing for any other text. */
std::optional<refusal_reason> refusalReasonFromText(std::string_view text);

/** The HTTP status of a refusal for \p reason. */
int httpStatus(refusal_reason reason);

} // namespace pomelohub
