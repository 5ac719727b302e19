/** \file
 * Defines node_metrics, the counters and latency quantiles of a node in the Prometheus text format.
 */
#pragma once

#include "core_types.h"
#include "request_error.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <memory>
#include <mutex>

namespace pomelohub {

/** Estimates latency quantiles over all samples with Boost.Accumulators. Thread safety: any thread. */
class latency_quantiles {
public:
    latency_quantiles();
    ~latency_quantiles();
    void add(duration sample);

    /** \return the estimate for \p probability (0.5, 0.9 or 0.99) in seconds, or 0 with too few samples. */
    double quantile(double probability) const;

private:
    struct accumulators;
    mutable std::mutex m_mutex;
    std::unique_ptr<accumulators> m_accumulators;
};

/** Gauge values, read when the metrics are scraped. */
struct gauge_readings {
    double members = 0;
    double configurationOffset = 0;
    double inForceOffset = 0;
    double slotsHeld = 0;
    double rateBuckets = 0;
    double keyedActions = 0;
    double callerConnections = 0;
    double peerSessions = 0;
};

/** Thread safety: any thread. */
class node_metrics {
public:
    node_metrics();

    void countResponse(int status, duration latency);
    void countRefusal(refusal_reason reason);
    void countRetry() { m_retries.Increment(); }
    void countBadInput(const std::string& listener);
    void countControlBytes(std::size_t sent, std::size_t received);
    void countRecord(const std::string& outcome);

    std::string expose(const gauge_readings& readings);

private:
    void setGauges(const gauge_readings& readings);

    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_responses;
    prometheus::Family<prometheus::Counter>& m_refusals;
    prometheus::Family<prometheus::Counter>& m_badInput;
    prometheus::Family<prometheus::Counter>& m_controlBytes;
    prometheus::Family<prometheus::Counter>& m_records;
    prometheus::Family<prometheus::Gauge>& m_gauges;
    prometheus::Family<prometheus::Gauge>& m_latencyFamily;
    prometheus::Counter& m_retries;
    latency_quantiles m_latency;
};

} // namespace pomelohub
