#include "routing_table.h"

#include "hashing.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pomelohub {

namespace {

    /** Fractional part of the golden ratio. The fractional parts of its first n multiples are spread evenly
     * over the unit interval for every n. */
    constexpr double goldenRatioFraction = 0.618033988749895;

    std::string toLowerCase(std::string_view text)
    {
        std::string result(text);
        std::transform(result.begin(), result.end(), result.begin(),
            [](unsigned char c) { return static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c); });
        return result;
    }

} // namespace

const service_id& routing_rule::nextService() const
{
    if (services.size() == 1)
        return services.front().service;
    auto total = std::accumulate(services.begin(), services.end(), 0.0,
        [](double sum, const weighted_service& each) { return sum + each.weight; });
    double wholePart = 0;
    auto sequencePosition
        = static_cast<double>(requestCount.fetch_add(1, std::memory_order_relaxed)) * goldenRatioFraction;
    auto point = std::modf(sequencePosition, &wholePart) * total;
    for (const auto& each : services) {
        point -= each.weight;
        if (point < 0)
            return each.service;
    }
    return services.back().service;
}

void routing_table::add(handle<const routing_rule> rule)
{
    auto& rules = m_hosts[toLowerCase(rule->host)];
    std::erase_if(rules, [&](const auto& each) { return each->pathPrefix == rule->pathPrefix; });
    auto place = std::find_if(rules.begin(), rules.end(),
        [&](const auto& each) { return each->pathPrefix.size() < rule->pathPrefix.size(); });
    rules.insert(place, std::move(rule));
}

void routing_table::add(
    const handle<const organisation_limits>& organisation, const std::vector<std::string>& keys)
{
    for (const auto& key : keys)
        m_keys[sha256(key)] = organisation;
    m_organisations[organisation->id] = organisation;
}

void routing_table::add(service_profile profile)
{
    auto id = profile.id;
    m_services[id] = std::move(profile);
}

handle<const routing_rule> routing_table::match(std::string_view host, std::string_view path) const
{
    auto found = m_hosts.find(toLowerCase(host));
    if (found == m_hosts.end())
        return nullptr;
    for (const auto& rule : found->second) {
        if (path.starts_with(rule->pathPrefix))
            return rule;
    }
    return nullptr;
}

handle<const organisation_limits> routing_table::organisationOf(std::string_view key) const
{
    auto found = m_keys.find(sha256(key));
    return found == m_keys.end() ? nullptr : found->second;
}

handle<const organisation_limits> routing_table::organisationNamed(const organisation_id& id) const
{
    auto found = m_organisations.find(id);
    return found == m_organisations.end() ? nullptr : found->second;
}

const service_profile* routing_table::profileOf(const service_id& id) const
{
    auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

std::size_t routing_table::ruleCount() const
{
    return std::accumulate(m_hosts.begin(), m_hosts.end(), std::size_t { 0 },
        [](std::size_t sum, const auto& host) { return sum + host.second.size(); });
}

void routing_table::inheritRequestCounts(const routing_table& former)
{
    for (const auto& [host, rules] : m_hosts) {
        auto found = former.m_hosts.find(host);
        if (found == former.m_hosts.end())
            continue;
        for (const auto& rule : rules) {
            for (const auto& formerRule : found->second) {
                if (formerRule->pathPrefix == rule->pathPrefix)
                    rule->requestCount = formerRule->requestCount.load(std::memory_order_relaxed);
            }
        }
    }
}

} // namespace pomelohub
