/** \file
 * Defines backend_host, the part of a node that stands beside backend servers: it alone admits work to them,
 * queues it fairly, and runs it.
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

/** A backend server's word about itself. */
struct backend_announcement {
    announced_backend backend;
    std::string address; ///< "host:port" where it serves HTTP/1.1.
};

struct host_settings {
    std::size_t queueLength = 200;
    duration announcementLifetime = std::chrono::seconds(10);
    concurrency_limit_policy gate;
};

/** What the host needs of the rest of the node. */
struct host_hooks {
    admission_hooks facts;
    clock_hook clock;
    decision_hook decided;
    /** Called on the host's strand with the backend servers that are beside this node now. */
    std::function<void(std::vector<announced_backend>)> changed;
};

/** Thread safety: any thread. */
class backend_host : public ref_counted<backend_host> {
public:
    backend_host(asio::io_context& io, std::size_t threads, host_settings settings, host_hooks hooks);

    /** Takes in or renews a backend server. */
    void announce(const backend_announcement& announcement);

    /** Forgets a backend server; what it runs goes on. */
    void withdraw(const backend_server_id& id);

    /** Admits \p carried to the backend server \p id, or refuses it. */
    void submit(const handle<exchange>& carried, const backend_server_id& id);

    /** Drops announcements that were not renewed. Call it at a steady interval. */
    void tick();

    /** Requests that wait or run at present. */
    std::size_t busyCount() const { return m_busy.load(); }

    /** Waits for running calls to end. Call it last. */
    void join() { m_workers.join(); }

private:
    struct hosted_backend : ref_counted<hosted_backend> {
        hosted_backend(const backend_announcement& announcement, const host_settings& settings)
            : info(announcement.backend)
            , address(announcement.address)
            , gate(announcement.backend.slots, settings.gate)
            , queue(settings.queueLength)
        {
        }
        announced_backend info;
        std::string address;
        instant lastAnnounced {};
        concurrency_limiter gate;
        fair_queue queue;
        std::vector<handle<backend_connection>> idle;
        std::atomic<std::uint32_t> load { 0 };
    };
    struct waiting_exchange : queued_request {
        handle<exchange> carried;
        handle<hosted_backend> backend;
    };

    void announceNow(const backend_announcement& announcement);
    void admit(const handle<exchange>& carried, const backend_server_id& id);
    void enqueue(const handle<hosted_backend>& backend, const handle<exchange>& carried,
        const admission_context& context);
    void refuseWaiting(const queued_request& waiting, request_error why);
    void refuseAllWaiting(hosted_backend& backend);
    void pump(const handle<hosted_backend>& backend);
    void run(const handle<hosted_backend>& backend, const handle<exchange>& carried);
    void ended(const handle<hosted_backend>& backend, const handle<backend_connection>& connection,
        const call_end& end);
    void refuse(const handle<exchange>& carried, request_error why);
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
