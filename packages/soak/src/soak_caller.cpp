#include "soak_caller.h"

#include "soak_messages.h"

namespace pomelohub {

namespace {

    using std::chrono::milliseconds;

    constexpr duration connectTimeout = milliseconds(500);
    constexpr int maxPauseMs = 60;

} // namespace

soak_caller::soak_caller(asio::io_context& context, asio::ip::tcp::endpoint node, std::uint64_t seed,
    promise_checker& checker, hooks hooks)
    : m_context(context)
    , m_node(std::move(node))
    , m_random(seed)
    , m_checker(checker)
    , m_hooks(std::move(hooks))
    , m_timer(context)
{
}

soak_caller::~soak_caller()
{
    if (m_connection)
        m_connection->cancel();
}

void soak_caller::start() { pause(); }

void soak_caller::pause()
{
    if (m_isStopping)
        return;
    m_timer.startAfter(milliseconds(m_random() % maxPauseMs), [this] { sendNext(); });
}

void soak_caller::sendNext()
{
    if (m_isStopping)
        return;
    if (!m_connection || !m_connection->isReusable())
        m_connection = handle<http_client_connection>(new http_client_connection(m_context, {}));
    auto request = m_hooks.makeRequest(m_hooks.clock().monotonic);
    m_isWaiting = true;
    m_connection->call(m_node, m_hooks.encode(request), connectTimeout, requestTimeout + responseSlack,
        [this, request](const http_call_result& result) { handleResult(request, result); });
}

void soak_caller::handleResult(const promise_checker::request& request, const http_call_result& result)
{
    m_isWaiting = false;
    recordResult(m_checker, request, result, m_hooks.clock().monotonic);
    if (!result && m_connection) {
        m_connection->cancel();
        m_connection = nullptr;
    }
    pause();
}

void recordResult(promise_checker& checker, const promise_checker::request& request,
    const http_call_result& result, instant now)
{
    if (result) {
        checker.recordResponse(request.id, { result->status, result->body.view() }, now);
    } else if (result.error() == http_call_failure::notConnected) {
        checker.recordMissing(request.id, missing_response::notConnected, now);
    } else {
        bool isLate = now - request.sentAt >= requestTimeout + responseSlack;
        checker.recordMissing(request.id, isLate ? missing_response::late : missing_response::closed, now);
    }
}

} // namespace pomelohub
