/** \file
 * Small stand-ins for the platform: its store, and backend servers that announce themselves; and a fleet of
 * real node processes before them. All run on one thread of the test.
 */
#pragma once

#include "emulated_documents.h"
#include "emulated_server.h"
#include "emulated_store.h"
#include "http_client.h"
#include "loopback.h"
#include "node_process.h"

#include <doctest/doctest.h>

#include <map>
#include <mutex>
#include <thread>

namespace pomelohub {

/** One run of a request at a backend server. */
struct standin_run {
    std::string id;
    std::string target;
    std::string service;
    std::string server;
    std::string organisation;
    std::string callerService;
    bool carriedKey = false;
    std::chrono::steady_clock::time_point at;
};

/** What all backend servers ran. Thread safety: any thread. */
class run_record {
public:
    void add(standin_run run);
    std::vector<standin_run> all() const;
    std::size_t countOf(const std::string& id) const;

private:
    mutable std::mutex m_lock; // Held while a run is copied.
    std::vector<standin_run> m_runs;
};

constexpr std::size_t largeResponseBytes = 4 << 20; ///< To a request whose path ends in "/large".
constexpr std::size_t hugeResponseBytes = 16 << 20; ///< To a request whose path ends in "/huge".

/** Node processes, each with a backend server beside it, and the store. Requests whose paths end in "/fail"
 * fail. One whose path ends in "/crash" crashes its server, which starts again under another id. */
class proxy_fleet {
public:
    /** \param services of the nodes, in order. \param extra settings of every node, beside the usual ones. */
    explicit proxy_fleet(
        const std::vector<std::string>& services, const nlohmann::json& extra = nlohmann::json::object());
    ~proxy_fleet();
    proxy_fleet(const proxy_fleet&) = delete;
    proxy_fleet& operator=(const proxy_fleet&) = delete;

    /** Writes \p document as the operators' configuration. */
    void configure(const nlohmann::json& document);

    /** Waits until \p condition holds. \return whether it did in time. */
    bool waitFor(const std::function<bool()>& condition);

    /** Sends a request to a node. \return its answer, or nothing when the connection ended without one. */
    std::optional<http_message> send(std::size_t node, const std::string& method, const std::string& target,
        const std::string& id, const std::string& key);
    bool isReady(std::size_t node);

    /** How many nodes a node knows, as its metrics say. */
    int knownNodes(std::size_t node);

    /** Version of the configuration in force at a node, as its metrics say. */
    int configurationVersion(std::size_t node);

    /** How many bytes of messages a node holds, as its metrics say. */
    std::size_t heldBytes(std::size_t node);

    /** Most memory that a node's process has had resident, in bytes; 0 if it has ended. */
    std::size_t peakMemory(std::size_t node) const;

    /** Bytes that have arrived at the sockets of a node's process and that it has not read. */
    std::size_t unreadBytes(std::size_t node) const;

    /** How many descriptors a node's process has open; 0 if it has ended. */
    std::size_t openDescriptors(std::size_t node) const;

    const tcp::endpoint& callersEndpoint(std::size_t node) const { return m_instances[node]->node.callers; }

    void signal(std::size_t node, int number);

    /** Starts a node's process. \param output takes its standard output in place of a log file. */
    void start(std::size_t node, std::optional<int> output = std::nullopt);

    /** \return the exit status of a node's process, or nothing while it runs. */
    std::optional<int> exitStatus(std::size_t node);

    /** Waits for the end of a node's process. \return its exit status. */
    int waitForEnd(std::size_t node);

    emulated_store& store() { return *m_store; }

    /** While the store is away every call gets 503. Thread safety: any thread. */
    void setStoreAway(bool isAway) { m_isStoreAway = isAway; }

    /** Lets the backend server beside a node say that it leaves. \return once the node has acknowledged it.
     */
    void drainServer(std::size_t node);
    run_record& runs() { return m_runs; }
    std::size_t size() const { return m_instances.size(); }

private:
    std::optional<http_message> get(const tcp::endpoint& server, const std::string& target);
    std::vector<double> metricValues(std::size_t node, const std::string& name);
    int metricValue(std::size_t node, const std::string& name);

    struct instance {
        emulated_node node;
        std::unique_ptr<emulated_server> server;
        std::unique_ptr<node_process> process;
        std::atomic<bool> isLeavingAcknowledged { false };
    };

    void addInstance(std::size_t number, const std::string& service, const nlohmann::json& extra);
    void runRequest(instance& instance, const http_message& request, const handle<http_responder>& responder);

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    run_record m_runs;
    std::unique_ptr<emulated_store> m_store;
    tcp::endpoint m_storeAddress;
    std::atomic<bool> m_isStoreAway { false };
    std::vector<std::unique_ptr<instance>> m_instances;
    std::thread m_thread;
    std::string m_directory;
};

} // namespace pomelohub
