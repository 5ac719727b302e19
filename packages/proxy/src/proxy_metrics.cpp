#include "proxy_metrics.h"

#include <prometheus/text_serializer.h>

namespace pomelohub {

namespace {

    using prometheus::BuildCounter;
    using prometheus::BuildGauge;

    /** Upper bounds of the buckets, from a hop within one machine to the longest timeouts in use. */
    const prometheus::Histogram::BucketBoundaries latencyBoundsSeconds { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
        0.5, 1, 1.5, 2.5, 5, 10 };

} // namespace

proxy_metrics::proxy_metrics()
    : m_responses(BuildCounter()
                      .Name("pomelohub_answers_total")
                      .Help("Answers of backend servers passed on, by status class")
                      .Register(m_registry))
    , m_refusals(BuildCounter()
                     .Name("pomelohub_refusals_total")
                     .Help("Requests answered by the proxy itself, by reason and status")
                     .Register(m_registry))
    , m_attemptFailures(BuildCounter()
                            .Name("pomelohub_attempt_failures_total")
                            .Help("Attempts that brought no answer, by reason")
                            .Register(m_registry))
    , m_events(BuildCounter()
                   .Name("pomelohub_request_events_total")
                   .Help("Retries, hedges and callers that left")
                   .Register(m_registry))
    , m_storeCalls(BuildCounter()
                       .Name("pomelohub_store_calls_total")
                       .Help("Calls to the platform's store, by result")
                       .Register(m_registry))
    , m_configurationTransfers(BuildCounter()
                                   .Name("pomelohub_configuration_transfers_total")
                                   .Help("Operator state received, by source")
                                   .Register(m_registry))
    , m_configurationTransferBytes(BuildCounter()
                                       .Name("pomelohub_configuration_transfer_bytes_total")
                                       .Help("Bytes of operator state received, by source")
                                       .Register(m_registry))
    , m_latency(prometheus::BuildHistogram()
                    .Name("pomelohub_answer_seconds")
                    .Help("Time from the whole request to the answer")
                    .Register(m_registry)
                    .Add({}, latencyBoundsSeconds))
    , m_decodingTime(prometheus::BuildHistogram()
                         .Name("pomelohub_configuration_decode_seconds")
                         .Help("Time to decode a configuration document")
                         .Register(m_registry)
                         .Add({}, latencyBoundsSeconds))
    , m_documentBytes(BuildGauge()
                          .Name("pomelohub_configuration_document_bytes")
                          .Help("Size of the last configuration document that was decoded")
                          .Register(m_registry)
                          .Add({}))
    , m_configurationVersion(BuildGauge()
                                 .Name("pomelohub_configuration_version")
                                 .Help("Version in force at this node")
                                 .Register(m_registry)
                                 .Add({}))
    , m_storeEra(BuildGauge()
                     .Name("pomelohub_store_era")
                     .Help("Highest era known of the store; rises when it comes back from an older copy")
                     .Register(m_registry)
                     .Add({}))
    , m_knownNodes(
          BuildGauge().Name("pomelohub_known_nodes").Help("Nodes known").Register(m_registry).Add({}))
    , m_backendCold(BuildGauge()
                        .Name("pomelohub_backend_cold")
                        .Help("1 while the backend server is believed to be cold")
                        .Register(m_registry)
                        .Add({}))
    , m_droppedLogLines(BuildGauge()
                            .Name("pomelohub_log_lines_dropped")
                            .Help("Log lines that were not written")
                            .Register(m_registry)
                            .Add({}))
{
    auto& heldBytes = BuildGauge()
                          .Name("pomelohub_held_bytes")
                          .Help("Bytes of messages that the process holds, by holder")
                          .Register(m_registry);
    for (std::size_t holder = 0; holder < byteHolderCount; ++holder)
        m_heldBytes.at(holder)
            = &heldBytes.Add({ { "holder", std::string(toText(static_cast<byte_holder>(holder))) } });
}

void proxy_metrics::recordResponse(int status, duration took)
{
    m_responses.Add({ { "class", std::to_string(status / 100) + "xx" } }).Increment();
    m_latency.Observe(std::chrono::duration<double>(took).count());
}

void proxy_metrics::recordRefusal(refusal_reason reason, int status)
{
    m_refusals.Add({ { "reason", std::string(toText(reason)) }, { "status", std::to_string(status) } })
        .Increment();
}

void proxy_metrics::recordAttemptFailure(refusal_reason reason)
{
    m_attemptFailures.Add({ { "reason", std::string(toText(reason)) } }).Increment();
}

void proxy_metrics::recordRetry() { m_events.Add({ { "event", "retry" } }).Increment(); }

void proxy_metrics::recordHedge() { m_events.Add({ { "event", "hedge" } }).Increment(); }

void proxy_metrics::recordCallerDisconnect() { m_events.Add({ { "event", "caller_left" } }).Increment(); }
void proxy_metrics::recordStalledConnection()
{
    m_events.Add({ { "event", "connection_given_up" } }).Increment();
}

void proxy_metrics::recordStoreCall(bool succeeded)
{
    m_storeCalls.Add({ { "result", succeeded ? "answered" : "failed" } }).Increment();
}

void proxy_metrics::recordDecoding(std::size_t documentBytes, duration took)
{
    m_documentBytes.Set(static_cast<double>(documentBytes));
    m_decodingTime.Observe(std::chrono::duration<double>(took).count());
}

void proxy_metrics::recordConfigurationTransfer(std::string_view source, std::size_t bytes)
{
    m_configurationTransfers.Add({ { "source", std::string(source) } }).Increment();
    m_configurationTransferBytes.Add({ { "source", std::string(source) } })
        .Increment(static_cast<double>(bytes));
}

void proxy_metrics::setConfigurationVersion(std::uint64_t version)
{
    m_configurationVersion.Set(static_cast<double>(version));
}

void proxy_metrics::setBackendCold(bool isCold) { m_backendCold.Set(isCold ? 1 : 0); }

void proxy_metrics::setStoreEra(std::uint64_t era) { m_storeEra.Set(static_cast<double>(era)); }

void proxy_metrics::setKnownNodes(std::size_t count) { m_knownNodes.Set(static_cast<double>(count)); }

void proxy_metrics::setDroppedLogLines(std::uint64_t count)
{
    m_droppedLogLines.Set(static_cast<double>(count));
}

void proxy_metrics::setHeldBytes(const memory_account& account)
{
    for (std::size_t holder = 0; holder < byteHolderCount; ++holder)
        m_heldBytes.at(holder)->Set(static_cast<double>(account.heldBytes(static_cast<byte_holder>(holder))));
}

std::string proxy_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace pomelohub
