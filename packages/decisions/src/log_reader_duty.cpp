#include "log_reader_duty.h"

#include "hashing.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace pomelohub {

namespace {

    /** The nodes of \p dataCentre in the order in which they take the duty. */
    std::vector<node_id> logReaderOrder(
        std::span<const instance_announcement> active, const data_centre_id& dataCentre)
    {
        static const auto duty = stableHash("operators' log");
        struct candidate {
            std::uint64_t weight = 0;
            node_id node;
            auto operator<=>(const candidate&) const = default;
        };
        std::vector<candidate> candidates;
        candidates.reserve(active.size());
        for (const auto& each : active) {
            if (each.dataCentre == dataCentre)
                candidates.push_back({ rendezvousWeight(each.node.text(), duty), each.node });
        }
        std::sort(candidates.begin(), candidates.end(), std::greater<> {});
        std::vector<node_id> order;
        order.reserve(candidates.size());
        for (auto& each : candidates)
            order.push_back(std::move(each.node));
        return order;
    }

    /** Number of readers in each data centre, so that about \p fleetReaders read in the whole fleet; at
     * least 1. */
    std::size_t logReadersPerDataCentre(
        std::span<const instance_announcement> active, std::size_t fleetReaders)
    {
        std::set<data_centre_id> dataCentres;
        for (const auto& each : active)
            dataCentres.insert(each.dataCentre);
        auto count = std::max<std::size_t>(dataCentres.size(), 1);
        return std::max<std::size_t>((fleetReaders + count - 1) / count, 1);
    }

} // namespace

log_reader_duty::log_reader_duty(
    node_id self, data_centre_id dataCentre, log_reader_policy policy, instant now)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_policy(policy)
    , m_lastContact(now)
{
}

void log_reader_duty::update(std::span<const instance_announcement> active)
{
    auto order = logReaderOrder(active, m_dataCentre);
    m_readerCount = logReadersPerDataCentre(active, m_policy.fleetReaders);
    m_rank = static_cast<std::size_t>(std::find(order.begin(), order.end(), m_self) - order.begin());
    m_nodeCount = order.size();
    order.resize(std::min(order.size(), m_readerCount));
    std::erase(order, m_self);
    m_otherReaders = std::move(order);
}

void log_reader_duty::recordContact(instant at)
{
    m_lastContact = std::max(m_lastContact, at);
    m_hasContact = true;
}

std::optional<duration> log_reader_duty::contactAge(instant now) const
{
    return m_hasContact ? std::optional(now - m_lastContact) : std::nullopt;
}

double log_reader_duty::contactProbability(duration interval) const
{
    auto contacts = static_cast<double>(m_nodeCount) / std::chrono::duration<double>(interval).count();
    return std::min(1.0, m_policy.maxContactsPerSecond * static_cast<double>(m_readerCount) / contacts);
}

instant log_reader_duty::startsAt() const
{
    if (m_rank < m_readerCount)
        return instant::min();
    auto doublings = std::log2(static_cast<double>(m_rank + 1) / static_cast<double>(m_readerCount));
    return m_lastContact + m_policy.contactTimeout + scaled(m_policy.takeoverDelay, doublings);
}

} // namespace pomelohub
