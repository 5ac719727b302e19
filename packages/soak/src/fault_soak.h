/** \file
 * Defines fault_soak, which plays the faults of one seed on a fleet of real node processes.
 */
#pragma once

#include "emulated_store.h"
#include "soak_caller.h"
#include "soak_instance.h"

namespace pomelohub {

struct soak_settings {
    std::uint64_t seed = 1;
    schedule_policy schedule;
    std::size_t callersPerNode = 6;
    std::string program; ///< Path of the node's program.
    std::string directory; ///< For settings and logs; it exists.
};

struct soak_report {
    std::optional<std::string> startError; ///< If set, nothing was played.
    std::vector<planned_fault> faults;
    std::vector<breach> breaches;
    instant startedAt {}; ///< Of the traffic.
    std::size_t sent = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t missing = 0;
};

/** Plays one seed: starts the fleet, lets callers send while faults come and go, ends all faults, and checks
 * that the fleet serves again. Thread safety: one thread. */
class fault_soak {
public:
    fault_soak(soak_settings settings, clock_hook clock);
    ~fault_soak();
    fault_soak(const fault_soak&) = delete;
    fault_soak& operator=(const fault_soak&) = delete;

    soak_report run();

private:
    std::optional<std::string> startFleet();
    std::optional<std::string> startInstance(std::size_t number);
    void startCallers();
    void configure();
    void play(const planned_fault& fault);
    void playOnStore(store_behaviour behaviour, duration length);
    void restoreStore(duration copyAge);
    void after(duration time, std::function<void()> action);
    void checkProcesses();
    promise_checker::request makeRequest(std::size_t node, std::string_view service, instant now);
    void endFaults();
    void checkRecovery();
    std::vector<std::string> stateProblems(const soak_instance& instance);
    bool areAllServed();
    bool serves(const soak_instance& instance, std::string_view service);
    http_call_result call(const asio::ip::tcp::endpoint& server, const http_message& request);
    bool runUntil(const std::function<bool()>& condition, duration limit);

    soak_settings m_settings;
    clock_hook m_clock;
    asio::io_context m_context;
    promise_checker m_checker;
    std::vector<std::unique_ptr<soak_instance>> m_instances;
    emulated_store m_store;
    asio::ip::tcp::endpoint m_storeAddress;
    std::vector<std::unique_ptr<soak_caller>> m_callers;
    std::vector<std::unique_ptr<one_shot_timer>> m_timers;
    one_shot_timer m_processTimer;
    std::vector<promise_checker::disturbance> m_disturbances;
    std::mt19937_64 m_random;
    std::uint64_t m_lastRequest = 0;
    int m_configurationVersion = 0;
    std::string m_configuration; ///< The newest one.
    store_behaviour m_storeBehaviour = store_behaviour::normal;
    std::size_t m_storeFaults = 0; ///< That have not ended.
};

} // namespace pomelohub
