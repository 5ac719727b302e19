#include "request_error.h"

#include <array>

namespace pomelohub {

namespace {

    struct reason_entry {
        refusal_reason reason;
        std::string_view text;
        int status;
    };

    constexpr std::array reasons {
        reason_entry { refusal_reason::malformedRequest, "malformed-request", 400 },
        reason_entry { refusal_reason::requestTooLarge, "request-too-large", 413 },
        reason_entry { refusal_reason::keyMissing, "key-missing", 401 },
        reason_entry { refusal_reason::keyUnknown, "key-unknown", 401 },
        reason_entry { refusal_reason::keyWithdrawn, "key-withdrawn", 401 },
        reason_entry { refusal_reason::routeUnknown, "route-unknown", 404 },
        reason_entry { refusal_reason::idempotencyKeyMissing, "idempotency-key-missing", 400 },
        reason_entry { refusal_reason::idempotencyKeyInvalid, "idempotency-key-invalid", 400 },
        reason_entry { refusal_reason::idempotencyKeyReused, "idempotency-key-reused", 422 },
        reason_entry { refusal_reason::idempotencyKeyExpired, "idempotency-key-expired", 409 },
        reason_entry { refusal_reason::rateExceeded, "rate-exceeded", 429 },
        reason_entry { refusal_reason::authorityUnavailable, "authority-unavailable", 503 },
        reason_entry { refusal_reason::nodeIsolated, "node-isolated", 503 },
        reason_entry { refusal_reason::nodeStarting, "node-starting", 503 },
        reason_entry { refusal_reason::nodeLeaving, "node-leaving", 503 },
        reason_entry { refusal_reason::dataCentreOutOfService, "data-centre-out-of-service", 503 },
        reason_entry { refusal_reason::noBackendServer, "no-backend-server", 503 },
        reason_entry { refusal_reason::backendServerDraining, "backend-server-draining", 503 },
        reason_entry { refusal_reason::backendServerBusy, "backend-server-busy", 503 },
        reason_entry { refusal_reason::backendServerShed, "backend-server-shed", 503 },
        reason_entry { refusal_reason::backendServerFailed, "backend-server-failed", 502 },
        reason_entry { refusal_reason::requestQuarantined, "request-quarantined", 503 },
        reason_entry { refusal_reason::deadlineExceeded, "deadline-exceeded", 504 },
        reason_entry { refusal_reason::pathFailed, "path-failed", 502 },
        reason_entry { refusal_reason::cancelled, "cancelled", 499 },
        reason_entry { refusal_reason::memoryExhausted, "memory-exhausted", 503 },
        reason_entry { refusal_reason::calledServiceBusy, "called-service-busy", 503 },
    };

    const reason_entry& entryOf(refusal_reason reason)
    {
        return reasons.at(static_cast<std::size_t>(reason));
    }

} // namespace

tl::unexpected<request_error> notRun(
    refusal_reason reason, std::string detail, std::chrono::milliseconds retryAfter)
{
    return tl::unexpected(request_error { execution::notRun, reason, std::move(detail), retryAfter });
}

tl::unexpected<request_error> mayHaveRun(refusal_reason reason, std::string detail)
{
    return tl::unexpected(request_error { execution::mayHaveRun, reason, std::move(detail), {} });
}

std::string_view toText(execution outcome)
{
    return outcome == execution::notRun ? "not-run" : "may-have-run";
}

std::optional<execution> executionFromText(std::string_view text)
{
    for (auto outcome : { execution::notRun, execution::mayHaveRun }) {
        if (toText(outcome) == text)
            return outcome;
    }
    return std::nullopt;
}

std::string_view toText(refusal_reason reason) { return entryOf(reason).text; }

std::optional<refusal_reason> refusalReasonFromText(std::string_view text)
{
    for (const auto& entry : reasons) {
        if (entry.text == text)
            return entry.reason;
    }
    return std::nullopt;
}

int httpStatus(refusal_reason reason) { return entryOf(reason).status; }

} // namespace pomelohub
