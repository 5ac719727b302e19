#include "exchange.h"

#include <algorithm>

namespace pomelohub {

std::optional<std::string> headerValue(const std::vector<header_field>& headers, std::string_view name)
{
    auto found = std::find_if(
        headers.begin(), headers.end(), [&](const header_field& field) { return field.first == name; });
    return found == headers.end() ? std::nullopt : std::optional(found->second);
}

void removeHeader(std::vector<header_field>& headers, std::string_view name)
{
    std::erase_if(headers, [&](const header_field& field) { return field.first == name; });
}

exchange::exchange(request_head request, instant deadline)
    : m_request(std::move(request))
    , m_deadline(deadline)
    , m_requestBody(new body_pipe)
    , m_responseBody(new body_pipe)
{
}

void exchange::settle(result<response_head> response)
{
    std::function<void()> hook;
    {
        std::lock_guard lock(m_mutex);
        if (m_response)
            return;
        m_response = std::move(response);
        hook.swap(m_responseHook);
        m_changed.notify_all();
    }
    if (hook)
        hook();
}

void exchange::respond(response_head head) { settle(std::move(head)); }

void exchange::refuse(verdict why)
{
    // A body that is already on its way is cut; one that never starts is failed too, for its reader.
    m_responseBody->fail(why);
    settle(tl::unexpected(std::move(why)));
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

    /** Drains the body of an answer as its parts arrive. */
    struct answer_collector : counted<answer_collector> {
        handle<exchange> asked;
        std::size_t limit = 0;
        std::string body;
        std::function<void(result<std::string>)> done;

        void end(result<std::string> outcome)
        {
            if (!done)
                return;
            auto call = std::exchange(done, nullptr);
            // The pipe's hook holds this collector, which holds the pipe.
            auto pipe = std::exchange(asked, nullptr)->responseBodyHandle();
            pipe->dropHooks();
            call(std::move(outcome));
        }
        void drain()
        {
            std::array<char, 16 * 1024> buffer;
            for (;;) {
                auto part = asked->responseBody().poll(buffer.data(), buffer.size());
                body.append(buffer.data(), part.bytes);
                if (body.size() > limit)
                    return end(mayHaveRun(refusal_reason::pathFailed, "the answer is too large"));
                if (part.state == pipe_state::failed)
                    return end(tl::unexpected(asked->responseBody().failure()));
                if (part.state == pipe_state::ended)
                    return end(std::move(body));
                if (part.bytes == 0)
                    return;
            }
        }
    };

} // namespace

void collectAnswer(
    const handle<exchange>& asked, std::size_t limit, std::function<void(result<std::string>)> done)
{
    handle<answer_collector> collector(new answer_collector);
    collector->asked = asked;
    collector->limit = limit;
    collector->done = std::move(done);
    asked->setResponseHook([collector] {
        auto pipe = collector->asked->responseBodyHandle();
        auto response = *collector->asked->response();
        if (!response)
            return collector->end(tl::unexpected(response.error()));
        // The hook may run on several threads one after the other; the pipe orders them.
        pipe->setReadableHook([collector] { collector->drain(); });
    });
}

} // namespace pomelohub
