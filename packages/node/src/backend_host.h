/** \file
 * Defines backend_host, the component of a sidecar node that admits requests to its local backend servers.
 * All requests to these servers pass through it: it queues them fairly and runs them.
 */
#pragma once

#include "admission_filters.h"
#include "backend_call.h"
#include "decision_history.h"
#include "fair_queue.h"
#include "membership.h"
#include "peer_session.h"

#include <asio.hpp>

#include <map>

namespace pomelohub {

/** What a backend server announces about itself. */
struct backend_announcement {
    announced_backend backend;
    std::string address; ///< "host:port" where it serves HTTP/1.1.
};

struct host_settings {
    std::size_t queueLength = 200;
    duration announcementLifetime = std::chrono::seconds(10);
    concurrency_limit_policy limiter;
};

/** Callbacks by which the host uses the rest of the node. */
struct host_hooks {
    admission_hooks admissionHooks;
    clock_hook clock;
    decision_hook onDecision;
    /** Called on the host's strand with all local backend servers after any of them has changed. */
    std::function<void(std::vector<announced_backend>)> onBackendsChanged;
};

/** Thread safety: any thread. */
class backend_host : public ref_counted<backend_host> {
public:
    backend_host(asio::io_context& io, std::size_t threads, host_settings settings, host_hooks hooks);

    /** Registers a backend server or renews its registration. */
    void announce(const backend_announcement& announcement);

    /** Deregisters a backend server. Requests that it runs continue. */
    void withdraw(const backend_server_id& id);

    /** Queues \p proxied for the backend server \p id, or refuses it. */
    void submit(const handle<exchange>& proxied, const backend_server_id& id);

    /** Removes backend servers whose announcement was not renewed within its lifetime. Call it
     * periodically. */
    void tick();

    /** Number of requests that are queued or running. */
    std::size_t busyCount() const { return m_busy.load(); }

    /** Waits until all running calls have ended. Call it last. */
    void join() { m_workers.join(); }

private:
    struct hosted_backend : ref_counted<hosted_backend> {
        hosted_backend(const backend_announcement& announcement, const host_settings& settings)
            : info(announcement.backend)
            , address(announcement.address)
            , limiter(announcement.backend.slots, settings.limiter)
            , queue(settings.queueLength)
        {
        }
        announced_backend info;
        std::string address;
        instant lastAnnouncedAt {};
        concurrency_limiter limiter;
        fair_queue queue;
        std::vector<handle<backend_connection>> idle;
        std::atomic<std::uint32_t> load { 0 };
    };
    struct waiting_exchange : queued_request {
        handle<exchange> proxied;
        handle<hosted_backend> backend;
    };

    void applyAnnouncement(const backend_announcement& announcement);
    void admit(const handle<exchange>& proxied, const backend_server_id& id);
    void enqueue(const handle<hosted_backend>& backend, const handle<exchange>& proxied,
        const admission_context& context);
    void refuseWaiting(const queued_request& waiting, request_error why);
    void refuseAllWaiting(hosted_backend& backend);
    void dispatchQueued(const handle<hosted_backend>& backend);
    void run(const handle<hosted_backend>& backend, const handle<exchange>& proxied);
    void handleCallEnd(const handle<hosted_backend>& backend, const handle<backend_connection>& connection,
        const backend_call_result& end);
    void refuse(const handle<exchange>& proxied, request_error why);
    void updateLoad(hosted_backend& backend);
    void publish();

    host_settings m_settings;
    host_hooks m_hooks;
    admission_chain m_chain;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::thread_pool m_workers;
    std::map<backend_server_id, handle<hosted_backend>> m_backends;
    std::atomic<std::size_t> m_busy { 0 };
};

} // namespace pomelohub
