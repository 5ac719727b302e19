/** \file
 * Defines peer_state, what this node knows of another node and the backend server beside it, and
 * fleet_snapshot, the whole view that requests read.
 */
#pragma once

#include "instance_announcement.h"
#include "routing_table.h"

#include <set>

namespace pomelohub {

/** The load of a backend server as the node beside it reports with each reply. */
struct backend_report {
    std::uint32_t inUse = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    duration meanLatency {};
    double failingShare = 0; ///< Of the last requests there.
    bool isCold = false;
    bool isSuspect = false; ///< Fails requests; only trials are welcome.
    bool operator==(const backend_report&) const = default;
};

/** Thread safety: the announcement is constant, all else atomic. */
struct peer_state : counted<peer_state> {
    explicit peer_state(instance_announcement announced)
        : announcement(std::move(announced))
    {
    }

    void note(const backend_report& report, instant now);

    /** Keeps requests away until \p until; a later time goes before an earlier one. */
    void avoidUntil(instant until);

    bool isAvoided(instant now) const { return now < m_avoidedUntil.load(std::memory_order_relaxed); }

    /** The node beside it turned a request away because its backend server fails; a trial is welcome at
     * \p nextTrial. */
    void noteSuspect(instant nextTrial, instant now);
    bool isSuspect() const { return m_isSuspect.load(std::memory_order_relaxed); }

    /** Whether a request that may be repeated could show that the backend server has recovered. */
    bool isTrialDue(instant now) const;

    /** Whether the suspicion is so old that it says nothing about the present. */
    bool isSuspicionOld(instant now) const;

    /** Mean time of a request there, as last reported. What is long for a server lapses with the age of the
     * report, so that a server that was slow is asked again. */
    duration meanLatency(instant now) const;

    /** Estimated time until an answer to a request that is sent at \p now, where requests of the service take
     * \p mean. */
    duration estimatedAnswer(duration mean, instant now) const;
    duration estimatedAnswer(instant now) const { return estimatedAnswer(meanLatency(now), now); }

    /** Of the last requests there, as last reported. */
    double failingShare() const { return m_failingShare.load(std::memory_order_relaxed); }

    const instance_announcement announcement;
    std::atomic<std::uint32_t> inFlight { 0 }; ///< Requests of this node.
    std::atomic<bool> isSilent { false }; ///< No sign of life on a connection that should show one.

private:
    std::atomic<std::uint32_t> m_load { 0 }; ///< In use and waiting, less what this node had in flight.
    std::atomic<std::uint32_t> m_slots { 0 };
    std::atomic<duration> m_meanLatency { duration::zero() };
    std::atomic<double> m_failingShare { 0 };
    std::atomic<instant> m_reportedAt { instant {} };
    std::atomic<instant> m_avoidedUntil { instant {} };
    std::atomic<bool> m_isSuspect { false };
    std::atomic<instant> m_nextTrial { instant {} };
    std::atomic<instant> m_suspectNotedAt { instant {} };
};

/** Where a node is reached. */
struct fleet_node {
    node_id id;
    std::string endpoint;
};

/** All that the path of a request reads, published as one value. */
struct fleet_snapshot : counted<fleet_snapshot> {
    handle<const routing_table> routes;
    /** In an order that is the same on all nodes. */
    std::unordered_map<service_id, std::vector<handle<peer_state>>> services;
    std::set<data_centre_id> evacuated;
    std::vector<fleet_node> nodes;
};

/** The nodes in the order in which they own what \p item names, the same for all nodes that know the same
 * fleet: a node stands in for those before it while they cannot be reached. \param count how many to return
 * at most. Thread safety: any thread. */
std::vector<fleet_node> ownersOf(const fleet_snapshot& snapshot, std::string_view item, std::size_t count);

} // namespace pomelohub
