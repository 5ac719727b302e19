/** \file
 * Defines control_loop, which keeps this node's view of the fleet up to date. It long-polls the operators'
 * log in the metadata store, announces the node there, and exchanges state with other nodes by gossip, so
 * that a node that cannot reach the store still receives updates.
 */
#pragma once

#include "event_log.h"
#include "fleet_store.h"
#include "gossip.h"
#include "gossip_partners.h"
#include "interrupted_request.h"
#include "log_reader_duty.h"
#include "one_shot_timer.h"
#include "peer_choice.h"
#include "proxy_metrics.h"

#include <asio.hpp>

namespace pomelohub {

struct control_policy {
    log_reader_policy logReaders;
    /** Waits of the long polls of the operators' log are drawn from this range. They are short because a slow
     * store may not wake a poll after a change; the next poll then reads it. */
    duration minPollTimeout = std::chrono::seconds(1);
    duration maxPollTimeout = std::chrono::seconds(3);
    duration maxPollDelayAfterChange
        = std::chrono::milliseconds(400); ///< Upper bound; lets one poll return several changes in a row.
    duration initialRetryDelay
        = std::chrono::milliseconds(100); ///< Doubles with each failure, up to maxRetryDelay.
    duration maxRetryDelay = std::chrono::seconds(1);
    duration gossipInterval = std::chrono::milliseconds(500);
    std::size_t gossipFanout = 2; ///< Peers contacted per interval: a reader of the log and partners.
    /** Peers that are told at once of new operator state and of crashes, here and in other data centres. Each
     * of them tells as many, so that a change reaches n nodes in about log4(n) steps. */
    std::size_t localSpreadFanout = 3;
    std::size_t remoteSpreadFanout = 1;
    duration gossipTimeout = std::chrono::milliseconds(800);
    gossip_partner_policy partners;
    /** For this long after its start, and when it leaves, a node adds its announcement to each message. Later
     * the fingerprints of the tables show who lacks it. */
    duration introductionTime = std::chrono::seconds(3);
    /** A starting node learns from the list of announcements whether it is a reader of the log. If the list
     * has not come after a time that is drawn from this range, it goes by the nodes that it knows. The store
     * appends the announcements of nodes that start together one at a time. */
    duration minListWait = std::chrono::milliseconds(1500);
    duration maxListWait = std::chrono::milliseconds(2500);
    /** A starting node does not ask peers for the whole document while the store may still send it. */
    duration firstReadTimeout = std::chrono::seconds(2);
    /** Between reads of all announcements by a node that knows no other. */
    duration lonelyListInterval = std::chrono::milliseconds(1500);
    /** Between reads of all announcements by the readers of the log, which only repair what gossip has
     * missed. */
    duration listInterval = std::chrono::seconds(60);
    /** After the store has come back from an older copy of itself, each node announces itself again, at a
     * time that is drawn from this, multiplied by the number of nodes, so that they do not write all at once.
     */
    duration announcementSpacing = std::chrono::milliseconds(10);
    duration minAnnouncementSpread = std::chrono::seconds(1);
    /** How long after that operators have to write again what the store has lost. Until then, evacuations
     * stay as they were; later, the store's state counts. */
    duration settlingTime = std::chrono::seconds(60);
    /** From a change of the announcements to the snapshot that contains it and others that came meanwhile. */
    duration publicationDelay = std::chrono::milliseconds(50);
};

/** Thread safety: only used on the thread of its execution context; hooks are called there, too. */
class control_loop {
public:
    struct hooks {
        clock_hook clock;
        choice_random_hook random;
        /** Sends \p message to the node at \p endpoint. The callback runs on the control thread and gets the
         * response, or nothing on failure or timeout. */
        std::function<void(const std::string& endpoint, peer_message message, duration timeout,
            std::function<void(std::optional<peer_message>)>)>
            sendRequest;
    };

    control_loop(asio::io_context& context, instance_announcement self, std::vector<std::string> seeds,
        fleet_controller& controller, crash_quarantine& quarantine, fleet_store store, control_policy policy,
        event_log& log, proxy_metrics& metrics, hooks hooks);

    /** Starts polling the store, announcing this node, and gossip. */
    void start();

    /** Processes a gossip request from another node. \return the response, or nothing if it can't be decoded.
     */
    std::optional<peer_message> handleGossip(const peer_message& request);

    /** Records that the backend server beside this node has crashed and interrupted these requests, and tells
     * some peers at once. */
    void recordCrash(const std::vector<interrupted_request>& interrupted);

    /** Records that the backend server beside this node has answered a request that was suspect. */
    void recordResponse(request_fingerprint fingerprint);

    /** Announces to peers and the store that this node is leaving the fleet. Calls \p done when the store has
     * accepted the announcement or the call has failed. */
    void leave(std::function<void()> done);

    /** Replaces the endpoints that are contacted while no other node is known. */
    void setSeeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }

private:
    void readOperatorState();
    void applySnapshot(const operator_snapshot& snapshot, instant startedAt);
    void recordEra(store_era era, std::string_view source);
    bool isSettlingDue(instant now);
    operator_summary summaryOf(const gossip_update& update) const;
    void followLater();
    void startFollowing();
    void learnFirstState();
    void scheduleNextList(bool hasSucceeded);
    void updateMembers();
    bool isLogReader() const { return m_readerDuty.startsAt() == instant::min(); }
    void pollOperatorLog();
    void pollAfterDelay();
    duration randomDuration(duration min, duration max);
    void announce();
    void announceAgainLater();
    void readAnnouncements();
    void gossip();
    void gossipWith(const std::string& endpoint);
    void exchangeAnnouncements(
        const std::string& endpoint, const announcement_table::part_fingerprints& other);
    void requestOperatorState(const std::string& endpoint);
    void spreadState();
    void applyGossip(const gossip_update& update);
    void logQuarantineChanges(const quarantine_changes& changes, const node_id& source);
    void applyTransfer(std::string_view bytes, const std::string& source, instant startedAt);
    gossip_update makeGossip(const gossip_update* request);
    const std::string& encodedTransfer(const gossip_update& request);
    std::optional<std::string> transferredDocument(operator_transfer& transfer) const;
    std::vector<std::string> selectGossipPeers();
    std::vector<std::string> selectEndpoints(const std::vector<std::string>& candidates, std::size_t count);
    void mergeAnnouncements(const std::vector<instance_announcement>& updates);
    bool isFollowingLog() const { return m_isPolling && !m_isReadingState && !m_isStoreUnavailable; }
    void scheduleRetry(one_shot_timer& timer, duration& delay, std::function<void()> operation);
    void updateStoreStatus(bool hasSucceeded, std::string_view call);
    void recordTransfer(std::string_view source, std::size_t bytes, instant startedAt);

    instance_announcement m_self;
    std::vector<std::string> m_seeds;
    fleet_controller& m_controller;
    crash_quarantine& m_quarantine;
    fleet_store m_store;
    control_policy m_policy;
    event_log& m_log;
    proxy_metrics& m_metrics;
    hooks m_hooks;
    one_shot_timer m_pollTimer;
    one_shot_timer m_announceTimer;
    one_shot_timer m_listTimer;
    one_shot_timer m_gossipTimer;
    one_shot_timer m_publicationTimer;
    duration m_pollRetryDelay;
    duration m_announceRetryDelay;
    struct {
        log_position position;
        document_fingerprint document = 0;
        std::uint64_t evacuations = 0;
        document_fingerprint base = 0;
        bool hasDocument = false;
        std::string bytes;
    } m_lastTransfer; ///< Encoded; most nodes that are behind have the same document.
    log_reader_duty m_readerDuty;
    gossip_partners m_partners;
    /** Endpoints of the other nodes in this data centre and elsewhere, and of the readers of the log here. */
    std::vector<std::string> m_localEndpoints;
    std::vector<std::string> m_remoteEndpoints;
    std::vector<std::string> m_readerEndpoints;
    instant m_startedAt {};
    store_era m_era = 0; ///< The highest one known of the store, from its answers or from peers.
    std::optional<instant> m_unsettledSince;
    bool m_isStoreUnavailable = false;
    bool m_isAnnouncing = false; ///< A call that announces this node is pending.
    bool m_isAnnouncementDue = false; ///< The pending call may be lost with the era in which it was made.
    bool m_hasAnnounced = false;
    bool m_isSnapshotDue = false; ///< The store's era has changed since the last read of the whole state.
    bool m_hasFirstReadFailed = false;
    bool m_hasStartedFollowing = false;
    bool m_hasReadAnnouncements = false;
    bool m_hasReadState = false; ///< The whole operator state was read from the store once.
    bool m_isReadingState = false; ///< A read of the whole operator state from the store is pending.
    bool m_isPublicationScheduled = false;
    bool m_isPolling = false; ///< Reads the log itself, rather than learning of changes from peers.
    bool m_isTransferring = false; ///< A request for operator state is pending; there is one at a time.
};

} // namespace pomelohub
