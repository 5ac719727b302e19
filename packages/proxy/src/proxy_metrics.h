/** \file
 * Defines proxy_metrics, the Prometheus metrics of a node. The number of time series is bounded: no label has
 * values that depend on organisations, routes or requests.
 */
#pragma once

#include "memory_account.h"
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
    void recordStalledConnection();
    void recordStoreCall(bool succeeded);
    /** Records the decoding of a configuration document, valid or not. */
    void recordDecoding(std::size_t documentBytes, duration took);
    /** Records operator state received by one way. \param source names the way, from a fixed set. */
    void recordConfigurationTransfer(std::string_view source, std::size_t bytes);
    void setConfigurationVersion(std::uint64_t version);
    void setStoreEra(std::uint64_t era);
    void setKnownNodes(std::size_t count);
    void setBackendCold(bool isCold);
    void setDroppedLogLines(std::uint64_t count);
    void setHeldBytes(const memory_account& account);

    /** All metrics in the Prometheus text format. */
    std::string text() const;

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_responses;
    prometheus::Family<prometheus::Counter>& m_refusals;
    prometheus::Family<prometheus::Counter>& m_attemptFailures;
    prometheus::Family<prometheus::Counter>& m_events;
    prometheus::Family<prometheus::Counter>& m_storeCalls;
    prometheus::Family<prometheus::Counter>& m_configurationTransfers;
    prometheus::Family<prometheus::Counter>& m_configurationTransferBytes;
    prometheus::Histogram& m_latency;
    prometheus::Histogram& m_decodingTime;
    prometheus::Gauge& m_documentBytes;
    prometheus::Gauge& m_configurationVersion;
    prometheus::Gauge& m_storeEra;
    prometheus::Gauge& m_knownNodes;
    prometheus::Gauge& m_backendCold;
    prometheus::Gauge& m_droppedLogLines;
    std::array<prometheus::Gauge*, byteHolderCount> m_heldBytes {};
};

} // namespace pomelohub
