/** \file
 * Defines proxy_metrics, the Prometheus metrics of a node. The number of time series is bounded: no label has
 * values that depend on organisations, routes or requests.
 */
#pragma once

#include "request_error.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>

namespace pomelohub {

/** Thread safety: any thread. */
class proxy_metrics {
public:
    proxy_metrics();

    void recordResponse(int status, duration took);
    void recordRefusal(refusal_reason reason, int status);
    void recordAttemptFailure(refusal_reason reason);
    void recordRetry();
    void recordHedge();
    void recordCallerDisconnect();
    void recordStoreCall(bool succeeded);
    void setConfigurationVersion(std::uint64_t version);
    void setKnownNodes(std::size_t count);
    void setDroppedLogLines(std::uint64_t count);

    /** All metrics in the Prometheus text format. */
    std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_responses;
    prometheus::Family<prometheus::Counter>& m_refusals;
    prometheus::Family<prometheus::Counter>& m_attemptFailures;
    prometheus::Family<prometheus::Counter>& m_events;
    prometheus::Family<prometheus::Counter>& m_storeCalls;
    prometheus::Histogram& m_latency;
    prometheus::Gauge& m_configurationVersion;
    prometheus::Gauge& m_knownNodes;
    prometheus::Gauge& m_droppedLogLines;
};

} // namespace pomelohub
