#include "exchange.h"

namespace pomelohub {

exchange::exchange(request_head request, instant deadline)
    : m_request(std::move(request))
    , m_deadline(deadline)
    , m_requestBody(new body_pipe)
    , m_responseBody(new body_pipe)
{
}

exchange::exchange(request_head request, const exchange& outer)
    : m_request(std::move(request))
    , m_deadline(outer.m_deadline)
    , m_requestBody(outer.m_requestBody)
    , m_responseBody(outer.m_responseBody)
{
}

handle<exchange> exchange::withOwnResponse(request_head request, const exchange& outer)
{
    handle<exchange> created(new exchange(std::move(request), outer));
    created->m_responseBody = new body_pipe;
    return created;
}

bool exchange::setResponse(result<response_head> response)
{
    std::function<void()> hook;
    {
        std::lock_guard lock(m_mutex);
        if (m_response)
            return m_response->has_value();
        m_response = std::move(response);
        hook.swap(m_responseHook);
        m_changed.notify_all();
    }
    if (hook)
        hook();
    return false;
}

void exchange::respond(response_head head) { setResponse(std::move(head)); }

void exchange::refuse(request_error error)
{
    // A response body in progress is aborted. Before the head there is no body yet, and a retry that shares
    // the pipe may still write one.
    if (setResponse(tl::unexpected(error)))
        m_responseBody->fail(std::move(error));
}

result<response_head> exchange::awaitResponse()
{
    std::unique_lock lock(m_mutex);
    if (m_changed.wait_until(lock, m_deadline, [&] { return m_response.has_value(); }))
        return *m_response;
    return mayHaveRun(refusal_reason::deadlineExceeded, "no answer before the deadline");
}

std::optional<result<response_head>> exchange::response() const
{
    std::lock_guard lock(m_mutex);
    return m_response;
}

void exchange::setResponseHook(std::function<void()> hook)
{
    {
        std::lock_guard lock(m_mutex);
        if (!m_response) {
            m_responseHook = std::move(hook);
            return;
        }
    }
    hook();
}

void exchange::cancel()
{
    std::function<void()> hook;
    {
        std::lock_guard lock(m_mutex);
        if (m_cancelled.exchange(true))
            return;
        hook.swap(m_cancelHook);
    }
    m_requestBody->fail({ execution::mayHaveRun, refusal_reason::cancelled, "the caller gave up", {} });
    m_responseBody->closeReader();
    if (hook)
        hook();
}

void exchange::setCancelHook(std::function<void()> hook)
{
    {
        std::lock_guard lock(m_mutex);
        if (!m_cancelled) {
            m_cancelHook = std::move(hook);
            return;
        }
    }
    if (hook)
        hook();
}

namespace {

    /** Reads a body as its parts arrive. The pipe's readable hook keeps the collector alive until the end. */
    struct body_collector : ref_counted<body_collector> {
        handle<body_pipe> pipe;
        std::size_t limit = 0;
        std::string body;
        std::function<void(result<std::string>)> done;

        void end(result<std::string> outcome)
        {
            if (!done)
                return;
            auto call = std::exchange(done, nullptr);
            pipe->setReadableHook(nullptr);
            call(std::move(outcome));
        }
        void drain()
        {
            std::array<char, 16 * 1024> buffer;
            for (;;) {
                auto part = pipe->poll(buffer.data(), buffer.size());
                body.append(buffer.data(), part.bytes);
                if (body.size() > limit)
                    return end(mayHaveRun(refusal_reason::requestTooLarge, "the body is too large"));
                if (part.state == pipe_state::failed)
                    return end(tl::unexpected(pipe->failure()));
                if (part.state == pipe_state::ended)
                    return end(std::move(body));
                if (part.bytes == 0)
                    return;
            }
        }
    };

} // namespace

void collectBody(
    const handle<body_pipe>& pipe, std::size_t limit, std::function<void(result<std::string>)> done)
{
    handle<body_collector> collector(new body_collector);
    collector->pipe = pipe;
    collector->limit = limit;
    collector->done = std::move(done);
    pipe->setReadableHook([collector] { collector->drain(); });
}

void collectResponse(
    const handle<exchange>& outgoing, std::size_t limit, std::function<void(result<std::string>)> done)
{
    outgoing->setResponseHook([outgoing, limit, done = std::move(done)] {
        auto response = *outgoing->response();
        if (response)
            collectBody(outgoing->responseBodyHandle(), limit, done);
        else
            done(tl::unexpected(response.error()));
    });
}

} // namespace pomelohub
