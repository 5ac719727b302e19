#include "node_metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <prometheus/text_serializer.h>

#include <array>

namespace pomelohub {

namespace acc = boost::accumulators;

static constexpr std::array quantiles { 0.5, 0.9, 0.99 };

struct latency_quantiles::accumulators {
    using set = acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square_quantile>>;
    set samples { acc::extended_p_square_probabilities = quantiles };
};

latency_quantiles::latency_quantiles()
    : m_accumulators(std::make_unique<accumulators>())
{
}

latency_quantiles::~latency_quantiles() = default;

void latency_quantiles::add(duration sample)
{
    std::lock_guard lock(m_mutex);
    m_accumulators->samples(std::chrono::duration<double>(sample).count());
}

double latency_quantiles::quantile(double probability) const
{
    std::lock_guard lock(m_mutex);
    if (acc::count(m_accumulators->samples) < quantiles.size() + 2)
        return 0;
    return acc::quantile(m_accumulators->samples, acc::quantile_probability = probability);
}

static prometheus::Family<prometheus::Counter>& makeCounters(
    prometheus::Registry& registry, const std::string& name, const std::string& help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

static prometheus::Family<prometheus::Gauge>& makeGauges(
    prometheus::Registry& registry, const std::string& name, const std::string& help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

node_metrics::node_metrics()
    : m_responses(makeCounters(m_registry, "pomelohub_answers_total", "Answers to callers by status"))
    , m_refusals(makeCounters(m_registry, "pomelohub_refusals_total", "Refusals to callers by reason"))
    , m_badInput(makeCounters(m_registry, "pomelohub_bad_input_total", "Input that was not understood"))
    , m_controlBytes(makeCounters(m_registry, "pomelohub_control_bytes_total", "Datagram bytes"))
    , m_records(makeCounters(m_registry, "pomelohub_log_records_total", "Log records by outcome"))
    , m_gauges(makeGauges(m_registry, "pomelohub_state", "State of this node"))
    , m_latencyFamily(makeGauges(m_registry, "pomelohub_latency_seconds", "Latency to callers"))
    , m_retries(makeCounters(m_registry, "pomelohub_retries_total", "Tries after the first").Add({}))
{
}

void node_metrics::countResponse(int status, duration latency)
{
    m_responses.Add({ { "status", std::to_string(status) } }).Increment();
    m_latency.add(latency);
}

void node_metrics::countRefusal(refusal_reason reason)
{
    m_refusals.Add({ { "reason", std::string(toText(reason)) } }).Increment();
}

void node_metrics::countBadInput(const std::string& listener)
{
    m_badInput.Add({ { "listener", listener } }).Increment();
}

void node_metrics::countControlBytes(std::size_t sent, std::size_t received)
{
    m_controlBytes.Add({ { "direction", "sent" } }).Increment(static_cast<double>(sent));
    m_controlBytes.Add({ { "direction", "received" } }).Increment(static_cast<double>(received));
}

void node_metrics::countRecord(const std::string& outcome)
{
    m_records.Add({ { "outcome", outcome } }).Increment();
}

void node_metrics::setGauges(const gauge_readings& readings)
{
    auto set = [&](const std::string& name, double value) { m_gauges.Add({ { "what", name } }).Set(value); };
    set("members", readings.members);
    set("configuration_offset", readings.configurationOffset);
    set("in_force_offset", readings.inForceOffset);
    set("slots_held", readings.slotsHeld);
    set("rate_buckets", readings.rateBuckets);
    set("keyed_actions", readings.keyedActions);
    set("caller_connections", readings.callerConnections);
    set("peer_sessions", readings.peerSessions);
    for (auto probability : quantiles) {
        auto label = std::to_string(probability).substr(0, 4);
        m_latencyFamily.Add({ { "quantile", label } }).Set(m_latency.quantile(probability));
    }
}

std::string node_metrics::expose(const gauge_readings& readings)
{
    setGauges(readings);
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace pomelohub
