/** \file
 * Defines control_loop, which keeps this node's view of the fleet current: it follows the operators' log,
 * makes the node known, and exchanges news with other nodes so that one that is cut off from the store stays
 * current.
 */
#pragma once

#include "event_log.h"
#include "fleet_store.h"
#include "gossip.h"
#include "peer_choice.h"
#include "proxy_metrics.h"

#include <asio.hpp>

namespace pomelohub {

struct control_policy {
    duration followWait = std::chrono::seconds(25); ///< Longest wait of most calls that follow the log.
    /** So many nodes of the fleet, drawn anew with each call, wait for a short time only: where a slow store
     * has not woken those that wait, one of them reads the change in time for gossip. */
    double earlyReaders = 7;
    duration shortestEarlyWait = std::chrono::seconds(1);
    duration longestEarlyWait = std::chrono::seconds(3);
    duration longestChangePause
        = std::chrono::milliseconds(400); ///< After a change, so that one call brings those that follow it.
    duration firstRetry = std::chrono::milliseconds(100); ///< After a call failed; doubles up to the next.
    duration longestRetry = std::chrono::seconds(1);
    duration gossipInterval = std::chrono::milliseconds(500);
    std::size_t gossipPeers = 2; ///< Asked in each interval; news reach n nodes in about log3(n) intervals.
    duration gossipTimeout = std::chrono::milliseconds(800);
    duration firstListInterval
        = std::chrono::milliseconds(1500); ///< After the first read of all announcements;
    duration listInterval = std::chrono::seconds(60); ///< later ones only mend what news between nodes lost.
};

/** Thread safety: the thread of its execution context, but for the hooks named otherwise. */
class control_loop {
public:
    struct hooks {
        clock_hook clock;
        choice_random_hook random;
        /** Sends \p message to the node at \p endpoint and calls back on the control thread. */
        std::function<void(const std::string& endpoint, peer_message message, duration timeout,
            std::function<void(std::optional<peer_message>)>)>
            ask;
    };

    control_loop(asio::io_context& context, instance_announcement self, std::vector<std::string> seeds,
        fleet_controller& controller, crash_quarantine& quarantine, fleet_store store, control_policy policy,
        event_log& log, proxy_metrics& metrics, hooks hooks);

    void start();

    /** The answer to another node's question. */
    std::optional<peer_message> answer(const peer_message& question);

    /** Makes known that this node stops, and calls \p done when that is told or cannot be. */
    void leave(std::function<void()> done);

    void setSeeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }

private:
    void readOperators();
    void follow();
    void followAfterPause();
    duration nextFollowWait();
    duration drawBetween(duration shortest, duration longest);
    void announce();
    void readAnnouncements();
    void gossip();
    void gossipWith(const std::string& endpoint);
    void takeNews(const gossip_news& news, const std::string& source);
    gossip_news makeNews(const gossip_news* about) const;
    std::vector<std::string> gossipTargets();
    void retryLater(asio::steady_timer& timer, duration& delay, std::function<void()> what);
    void noteStore(bool isAnswered, std::string_view call);

    instance_announcement m_self;
    std::vector<std::string> m_seeds;
    fleet_controller& m_controller;
    crash_quarantine& m_quarantine;
    fleet_store m_store;
    control_policy m_policy;
    event_log& m_log;
    proxy_metrics& m_metrics;
    hooks m_hooks;
    asio::steady_timer m_followTimer;
    asio::steady_timer m_announceTimer;
    asio::steady_timer m_listTimer;
    asio::steady_timer m_gossipTimer;
    duration m_followDelay;
    duration m_announceDelay;
    duration m_listDelay;
    bool m_isStoreLost = false;
};

} // namespace pomelohub
