/** \file
 * Defines fake_fleet, a few nodes' worth of the shipped slot, rate and action controllers with a log in
 * memory, time passed in, and faults at their interfaces: crashes, pauses, lost and late messages, a log that
 * is away, clocks of different rates and wrong views of who is alive.
 */
#pragma once

#include "idempotency_store.h"
#include "slot_controller.h"
#include "token_bucket_store.h"
#include "token_leases.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace pomelohub::testing {

struct fake_fleet_options {
    std::size_t nodes = 4;
    double requestsPerSecond = 40;
    std::uint32_t burst = 24;
    duration staleLimit = std::chrono::seconds(30);
    /** Leaves out a safeguard, to show that the check sees it. */
    bool holdersIgnoreStaleLimit = false;
    bool ignoresFence = false;
};

/** One node of the fake fleet. Its clock runs at a rate of its own. */
struct fake_node {
    std::string name;
    incarnation_number life = 1;
    double clockRate = 1;
    bool isRunning = true;
    instant pausedUntil {};
    bool isCutFromLog = false;
    std::size_t logRead = 0;
    std::set<std::size_t> thoughtDead; ///< Other nodes that this one believes gone.
    std::unique_ptr<slot_controller> slots;
    std::unique_ptr<token_bucket_store> rates;
    std::unique_ptr<idempotency_store> actions;
    std::unique_ptr<token_leases> leases;
    std::vector<std::optional<node_incarnation>> knownHolders;

    node_incarnation self() const { return { node_id(name), life }; }
};

class fake_fleet {
public:
    fake_fleet(fake_fleet_options options, std::uint64_t seed);

    /** Does one random thing at a random later time. */
    void step();

    /** Lets \p time pass with all nodes ticking and no new faults. */
    void settle(duration time);

    /** Sends \p count requests of the organisation spread over the nodes within \p time. \return served ones.
     */
    std::size_t offer(std::size_t count, duration time);

    void crash(std::size_t node);
    void restart(std::size_t node);
    void setLogAway(bool isAway) { m_isLogAway = isAway; }
    void addNode();

    /** Keeps \p node from the log alone; it goes on serving, while the others believe it gone. */
    void isolate(std::size_t node);

    /** Whether the requests that were served stayed within rate and burst at all times. */
    bool isWithinRate() const { return m_isWithinRate; }

    /** The most nodes that could use one slot at one time. */
    std::size_t mostHoldersAtOnce() const { return m_mostHolders; }

    /** The most runs of one keyed action. */
    std::size_t mostRuns() const;
    std::size_t servedCount() const { return m_served; }
    std::size_t runCount() const { return m_runs.size(); }

private:
    struct pending_grant {
        std::size_t entry = 0;
        incarnation_number entryLife = 0;
        rate_request request;
        rate_grant grant;
        instant askedLocal {};
        instant arrives {};
    };

    instant local(const fake_node& node) const;
    wall_time wall(const fake_node& node) const;
    bool isUp(const fake_node& node) const;
    bool mayUse(const fake_node& node, slot_index slot) const;
    std::size_t pick(std::size_t bound);
    void start(fake_node& node, bool isFirst);
    void readLog(fake_node& node);
    void noteSlots(fake_node& node);
    void updateMembers(std::size_t node);
    void tick(std::size_t node);
    void append(const std::vector<slot_record>& records);
    void ask(std::size_t entry, bool canFail);
    void deliver();
    bool request(std::size_t entry, bool canFail);
    void act(bool canFail);
    void noteServed();
    void checkHolders();
    void fault();
    std::optional<std::size_t> holderSeenBy(const fake_node& node, slot_index slot) const;

    fake_fleet_options m_options;
    slot_policy m_policy;
    std::mt19937_64 m_random;
    instant m_now { std::chrono::hours(1000) };
    bool m_isLogAway = false;
    std::vector<slot_record> m_log;
    std::vector<std::unique_ptr<fake_node>> m_nodes;
    organisation m_organisation;
    std::vector<pending_grant> m_pending;
    double m_level = 0;
    instant m_levelAt {};
    bool m_isWithinRate = true;
    std::size_t m_mostHolders = 0;
    std::size_t m_served = 0;
    std::vector<std::string> m_keys;
    std::map<std::string, std::size_t> m_runs;
};

/** A version 7 UUID issued at \p time. */
std::string makeIdempotencyKey(wall_time time, std::uint64_t number);

} // namespace pomelohub::testing
