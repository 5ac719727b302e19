#include "forwarded_request.h"

#include "http_reader.h"

namespace pomelohub {

namespace {

    std::string toFieldText(std::uint64_t value) { return std::to_string(value); }

    std::string percentText(double ratio) { return toFieldText(percentOf(ratio)); }

    double readPercent(const peer_message& message, std::string_view name)
    {
        return static_cast<double>(message.number(name)) / 100;
    }

    // Nodes of earlier versions send "0" and "1" only.
    constexpr std::string_view trialAlways = "1";
    constexpr std::string_view trialAfterFailures = "2";
    constexpr std::string_view trialNever = "0";

    std::string_view trialText(trial_rule rule)
    {
        switch (rule) {
        case trial_rule::always:
            return trialAlways;
        case trial_rule::afterFailures:
            return trialAfterFailures;
        case trial_rule::never:
            return trialNever;
        }
        return trialNever;
    }

    trial_rule trialRuleFromText(std::string_view text)
    {
        if (text == trialAlways)
            return trial_rule::always;
        return text == trialAfterFailures ? trial_rule::afterFailures : trial_rule::never;
    }

    constexpr std::size_t unlimited = SIZE_MAX; // The size was limited where the message was received.

    std::optional<http_message> parseComplete(
        http_parser_type type, std::string_view text, bool isHead, const make_body_hook& makeBody)
    {
        http_reader reader(type, { unlimited, unlimited }, { [=] { return isHead; }, makeBody });
        auto result = reader.read(text);
        if (result.error != http_read_error::none || result.consumedBytes < text.size())
            return std::nullopt;
        return std::move(result.message);
    }

} // namespace

peer_message encodeForwardedRequest(const forwarded_request& request)
{
    peer_message message;
    message.fields = {
        { "type", "forward" },
        { "id", request.id.text() },
        { "service", request.service.text() },
        { "caller", request.callerService.text() },
        { "organisation", request.organisation.text() },
        { "rank", toFieldText(request.rank) },
        { "once", request.retryRule == retry_rule::once ? "1" : "0" },
        { "nested", request.isNested ? "1" : "0" },
        { "repeat", request.isRetry ? "1" : "0" },
        { "trial", std::string(trialText(request.trialRule)) },
        { "max-risk-percent", percentText(request.maxFailureRisk) },
        { "time-left", timeFieldText(request.timeLeft) },
        { "patience", timeFieldText(request.maxQueueTime) },
        { "fingerprint", toFieldText(request.fingerprint) },
        { "request-kind", toFieldText(request.kind) },
        { "offers", toFieldText(request.parallelOffers) },
        { "queueing", request.toleratesQueueing ? "1" : "0" },
    };
    message.payload = serializeRequestHead(request.message);
    message.body = request.message.body;
    return message;
}

std::optional<forwarded_request> decodeForwardedFields(const peer_message& message)
{
    forwarded_request request;
    request.id = request_id(std::string(message.value("id")));
    request.service = service_id(std::string(message.value("service")));
    if (request.id.empty() || request.service.empty())
        return std::nullopt;
    request.callerService = service_id(std::string(message.value("caller")));
    request.organisation = organisation_id(std::string(message.value("organisation")));
    request.rank = static_cast<std::uint32_t>(message.number("rank"));
    request.retryRule = message.value("once") == "0" ? retry_rule::idempotent : retry_rule::once;
    request.isNested = message.value("nested") == "1";
    request.isRetry = message.value("repeat") == "1";
    request.trialRule = trialRuleFromText(message.value("trial"));
    if (!message.value("max-risk-percent").empty())
        request.maxFailureRisk = readPercent(message, "max-risk-percent");
    request.timeLeft = message.time("time-left");
    request.maxQueueTime = message.time("patience");
    request.fingerprint = message.number("fingerprint");
    request.kind = message.number("request-kind");
    constexpr std::uint64_t maxParallelOffers = 64;
    request.parallelOffers = static_cast<std::uint32_t>(
        std::clamp<std::uint64_t>(message.number("offers"), 1, maxParallelOffers));
    request.toleratesQueueing = message.value("queueing") == "1";
    return request;
}

std::optional<http_message> decodeRequestPayload(std::string_view payload, const make_body_hook& makeBody)
{
    return parseComplete(HTTP_REQUEST, payload, false, makeBody);
}

peer_message encodeForwardReply(const forward_reply& reply, bool isHead)
{
    peer_message message;
    const auto& report = reply.report;
    message.fields = {
        { "reached", reply.hasReachedBackend ? "1" : "0" },
        { "avoid", timeFieldText(reply.avoidFor) },
        { "in-use", toFieldText(report.inUse) },
        { "waiting", toFieldText(report.waiting) },
        { "slots", toFieldText(report.slots) },
        { "latency", timeFieldText(report.meanLatency) },
        { "failing-percent", percentText(report.failureRisk) },
        { "observed-percent", percentText(report.observedFailureRatio) },
        { "cold", report.isCold ? "1" : "0" },
        { "suspect", report.isSuspect ? "1" : "0" },
    };
    if (reply.response) {
        message.payload = serializeResponseHead(*reply.response, false, isHead);
        if (!isHead && mayHaveBody(*reply.response))
            message.body = reply.response->body;
        return message;
    }
    const auto& refusal = reply.response.error();
    message.fields.push_back({ "outcome", std::string(toText(refusal.outcome)) });
    message.fields.push_back({ "reason", std::string(toText(refusal.reason)) });
    message.fields.push_back({ "detail", refusal.detail });
    message.fields.push_back({ "retry-after", timeFieldText(refusal.retryAfter) });
    return message;
}

forward_reply decodeForwardReply(const peer_message& message, bool isHead, const make_body_hook& makeBody)
{
    forward_reply reply;
    reply.hasReachedBackend = message.value("reached") == "1";
    reply.avoidFor = message.time("avoid");
    reply.report.inUse = static_cast<std::uint32_t>(message.number("in-use"));
    reply.report.waiting = static_cast<std::uint32_t>(message.number("waiting"));
    reply.report.slots = static_cast<std::uint32_t>(message.number("slots"));
    reply.report.meanLatency = message.time("latency");
    reply.report.failureRisk = readPercent(message, "failing-percent");
    reply.report.observedFailureRatio = readPercent(message, "observed-percent");
    reply.report.isCold = message.value("cold") == "1";
    reply.report.isSuspect = message.value("suspect") == "1";
    if (auto outcome = executionFromText(message.value("outcome"))) {
        auto reason = refusalReasonFromText(message.value("reason")).value_or(refusal_reason::pathFailed);
        auto retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(message.time("retry-after"));
        reply.response = tl::unexpected(
            request_error { *outcome, reason, std::string(message.value("detail")), retryAfter });
        return reply;
    }
    if (auto response = parseComplete(HTTP_RESPONSE, message.payload, isHead, makeBody))
        reply.response = std::move(*response);
    else
        reply.response = mayHaveRun(refusal_reason::pathFailed, "the reply of the other node cannot be read");
    return reply;
}

} // namespace pomelohub
