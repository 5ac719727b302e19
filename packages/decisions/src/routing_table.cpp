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

request_kind requestKindOf(const service_id& service, const routing_rule& rule)
{
    return std::max<request_kind>(1, stableHash(service.text() + '\n' + rule.name));
}

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

void route_set::add(handle<const routing_rule> rule)
{
    for (const auto& each : rule->services)
        m_services.insert(each.service);
    m_longestPrefix = std::max(m_longestPrefix, rule->pathPrefix.size());
    m_rules[rule->pathPrefix] = std::move(rule);
}

handle<const routing_rule> route_set::match(std::string_view path) const
{
    // Each prefix ends with a slash.
    path = path.substr(0, m_longestPrefix);
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/')) {
        if (auto found = m_rules.find(path.substr(0, slash + 1)); found != m_rules.end())
            return found->second;
        path = path.substr(0, slash);
    }
    return nullptr;
}

const routing_rule* route_set::find(std::string_view prefix) const
{
    auto found = m_rules.find(prefix);
    return found == m_rules.end() ? nullptr : found->second.get();
}

bool organisation_set::add(
    const handle<const organisation_limits>& organisation, const std::vector<digest>& keys)
{
    for (const auto& key : keys) {
        if (!m_keys.emplace(key, organisation).second)
            return false;
    }
    m_organisations[organisation->id] = organisation;
    return true;
}

handle<const organisation_limits> organisation_set::withKey(std::string_view key) const
{
    auto found = m_keys.find(sha256(key));
    return found == m_keys.end() ? nullptr : found->second;
}

handle<const organisation_limits> organisation_set::named(const organisation_id& id) const
{
    auto found = m_organisations.find(id);
    return found == m_organisations.end() ? nullptr : found->second;
}

void routing_table::add(handle<const routing_rule> rule)
{
    auto& routes = m_hosts[toLowerCase(rule->host)];
    if (!routes)
        routes = handle<route_set>(new route_set);
    routes->add(std::move(rule));
}

void routing_table::add(std::string_view host, handle<route_set> routes)
{
    auto& known = m_hosts[toLowerCase(host)];
    if (!known) {
        known = std::move(routes);
        return;
    }
    handle<route_set> merged(new route_set(*known));
    for (const auto& [prefix, rule] : routes->m_rules)
        merged->add(rule);
    known = std::move(merged);
}

void routing_table::add(service_profile profile)
{
    auto id = profile.id;
    m_services[id] = std::move(profile);
}

void routing_table::setOrganisations(handle<const organisation_set> organisations)
{
    m_organisations = std::move(organisations);
}

handle<const routing_rule> routing_table::match(std::string_view host, std::string_view path) const
{
    auto found = m_hosts.find(toLowerCase(host));
    return found == m_hosts.end() ? nullptr : found->second->match(path);
}

const service_profile* routing_table::profileOf(const service_id& id) const
{
    auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

std::size_t routing_table::ruleCount() const
{
    return std::accumulate(m_hosts.begin(), m_hosts.end(), std::size_t { 0 },
        [](std::size_t sum, const auto& host) { return sum + host.second->size(); });
}

void routing_table::inheritRequestCounts(const routing_table& former)
{
    for (const auto& [host, routes] : m_hosts) {
        auto found = former.m_hosts.find(host);
        if (found == former.m_hosts.end() || found->second == routes)
            continue;
        for (const auto& [prefix, rule] : routes->m_rules) {
            const auto* formerRule = found->second->find(prefix);
            if (formerRule && formerRule != rule.get())
                rule->requestCount = formerRule->requestCount.load(std::memory_order_relaxed);
        }
    }
}

} // namespace pomelohub
