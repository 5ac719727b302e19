#include "backend_host.h"

namespace pomelohub {

namespace {

    std::string subjectOf(const exchange& proxied)
    {
        return headerValue(proxied.request().headers, requestIdHeader).value_or("-");
    }

} // namespace

backend_host::backend_host(
    asio::io_context& io, std::size_t threads, host_settings settings, host_hooks hooks)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_chain(makeAdmissionChain(m_hooks.admissionHooks))
    , m_strand(asio::make_strand(io))
    , m_workers(threads)
{
}

void backend_host::announce(const backend_announcement& announcement)
{
    asio::post(m_strand,
        [self = handle<backend_host>(this), announcement] { self->applyAnnouncement(announcement); });
}

void backend_host::applyAnnouncement(const backend_announcement& announcement)
{
    auto now = m_hooks.clock();
    auto& hosted = m_backends[announcement.backend.id];
    bool isReplaced = !hosted || hosted->address != announcement.address
        || hosted->info.slots != announcement.backend.slots
        || hosted->info.service != announcement.backend.service;
    if (isReplaced)
        hosted = new hosted_backend(announcement, m_settings);
    hosted->lastAnnouncedAt = now.monotonic;
    if (!isReplaced && hosted->info.condition == announcement.backend.condition)
        return;
    hosted->info.condition = announcement.backend.condition;
    hosted->limiter.setCondition(hosted->info.condition);
    m_hooks.onDecision({ now.wall, hosted->info.id.text(), "announce",
        std::string(toText(hosted->info.condition)), "limit " + std::to_string(hosted->limiter.limit()) });
    if (hosted->info.condition == backend_condition::draining)
        refuseAllWaiting(*hosted);
    publish();
}

void backend_host::refuseWaiting(const queued_request& waiting, request_error why)
{
    --m_busy;
    // Copied before the cancel hook is cleared: the hook holds the item, which holds the exchange.
    auto proxied = static_cast<const waiting_exchange&>(waiting).proxied;
    proxied->setCancelHook(nullptr);
    refuse(proxied, std::move(why));
}

void backend_host::refuseAllWaiting(hosted_backend& backend)
{
    // No deadline is later than instant::max(), so pop() treats every queued request as expired.
    backend.queue.pop(instant::max(), [this](const handle<queued_request>& waiting) {
        refuseWaiting(*waiting,
            { execution::notRun, refusal_reason::backendServerDraining, "the backend server is draining",
                {} });
    });
    updateLoad(backend);
}

void backend_host::withdraw(const backend_server_id& id)
{
    asio::post(m_strand, [self = handle<backend_host>(this), id] {
        if (self->m_backends.erase(id) > 0)
            self->publish();
    });
}

void backend_host::tick()
{
    asio::post(m_strand, [self = handle<backend_host>(this)] {
        auto now = self->m_hooks.clock();
        auto removedCount = std::erase_if(self->m_backends, [&](const auto& entry) {
            return now.monotonic - entry.second->lastAnnouncedAt > self->m_settings.announcementLifetime;
        });
        if (removedCount > 0)
            self->publish();
    });
}

void backend_host::publish()
{
    std::vector<announced_backend> announced;
    for (const auto& [id, hosted] : m_backends)
        announced.push_back(hosted->info);
    m_hooks.onBackendsChanged(std::move(announced));
}

void backend_host::submit(const handle<exchange>& proxied, const backend_server_id& id)
{
    asio::post(m_strand, [self = handle<backend_host>(this), proxied, id] { self->admit(proxied, id); });
}

void backend_host::refuse(const handle<exchange>& proxied, request_error why)
{
    m_hooks.onDecision({ m_hooks.clock().wall, subjectOf(*proxied), "admission", "refused",
        std::string(toText(why.reason)) + ": " + why.detail });
    proxied->refuse(std::move(why));
}

void backend_host::admit(const handle<exchange>& proxied, const backend_server_id& id)
{
    auto found = m_backends.find(id);
    if (found == m_backends.end())
        return refuse(proxied,
            { execution::notRun, refusal_reason::noBackendServer, id.text() + " is not beside this node",
                {} });
    auto backend = found->second;
    admission_context context { request_id(subjectOf(*proxied)),
        organisation_id(headerValue(proxied->request().headers, organisationHeader).value_or("")),
        proxied->deadline(), backend->info.condition };
    std::string_view refusedBy;
    auto admitted = m_chain.run(context, m_hooks.clock(), refusedBy);
    if (!admitted)
        return refuse(proxied, admitted.error());
    enqueue(backend, proxied, context);
    dispatchQueued(backend);
}

void backend_host::enqueue(
    const handle<hosted_backend>& backend, const handle<exchange>& proxied, const admission_context& context)
{
    handle<waiting_exchange> item(new waiting_exchange);
    item->organisation = context.organisation;
    item->deadline = context.deadline;
    item->proxied = proxied;
    item->backend = backend;
    ++m_busy;
    proxied->setCancelHook([self = handle<backend_host>(this), item] {
        asio::post(self->m_strand, [self, item] {
            if (item->backend->queue.remove(*item))
                self->refuseWaiting(
                    *item, { execution::notRun, refusal_reason::cancelled, "the caller gave up", {} });
        });
    });
    if (auto evicted = backend->queue.push(item))
        refuseWaiting(*evicted,
            { execution::notRun, refusal_reason::backendServerBusy, "the queue is full",
                std::chrono::milliseconds(1000) });
}

void backend_host::dispatchQueued(const handle<hosted_backend>& backend)
{
    auto expired = [this](const handle<queued_request>& waiting) {
        refuseWaiting(*waiting,
            { execution::notRun, refusal_reason::deadlineExceeded, "the deadline passed in the queue", {} });
    };
    while (backend->limiter.tryAcquire()) {
        auto next = backend->queue.pop(m_hooks.clock().monotonic, expired);
        if (!next) {
            backend->limiter.releaseUnused();
            break;
        }
        auto proxied = static_cast<waiting_exchange&>(*next).proxied;
        if (proxied->isCancelled()) {
            backend->limiter.releaseUnused();
            refuseWaiting(*next, { execution::notRun, refusal_reason::cancelled, "the caller gave up", {} });
            continue;
        }
        proxied->setCancelHook(nullptr);
        run(backend, proxied);
    }
    updateLoad(*backend);
}

void backend_host::run(const handle<hosted_backend>& backend, const handle<exchange>& proxied)
{
    handle<backend_connection> connection;
    if (!backend->idle.empty()) {
        connection = backend->idle.back();
        backend->idle.pop_back();
    } else {
        connection = new backend_connection(backend->address);
    }
    m_hooks.onDecision({ m_hooks.clock().wall, subjectOf(*proxied), "admission", "admitted",
        backend->info.id.text() + " " + std::to_string(backend->limiter.inUse()) + "/"
            + std::to_string(backend->limiter.limit()) });
    asio::post(m_workers, [self = handle<backend_host>(this), backend, proxied, connection] {
        backend_load_report report { [backend] { return backend->load.load(); } };
        auto end = runBackendCall(connection, proxied, report, self->m_hooks.clock);
        asio::post(self->m_strand,
            [self, backend, connection, end] { self->handleCallEnd(backend, connection, end); });
    });
}

void backend_host::handleCallEnd(const handle<hosted_backend>& backend,
    const handle<backend_connection>& connection, const backend_call_result& end)
{
    --m_busy;
    auto limitBefore = backend->limiter.limit();
    backend->limiter.release(end.sample);
    if (backend->limiter.limit() != limitBefore)
        m_hooks.onDecision({ m_hooks.clock().wall, backend->info.id.text(), "gate",
            "limit " + std::to_string(backend->limiter.limit()),
            backend->limiter.limit() < limitBefore ? "bad answers in a row" : "good answers" });
    if (end.isReusable)
        backend->idle.push_back(connection);
    dispatchQueued(backend);
}

void backend_host::updateLoad(hosted_backend& backend)
{
    auto work = backend.limiter.inUse() + backend.queue.size();
    backend.load = static_cast<std::uint32_t>(work * 1000 / std::max(1U, backend.limiter.limit()));
}

} // namespace pomelohub
