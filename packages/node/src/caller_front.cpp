#include "caller_front.h"

#include "parse_number.h"

#include <algorithm>

namespace pomelohub {

using std::chrono::milliseconds;

namespace {

    constexpr std::size_t maxRequestIdLength = 64;
    constexpr std::size_t responseChunkBytes = 32 * 1024;
    constexpr auto timeoutField = "X-Timeout-Ms";
    constexpr auto requestIdField = "X-Request-Id";

    bool isValidRequestId(const std::string& text)
    {
        return !text.empty() && text.size() <= maxRequestIdLength
            && std::all_of(text.begin(), text.end(),
                [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
    }

    std::optional<std::string> bearerToken(const httplib::Request& request)
    {
        constexpr std::string_view scheme = "Bearer ";
        auto value = request.get_header_value("Authorization");
        if (!value.starts_with(scheme))
            return std::nullopt;
        return value.substr(scheme.size());
    }

    /** Whether a header field is not forwarded: hop-by-hop fields, the API key, and the fields that the node
     * sets itself. */
    bool isNotForwarded(const std::string& name)
    {
        static constexpr std::array<std::string_view, 9> names { "authorization", "expect", "idempotency-key",
            "x-request-id", "x-timeout-ms", "remote_addr", "remote_port", "local_addr", "local_port" };
        return std::find(names.begin(), names.end(), name) != names.end() || isHopByHop(name)
            || name.starts_with(internalHeaderPrefix);
    }

    bool hasBody(const httplib::Request& request)
    {
        return request.has_header("Transfer-Encoding")
            || (request.has_header("Content-Length") && request.get_header_value("Content-Length") != "0");
    }

} // namespace

/** A request whose response is being streamed. */
struct caller_front::served_request : ref_counted<served_request> {
    request_context context;
    handle<exchange> outer;
    instant startedAt {};
};

caller_front::caller_front(caller_front_dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

void caller_front::attach(caller_listener& listener)
{
    auto plain = [this](const httplib::Request& request, httplib::Response& response) {
        serve(request, response, nullptr);
    };
    auto withBody = [this](const httplib::Request& request, httplib::Response& response,
                        const httplib::ContentReader& reader) { serve(request, response, &reader); };
    const std::string any = "[\\s\\S]*";
    listener.Get(any, plain).Options(any, plain);
    listener.Post(any, withBody).Put(any, withBody).Patch(any, withBody).Delete(any, withBody);
}

void caller_front::recordDecision(
    const request_context& context, std::string stage, std::string outcome, std::string reason)
{
    m_dependencies.onDecision({ m_dependencies.clock().wall, context.id.text(), std::move(stage),
        std::move(outcome), std::move(reason) });
}

void caller_front::readContext(const httplib::Request& request, request_context& context) const
{
    auto id = request.get_header_value(requestIdField);
    if (!isValidRequestId(id))
        id = "r" + std::to_string(m_dependencies.random(UINT64_MAX));
    context.id = request_id(id);
    context.method = request.method;
    auto host = toLowerCase(request.get_header_value("Host"));
    context.host = host.substr(0, host.rfind(':'));
    context.target = request.target;
    context.path = request.target.substr(0, request.target.find('?'));
    context.apiKey = bearerToken(request);
    context.idempotencyKey = toLowerCase(request.get_header_value("Idempotency-Key"));
    if (auto timeout = parseNumber<std::int64_t>(request.get_header_value(timeoutField)))
        context.timeout = milliseconds(*timeout);
    context.contentLength = parseNumber<std::uint64_t>(request.get_header_value("Content-Length"));
}

void caller_front::serve(
    const httplib::Request& request, httplib::Response& response, const httplib::ContentReader* reader)
{
    auto now = m_dependencies.clock();
    handle<served_request> served(new served_request);
    served->startedAt = now.monotonic;
    auto& context = served->context;
    readContext(request, context);
    std::string_view refusedBy;
    auto passed = m_dependencies.chain.run(context, now, refusedBy);
    if (!passed) {
        recordDecision(
            context, std::string(refusedBy), "refused", std::string(toText(passed.error().reason)));
        return writeRefusal(context, passed.error(), response, now.monotonic);
    }
    if (context.contentLength.value_or(0) > m_dependencies.maxBodyBytes) {
        request_error why { execution::notRun, refusal_reason::requestTooLarge, "the body is too large", {} };
        return writeRefusal(context, why, response, now.monotonic);
    }
    served->outer = new exchange(makeHead(request, context), context.deadline);
    dispatch(served->outer, context);
    auto sent = sendBody(request, served->outer, reader);
    if (!sent) {
        served->outer->cancel();
        return writeRefusal(context, sent.error(), response, now.monotonic);
    }
    auto head = served->outer->awaitResponse();
    if (head)
        return writeResponse(served, *head, response);
    served->outer->cancel();
    writeRefusal(context, head.error(), response, now.monotonic);
}

request_head caller_front::makeHead(const httplib::Request& request, const request_context& context) const
{
    request_head head { request.method, request.target, {} };
    for (const auto& [name, value] : request.headers) {
        auto lower = toLowerCase(name);
        if (lower == savedEncodingHeader)
            head.headers.emplace_back("content-encoding", value);
        else if (!isNotForwarded(lower))
            head.headers.emplace_back(lower, value);
    }
    auto add = [&](std::string_view name, std::string value) {
        head.headers.emplace_back(std::string(name), std::move(value));
    };
    add(requestIdHeader, context.id.text());
    add(serviceHeader, context.matchedService()->id.text());
    if (context.caller()) {
        add(organisationHeader, context.caller()->id.text());
        // The backend server receives the caller's organisation but never the API key.
        add("x-organisation", context.caller()->id.text());
    }
    if (request.has_header("Transfer-Encoding"))
        add(bodyHeader, "chunked");
    if (context.isIdempotencyKeyRequired())
        add(actionHeader, context.idempotencyKey);
    return head;
}

void caller_front::dispatch(const handle<exchange>& outer, const request_context& context)
{
    const auto& service = context.matchedService()->id;
    if (!context.isIdempotencyKeyRequired()) {
        m_dependencies.forwarder->forward(outer, { service, true, context.id.text() });
        return;
    }
    auto organisation = context.caller() ? context.caller()->id : organisation_id();
    auto holder = m_dependencies.state.holderOf(
        slotOf(hashOf(action_key { organisation, service, context.idempotencyKey })));
    auto endpoint = holder ? m_dependencies.state.endpointOf(*holder) : std::nullopt;
    recordDecision(
        context, "action", endpoint ? "sent" : "refused", holder ? holder->text() : "no authority");
    if (holder == m_dependencies.state.self().node)
        m_dependencies.authority->submit(outer);
    else if (endpoint)
        m_dependencies.peers->send({ *holder, *endpoint }, outer);
    else
        outer->refuse({ execution::notRun, refusal_reason::authorityUnavailable,
            "no node remembers this key at present", milliseconds(1000) });
}

result<void> caller_front::sendBody(const httplib::Request& request, const handle<exchange>& outer,
    const httplib::ContentReader* reader) const
{
    if (!reader || !hasBody(request)) {
        outer->requestBody().finish();
        return {};
    }
    std::size_t total = 0;
    bool isRefused = false;
    bool isTooLarge = false;
    bool isWhole = (*reader)([&](const char* data, std::size_t size) {
        total += size;
        isTooLarge = total > m_dependencies.maxBodyBytes;
        isRefused = !isTooLarge && !outer->requestBody().write({ data, size }, outer->deadline());
        return !isTooLarge && !isRefused;
    });
    if (isTooLarge)
        return mayHaveRun(refusal_reason::requestTooLarge, "the body is too large");
    if (!isWhole && !isRefused)
        return mayHaveRun(refusal_reason::cancelled, "the caller's body ended early");
    outer->requestBody().finish();
    return {};
}

void caller_front::writeResponse(
    const handle<served_request>& served, const response_head& head, httplib::Response& response)
{
    response.status = head.status;
    std::optional<std::size_t> length;
    std::string type;
    for (const auto& [name, value] : head.headers) {
        if (name == "content-length")
            length = parseNumber<std::size_t>(value);
        else if (name == "content-type")
            type = value;
        else
            response.headers.emplace(name, value);
    }
    response.set_header(requestIdField, served->context.id.text());
    auto writeChunk = [this, served](httplib::DataSink& sink) {
        std::array<char, responseChunkBytes> buffer;
        // Revoking an API key also ends the streams that are in progress.
        if (!isApiKeyValid(m_dependencies.state.table(), served->context))
            return false;
        auto part
            = served->outer->responseBody().read(buffer.data(), buffer.size(), served->outer->deadline());
        if (part.state == pipe_state::failed || part.state == pipe_state::timedOut)
            return false;
        if (part.state == pipe_state::ended) {
            sink.done();
            return true;
        }
        return sink.write(buffer.data(), part.bytes);
    };
    bool hasNoBody = served->context.method == "HEAD" || length == 0U || response.status == 204
        || response.status == 304;
    auto ended = [this, served, hasNoBody, status = head.status](bool isComplete) {
        bool isWhole = isComplete || hasNoBody;
        m_dependencies.metrics.countResponse(status, m_dependencies.clock().monotonic - served->startedAt);
        if (isWhole)
            return;
        served->outer->cancel();
        recordDecision(served->context, "answer", "cut", "the answer could not be completed");
    };
    if (hasNoBody && served->context.method != "HEAD")
        ended(true);
    else if (length)
        response.set_content_provider(
            *length, type,
            [writeChunk](std::size_t, std::size_t, httplib::DataSink& sink) { return writeChunk(sink); },
            ended);
    else
        response.set_chunked_content_provider(
            type, [writeChunk](std::size_t, httplib::DataSink& sink) { return writeChunk(sink); }, ended);
}

void caller_front::writeRefusal(
    const request_context& context, const request_error& why, httplib::Response& response, instant started)
{
    m_dependencies.metrics.countRefusal(why.reason);
    m_dependencies.metrics.countResponse(httpStatus(why.reason), m_dependencies.clock().monotonic - started);
    response.status = httpStatus(why.reason);
    response.set_header("Pomelohub-Verdict", std::string(toText(why.outcome)));
    response.set_header(requestIdField, context.id.text());
    if (why.retryAfter > milliseconds::zero())
        response.set_header(
            "Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(why.retryAfter).count()));
    nlohmann::json problem { { "type", "urn:pomelohub:refusal:" + std::string(toText(why.reason)) },
        { "title", toText(why.reason) }, { "status", response.status }, { "detail", why.detail },
        { "verdict", toText(why.outcome) }, { "request_id", context.id.text() } };
    response.set_content(problem.dump(), "application/problem+json");
}

} // namespace pomelohub
