/** \file
 * Defines peer_state, what this node knows of another node and its backend server, and fleet_snapshot, the
 * view of the whole fleet that requests read.
 */
#pragma once

#include "instance_announcement.h"
#include "routing_table.h"

#include <optional>
#include <set>

namespace pomelohub {

/** The load and health of a backend server, which its sidecar node reports with each reply. */
struct backend_report {
    std::uint32_t inUse = 0; ///< Requests that hold a slot.
    std::uint32_t waiting = 0; ///< Requests in the queue.
    std::uint32_t slots = 0;
    duration meanLatency {};
    double failureRisk = 0; ///< Probability that it fails the next request, though a sound server would not.
    bool isCold = false;
    bool isSuspect = false; ///< Its last outcomes show that it fails requests.
    double observedFailureRatio = 0; ///< Moving average over many of its requests.
    bool operator==(const backend_report&) const = default;
};

/** Thread safety: any thread; the announcement is immutable, all else atomic. */
struct peer_state : ref_counted<peer_state> {
    explicit peer_state(instance_announcement announced)
        : announcement(std::move(announced))
    {
    }

    /** Stores \p report, received at \p now. */
    void applyReport(const backend_report& report, instant now);

    /** Keeps requests away until \p until, or until the time set before if that is later. */
    void avoidUntil(instant until);

    bool isAvoided(instant now) const { return now < m_avoidedUntil.load(std::memory_order_relaxed); }

    /** Offers no trial to the backend server before \p nextTrial, since its sidecar node has refused a
     * request for the server's failures. */
    void deferTrial(instant nextTrial);

    /** Whether the backend server is due for a trial by a request that may be retried. */
    bool isTrialDue(instant now) const;

    /** Probability that a request which is sent at \p now fails there, as last reported. It decays with the
     * age of the report, since gray failures last for seconds. */
    double failureRisk(instant now) const;

    /** Whether the last report of a risk is so old that a request that must run once may be a trial. */
    bool isRiskOutdated(instant now) const;

    /** Mean latency of requests there, as last reported. A latency above the default decays towards it with
     * the age of the report, so that a server that was slow is tried again. */
    duration meanLatency(instant now) const;

    /** Estimated response time of a request that is sent at \p now, including the wait for a slot, if
     * requests take \p mean. */
    duration estimatedResponseTime(duration mean, instant now) const;
    duration estimatedResponseTime(instant now) const { return estimatedResponseTime(meanLatency(now), now); }

    /** Moving average over many requests there, as last reported; nothing if there was no report. */
    std::optional<double> observedFailureRatio() const;

    const instance_announcement announcement;
    std::atomic<std::uint32_t> inFlight { 0 }; ///< Requests that this node has sent there.
    std::atomic<bool> isUnresponsive { false }; ///< The connection to it does not respond in time.

private:
    /** Running and waiting requests of other nodes, as last reported. */
    std::atomic<std::uint32_t> m_otherLoad { 0 };
    std::atomic<std::uint32_t> m_slots { 0 };
    std::atomic<duration> m_meanLatency { duration::zero() };
    std::atomic<double> m_failureRisk { 0 };
    std::atomic<double> m_observedFailureRatio { 0 };
    std::atomic<instant> m_reportedAt { instant {} };
    std::atomic<instant> m_avoidedUntil { instant {} };
    std::atomic<instant> m_nextTrialAt { instant {} };
};

/** A node and its address. */
struct fleet_node {
    node_id id;
    std::string endpoint;
};

/** All shared state that the processing of a request reads, published as one immutable value. */
struct fleet_snapshot : ref_counted<fleet_snapshot> {
    handle<const routing_table> routes;
    /** The nodes of each service, in the same order on all nodes. */
    std::unordered_map<service_id, std::vector<handle<peer_state>>> services;
    std::set<data_centre_id> evacuated; ///< Data centres that get no new requests.
    std::vector<fleet_node> nodes;
};

/** The owner of \p item and its successors by rendezvous hashing, the same on all nodes that know the same
 * fleet. A node takes over ownership while those before it cannot be reached. \param count maximum number of
 * nodes to return. Thread safety: any thread. */
std::vector<fleet_node> ownersOf(const fleet_snapshot& snapshot, std::string_view item, std::size_t count);

} // namespace pomelohub
