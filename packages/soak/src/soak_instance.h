/** \file
 * Defines soak_instance, a node process with the backend server beside it and the links to and from both.
 */
#pragma once

#include "emulated_documents.h"
#include "emulated_server.h"
#include "fault_schedule.h"
#include "faulty_link.h"
#include "node_process.h"
#include "peer_choice.h"
#include "promise_checker.h"

#include <memory>

namespace pomelohub {

/** Thread safety: that of its execution context. */
class soak_instance {
public:
    struct hooks {
        clock_hook clock;
        /** Calls \p action after \p time. */
        std::function<void(duration time, std::function<void()> action)> after;
        std::function<void(const promise_checker::disturbance& disturbance)> addDisturbance;
        choice_random_hook random;
    };

    /** \param program path of the node's program. \param directory for its settings and its log. */
    soak_instance(asio::io_context& context, std::size_t number, std::string service,
        const asio::ip::tcp::endpoint& store, const std::string& program, const std::string& directory,
        promise_checker& checker, hooks hooks);
    soak_instance(const soak_instance&) = delete;
    soak_instance& operator=(const soak_instance&) = delete;

    /** Starts the process, its links and its server. \return an error message if one of them fails. */
    std::optional<std::string> start();

    const emulated_node& node() const { return m_node; }

    /** Where callers reach the node. */
    const asio::ip::tcp::endpoint& callerAddress() const { return m_callerAddress; }
    bool isRunning() const { return m_process.isRunning(); }

    /** Whether no fault of it lasts. */
    bool isCalm() const;

    /** Begins a fault of this instance; it ends by itself. */
    void play(const planned_fault& fault);

    /** Notices the end of the process, and starts it again. To be called at short intervals. */
    void checkProcess(instant now);

private:
    void run(const http_message& request, const handle<http_responder>& responder);
    void suspendNode(duration length);
    void killNode(duration downTime);
    void stopNode();
    void endNode(duration downTime);
    struct link_kinds {
        std::optional<fault_kind> delay;
        fault_kind cut;
        fault_kind cutOneWay;
    };
    static constexpr link_kinds peerLinkKinds { fault_kind::delayLink, fault_kind::cutLink,
        fault_kind::cutLinkOneWay };
    static constexpr link_kinds storeLinkKinds { std::nullopt, fault_kind::cutStoreLink,
        fault_kind::cutStoreLinkOneWay };
    static constexpr link_kinds callerLinkKinds { fault_kind::delayCallerLink, fault_kind::cutCallerLink,
        fault_kind::cutCallerLinkOneWay };
    void playOnLink(faulty_link& link, const link_kinds& kinds, const planned_fault& fault);
    link_condition conditionOf(const link_kinds& kinds) const;
    void disturbCallers(duration length);
    void crashServer(duration downTime);
    void stallServer(duration length);
    void failServer(duration length);
    void leaveServer();

    asio::io_context& m_context;
    emulated_node m_node;
    promise_checker& m_checker;
    hooks m_hooks;
    asio::ip::tcp::endpoint m_serverAddress; ///< Behind the link to the server.
    asio::ip::tcp::endpoint m_callerAddress; ///< Before the link to the node.
    faulty_link m_peerLink;
    faulty_link m_serverLink;
    faulty_link m_storeLink;
    faulty_link m_callerLink;
    emulated_server m_server;
    node_process m_process;
    std::vector<planned_fault> m_linkFaults; ///< That have not ended.
    std::vector<std::function<void()>> m_stalledResponses;
    int m_suspensions = 0; ///< That have not ended, as below.
    int m_stalls = 0;
    int m_failures = 0;
    std::uint64_t m_serverChanges = 0; ///< Cancels what was planned for an earlier start of the server.
    std::optional<instant> m_stoppedAt; ///< When the node was told to stop.
    bool m_wasSuspendedSinceStop = false;
    bool m_isKillExpected = false;
};

constexpr std::chrono::seconds soakGracePeriod { 6 };

/** Longest time until an instance is calm after its last fault has begun to end. */
constexpr duration soakCalmLimit = soakGracePeriod + std::chrono::milliseconds(5500);

} // namespace pomelohub
