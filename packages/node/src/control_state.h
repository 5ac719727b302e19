/** \file
 * Defines control_state, which combines the controllers of a node: configuration, membership, slots, rates,
 * keyed actions, ejection. It uses no sockets or threads; the control plane passes input to it and executes
 * its outputs.
 */
#pragma once

#include "action_desk.h"
#include "backend_judge.h"
#include "configuration_codec.h"
#include "confirmation_controller.h"
#include "data_centre_slow_start.h"
#include "decision_history.h"
#include "log_history.h"
#include "member_sync.h"
#include "node_messages.h"
#include "node_settings.h"
#include "readiness_filter.h"
#include "slot_codec.h"
#include "slot_controller.h"
#include "token_leases.h"

namespace pomelohub {

/** Endpoint of each node, read on the request path. */
struct node_directory : ref_counted<node_directory> {
    std::unordered_map<node_id, std::string> endpoints;
};

/** Holder of each slot, read on the request path. */
struct slot_view : ref_counted<slot_view> {
    std::array<std::optional<node_id>, slotCount> holders;
};

/** A record to append to the log. */
struct append_request {
    log_stream stream = log_stream::fleet;
    std::string data;
};

/** Work for the control plane after a tick. */
struct control_outputs {
    std::vector<outgoing_gossip> datagrams;
    std::vector<append_request> appends;
    std::vector<ejection_request> ejections;
    std::optional<peer_address> catchUpFrom; ///< A peer that has read further in the log.
    std::optional<peer_address> membersFrom; ///< A peer whose member records are to be fetched and merged.
};

/** Hooks that control_state calls. */
struct control_hooks {
    random_hook random;
    decision_hook onDecision;
    std::function<void(const std::string& outcome)> recordApplied;
};

/** Thread safety: one thread at a time, except for the members that say otherwise. */
class control_state {
public:
    control_state(const node_settings& settings, node_incarnation self, control_hooks hooks);

    // Request path; thread safety: any thread.
    const configuration_table& table() const { return m_configuration.table(); }
    const rcu_cell<fleet_view>& fleet() const { return m_registry.view(); }
    const rcu_cell<node_directory>& directory() const { return m_directory; }
    const rcu_cell<slot_view>& slots() const { return m_slotView; }
    const data_centre_slow_start& slowStart() const { return m_slowStart; }
    token_leases& leases() { return m_leases; }
    const crash_quarantine& quarantine() const { return m_quarantine; }
    bool noteBackendResponse(request_fingerprint fingerprint, instant now)
    {
        return m_quarantine.noteResponse(fingerprint, now);
    }
    node_readiness readiness(instant now) const;
    std::optional<std::string> endpointOf(const node_id& node) const;
    std::optional<node_id> holderOf(slot_index slot) const;
    const node_incarnation& self() const { return m_self; }

    // Exchange with the log and with peers.
    void applyPage(log_stream stream, const log_page& page, instant requestedAt, const present& now);
    void applyRelayedPage(log_stream stream, const log_page& page, const present& now);
    void applyBootstrapState(const bootstrap_state& state, const present& now);
    bootstrap_state bootstrapState() const;
    std::vector<member_record> memberRecords() const;
    log_page recentRecords(log_stream stream, std::uint64_t from) const;
    std::optional<peer_address> randomPeer() const;
    std::uint64_t nextOffset(log_stream stream) const;
    bool needsBootstrapState(log_stream stream, const log_page& page) const;
    void mergeMembers(const std::vector<member_record>& members, const present& now);
    std::vector<outgoing_gossip> handleGossip(const gossip_message& message, const present& now);
    void join(const std::vector<peer_address>& seeds, const present& now);

    // Periodic work and shutdown.
    control_outputs tick(const present& now);
    control_outputs leave(const present& now);

    // Authority for slots that this node holds. Responses are immediate, except for keyed actions still
    // running.
    result<rate_grant> grant(const rate_request& request, instant now);
    result<ejection_permit> permit(const ejection_request& request, instant now);
    void applyPermit(const ejection_permit& permit, instant requestedAt, const present& now)
    {
        m_judge.applyPermit(permit, requestedAt, now);
    }
    action_desk& actions() { return m_actions; }

    // Quarantine of requests that crash backend servers.
    void recordBackendCrash(request_fingerprint fingerprint, const backend_server_id& backend,
        instant startedAt, const std::string& subject, const present& now);
    void recordBackendResponse(request_fingerprint fingerprint, const present& now)
    {
        m_quarantine.recordResponse(fingerprint, now.monotonic);
    }

    // Backend servers of this instance, and decisions.
    void setBackends(std::vector<announced_backend> backends);
    void addDecision(decision made) { m_decisionHistory.add(std::move(made)); }

    // Admin interface.
    const membership& members() const { return m_members; }
    const configuration_controller& configuration() const { return m_configuration; }
    const slot_controller& slotControl() const { return m_slots; }
    const decision_history& decisionHistory() const { return m_decisionHistory; }
    const token_bucket_store& rates() const { return m_rates; }
    const backend_registry& registry() const { return m_registry; }
    /** The offset before which every record is applied at every live member. */
    std::uint64_t inForceOffset() const { return m_inForce; }
    std::optional<record_outcome> outcomeAt(std::uint64_t offset) const;
    std::chrono::milliseconds logStaleness(instant now) const;

private:
    void addNotices(std::vector<outgoing_gossip>& datagrams, instant now);
    void handleMemberChange(const member_record& record);
    void publishMembers();
    void publishSlots(const present& now);
    void applyConfiguration(const log_page& page, const present& now);
    void applyFleet(const log_page& page, const present& now);
    void startNewSlots(const present& now);
    log_cursors cursors(instant now) const;
    void updateSlotMembers();
    void appendSlotRecords(control_outputs& out, std::vector<slot_record> records) const;
    void announceJoin(control_outputs& out, instant now);
    void report(std::vector<outgoing_gossip>& datagrams, const present& now);
    void publishConfirmedOffset(std::vector<outgoing_gossip>& datagrams, const present& now);
    void announceInForce(std::vector<outgoing_gossip>& datagrams, const present& now);
    void syncMembers(control_outputs& out, instant now);
    void evaluateBackends(control_outputs& out, const present& now);
    void restateConfiguration(control_outputs& out, const present& now);
    void updateSlowStart(const present& now);
    void recordDecision(const present& now, std::string subject, std::string stage, std::string outcome,
        std::string reason) const;

    const node_settings& m_settings;
    node_incarnation m_self;
    control_hooks m_hooks;
    configuration_controller m_configuration;
    membership m_members;
    member_sync m_memberSync;
    slot_controller m_slots;
    token_bucket_store m_rates;
    action_desk m_actions;
    ejection_budget m_ejection;
    confirmation_controller m_confirmations;
    data_centre_slow_start m_slowStart;
    backend_registry m_registry;
    backend_judge m_judge;
    token_leases m_leases;
    crash_quarantine m_quarantine;
    decision_history m_decisionHistory;
    rcu_cell<node_directory> m_directory;
    rcu_cell<slot_view> m_slotView;
    log_history m_history;
    std::array<std::uint64_t, 2> m_nextOffsets {};
    std::map<std::uint64_t, record_outcome> m_outcomes;
    std::vector<std::optional<node_incarnation>> m_knownHolders;
    std::optional<peer_address> m_peerAhead; ///< A peer that had read further at m_peerAheadSince.
    instant m_peerAheadSince {};
    bool m_hasJoined = false; ///< The join record of this incarnation was read back from the log.
    instant m_nextEvaluation {};
    instant m_nextReport {};
    instant m_nextSlotTick {};
    instant m_nextRestatement {};
    instant m_nextJoin {};
    instant m_nextTrim {};
    instant m_nextDemandWindow {};
    std::set<data_centre_id> m_dataCentres; ///< Data centres of live members.
    node_incarnation m_collector; ///< Collector of the offset reports of this data centre.
    std::uint64_t m_inForce = 0;
    std::uint64_t m_announcedInForce = 0;
    std::size_t m_restateShard = 0;
    bool m_membersChanged = true;
    bool m_isLeaving = false;
    std::atomic<bool> m_hasConfiguration { false };
    std::atomic<instant> m_lastLogContact { instant {} };
    std::atomic<instant> m_lastPeerContact { instant {} };
};

} // namespace pomelohub
