/** \file
 * Defines verdict, the error type of the whole system. It says whether a request may have run at a backend
 * server and why it was refused, so that a caller knows whether sending it again is safe.
 */
#pragma once

#include "core_types.h"

#include <tl/expected.hpp>

#include <optional>

namespace pomelohub {

/** Whether the backend server can have acted on the request. */
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
};

/** A refusal with what the caller needs to go on. */
struct verdict {
    execution outcome = execution::notRun;
    refusal_reason reason = refusal_reason::pathFailed;
    std::string detail;
    std::chrono::milliseconds retryAfter { 0 };
};

template <typename T> using result = tl::expected<T, verdict>;

/** A verdict for a request of which no byte reached a backend server. */
tl::unexpected<verdict> notRun(
    refusal_reason reason, std::string detail, std::chrono::milliseconds retryAfter = {});

/** A verdict for a request that a backend server may have acted on. */
tl::unexpected<verdict> mayHaveRun(refusal_reason reason, std::string detail);

/** Text of \p outcome in headers and logs: "not-run" or "may-have-run". */
std::string_view toText(execution outcome);
std::optional<execution> executionFromText(std::string_view text);

/** Text of \p reason in problem documents and logs, such as "rate-exceeded". */
std::string_view toText(refusal_reason reason);
std::optional<refusal_reason> refusalReasonFromText(std::string_view text);

/** The HTTP status of a refusal for \p reason. */
int httpStatus(refusal_reason reason);

} // namespace pomelohub
