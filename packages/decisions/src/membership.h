/** \file
 * Defines membership, the failure detector and gossip of member records, after the SWIM protocol: each
 * interval a node probes one random member, and membership updates are piggybacked on the probes, so that the
 * cost for a node does not grow with the size of the fleet.
 */
#pragma once

#include "crash_quarantine.h"
#include "fleet_view.h"
#include "load_balancer.h"

#include <map>
#include <optional>
#include <vector>

namespace pomelohub {

enum class member_status {
    alive,
    suspect,
    dead,
    left,
};

std::string_view toText(member_status status);

/** Whether a member with \p status counts as live and takes part in placement; a suspect member does. */
constexpr bool isActive(member_status status)
{
    return status == member_status::alive || status == member_status::suspect;
}

/** A backend server co-located with a member, as announced by the member. */
struct announced_backend {
    backend_server_id id;
    service_id service;
    std::uint32_t slots = 1; ///< Number of requests that it processes concurrently.
    backend_condition condition = backend_condition::cold;
    bool operator==(const announced_backend&) const = default;
};

/** State of one member. Of two records of a member, the one with the higher (life, revision, status) is
 * newer. */
struct member_record {
    node_incarnation life;
    data_centre_id dataCentre;
    std::string endpoint; ///< Address and port for datagrams and streams between nodes.
    member_status status = member_status::alive;
    std::uint64_t revision = 0; ///< Incremented only by the member itself.
    /** If the member is the collector of its data centre: the lowest configuration offset there. */
    std::uint64_t confirmedOffset = 0;
    std::vector<announced_backend> backends;
};

/** How far a node has read the streams of the log. */
struct log_cursors {
    std::uint64_t configuration = 0; ///< Next offset of the configuration stream.
    std::uint64_t fleet = 0; ///< Next offset of the fleet stream.
    /** Time since the node was last known to have read the fleet stream to its end. */
    std::chrono::milliseconds staleness { 0 };
    std::uint64_t inForceOffset = 0; ///< Offset before which every record is applied at every live member.
};

enum class gossip_kind {
    probe,
    acknowledgement,
    probeRequest, ///< Indirect probe: asks the receiver to probe \c target.
    report, ///< Carries the sender's cursors to or from a collector; not acknowledged.
};

/** One gossip datagram. */
struct gossip_message {
    gossip_kind kind = gossip_kind::probe;
    std::uint64_t sequence = 0;
    node_incarnation from;
    std::string fromEndpoint;
    node_id target;
    std::string targetEndpoint;
    log_cursors cursors;
    std::uint64_t viewDigest = 0; ///< Equal if two nodes have the same member records.
    std::vector<member_record> updates; ///< Piggybacked membership updates.
    std::vector<crash_notice> crashes;
};

/** A datagram and the endpoint to send it to. */
struct outgoing_gossip {
    std::string endpoint;
    gossip_message message;
};

struct membership_policy {
    duration probeInterval = std::chrono::milliseconds(500);
    duration probeTimeout = std::chrono::milliseconds(200);
    duration suspicionTimeout = std::chrono::seconds(2);
    /** Retention of the records of dead and departed members. */
    duration deadMemberRetention = std::chrono::hours(1);
    std::size_t indirectProbes = 3; ///< Members asked to probe one that did not answer in time.
    std::size_t maxUpdateBytes = 1000; ///< Maximum estimated bytes of updates in one datagram.
    /** Each update is sent retransmitFactor * log2(members + 1) times, rounded up. */
    double retransmitFactor = 2;
};

/** Owns the member list of this node. Thread safety: one thread at a time. */
class membership {
public:
    using change_hook = std::function<void(const member_record&)>;

    /** \param changed is called for each record that changes, except that of this node. */
    membership(member_record self, membership_policy policy, random_hook random, change_hook changed);

    /** Runs the timers that are due at \p now: probes, indirect probes, suspicion and removal of old records.
     * Call at least four times per probe timeout. \return the datagrams to send. */
    std::vector<outgoing_gossip> tick(const log_cursors& cursors, instant now);

    /** Processes \p message. \return the datagrams to send in response. */
    std::vector<outgoing_gossip> receive(
        const gossip_message& message, const log_cursors& cursors, instant now);

    /** Merges records from a full sync or from the log. They are not gossiped further, because other nodes
     * have the same sources. */
    void merge(const std::vector<member_record>& records, instant now);

    /** Modifies the record of this node, increments its revision and gossips it. */
    void updateSelf(const std::function<void(member_record&)>& change);

    /** A report of the cursors of this node to \p endpoint. \param isSelfIncluded whether to include the
     * record of this node. */
    outgoing_gossip makeReport(
        const std::string& endpoint, const log_cursors& cursors, bool isSelfIncluded) const;

    /** Marks this node as left. \return datagrams that inform some members immediately. */
    std::vector<outgoing_gossip> leave(const log_cursors& cursors);

    const member_record& self() const { return m_self; }
    const std::map<node_id, member_record>& others() const { return m_others; }

    /** All records, including that of this node. The pointers are valid until the next change. */
    std::vector<const member_record*> all() const;

    /** Digest of all records. If the digests of two nodes stay different, one of them has missed updates. */
    std::uint64_t viewDigest() const;

    /** Number of live members, including this node. */
    std::size_t liveCount() const;

    /** The time at which this node sent the probe that \p answer acknowledges; std::nullopt if it
     * acknowledges no pending probe. The content of \p answer is at least as recent as that time, whereas a
     * datagram by itself may have been delayed for any time. Call before receive(), which completes the
     * probe. */
    std::optional<instant> probeSentAt(const gossip_message& answer) const;

private:
    struct pending_probe {
        node_id target;
        std::uint64_t sequence = 0;
        instant sentAt {};
        bool isIndirectSent = false;
    };
    struct relayed_probe {
        std::string requesterEndpoint;
        std::uint64_t requesterSequence = 0;
        instant sentAt {};
    };
    struct pending_update {
        node_id node;
        std::size_t transmissions = 0;
    };

    gossip_message makeMessage(gossip_kind kind, std::uint64_t sequence, const log_cursors& cursors);
    std::vector<member_record> selectUpdates();
    bool mergeRecord(const member_record& record, instant now);
    void mergeAndEnqueue(const member_record& record, instant now);
    void refute(const member_record& record);
    void enqueueUpdate(const node_id& node);
    std::size_t maxTransmissions() const;
    void checkProbes(std::vector<outgoing_gossip>& out, const log_cursors& cursors, instant now);
    void sendIndirectProbes(
        std::vector<outgoing_gossip>& out, const pending_probe& probe, const log_cursors& cursors);
    void startProbe(std::vector<outgoing_gossip>& out, const log_cursors& cursors, instant now);
    void probeDeadMember(std::vector<outgoing_gossip>& out, const log_cursors& cursors);
    void suspectMember(const node_id& node, instant now);
    void expireSuspects(instant now);
    std::optional<node_id> nextTarget();
    void handleAcknowledgement(
        const gossip_message& message, std::vector<outgoing_gossip>& out, const log_cursors& cursors);

    member_record m_self;
    membership_policy m_policy;
    random_hook m_random;
    change_hook m_changed;
    std::map<node_id, member_record> m_others;
    std::map<node_id, instant> m_statusSince;
    std::uint64_t m_othersDigest = 0;
    std::vector<pending_update> m_pendingUpdates;
    std::vector<node_id> m_probeQueue; ///< Members not yet probed in this round, in random order.
    std::vector<pending_probe> m_probes;
    std::map<std::uint64_t, relayed_probe> m_relayedProbes;
    std::uint64_t m_sequence = 0;
    instant m_nextProbe {};
};

} // namespace pomelohub
