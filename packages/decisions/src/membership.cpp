#include "membership.h"

#include "hashing.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pomelohub {

static constexpr std::array<std::string_view, 4> statusTexts { "alive", "suspect", "dead", "left" };

std::string_view toText(member_status status) { return statusTexts.at(static_cast<std::size_t>(status)); }

namespace {

    bool isNewerThan(const member_record& candidate, const member_record& known)
    {
        return std::tuple(candidate.life.incarnation, candidate.revision, candidate.status)
            > std::tuple(known.life.incarnation, known.revision, known.status);
    }

    /** One in this many probes is accompanied by a probe of a dead member, so that the fleet rejoins after a
     * network partition. */
    constexpr std::uint64_t deadProbeInterval = 8;

    std::uint64_t digestOf(const member_record& record)
    {
        auto text = record.life.node.text() + '/' + std::to_string(record.life.incarnation) + '/'
            + std::to_string(record.revision) + '/' + std::string(toText(record.status));
        return stableHash(text);
    }

    /** Estimated encoded size of \p record in bytes. */
    std::size_t sizeOf(const member_record& record)
    {
        std::size_t bytes = 40 + record.life.node.text().size() + record.dataCentre.text().size();
        for (const auto& backend : record.backends)
            bytes += 8 + backend.id.text().size() + backend.service.text().size();
        return bytes + record.endpoint.size();
    }

} // namespace

membership::membership(member_record self, membership_policy policy, random_hook random, change_hook changed)
    : m_self(std::move(self))
    , m_policy(policy)
    , m_random(std::move(random))
    , m_changed(std::move(changed))
{
    enqueueUpdate(m_self.life.node);
}

gossip_message membership::makeMessage(gossip_kind kind, std::uint64_t sequence, const log_cursors& cursors)
{
    gossip_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.from = m_self.life;
    message.fromEndpoint = m_self.endpoint;
    message.cursors = cursors;
    message.viewDigest = viewDigest();
    message.updates = selectUpdates();
    return message;
}

std::size_t membership::maxTransmissions() const
{
    auto members = static_cast<double>(m_others.size() + 2);
    return static_cast<std::size_t>(std::ceil(m_policy.retransmitFactor * std::log2(members)));
}

void membership::enqueueUpdate(const node_id& node)
{
    std::erase_if(m_pendingUpdates, [&](const pending_update& item) { return item.node == node; });
    m_pendingUpdates.push_back({ node, 0 });
}

std::vector<member_record> membership::selectUpdates()
{
    // Least transmitted first, so that new updates are not delayed by old ones.
    std::stable_sort(m_pendingUpdates.begin(), m_pendingUpdates.end(),
        [](const pending_update& a, const pending_update& b) { return a.transmissions < b.transmissions; });
    std::vector<member_record> records;
    std::size_t bytes = 0;
    for (auto& item : m_pendingUpdates) {
        const auto& record = item.node == m_self.life.node ? m_self : m_others.at(item.node);
        if (!records.empty() && bytes + sizeOf(record) > m_policy.maxUpdateBytes)
            continue;
        bytes += sizeOf(record);
        records.push_back(record);
        ++item.transmissions;
    }
    auto limit = maxTransmissions();
    std::erase_if(m_pendingUpdates, [&](const pending_update& item) { return item.transmissions >= limit; });
    return records;
}

std::vector<outgoing_gossip> membership::tick(const log_cursors& cursors, instant now)
{
    std::vector<outgoing_gossip> out;
    checkProbes(out, cursors, now);
    expireSuspects(now);
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_policy.probeInterval;
        startProbe(out, cursors, now);
    }
    return out;
}

void membership::startProbe(std::vector<outgoing_gossip>& out, const log_cursors& cursors, instant now)
{
    auto target = nextTarget();
    if (!target) {
        probeDeadMember(out, cursors);
        return;
    }
    auto sequence = ++m_sequence;
    m_probes.push_back({ *target, sequence, now, false });
    out.push_back({ m_others.at(*target).endpoint, makeMessage(gossip_kind::probe, sequence, cursors) });
    if (sequence % deadProbeInterval == 0)
        probeDeadMember(out, cursors);
}

void membership::probeDeadMember(std::vector<outgoing_gossip>& out, const log_cursors& cursors)
{
    std::vector<const member_record*> dead;
    for (const auto& [node, record] : m_others) {
        if (record.status == member_status::dead)
            dead.push_back(&record);
    }
    if (dead.empty())
        return;
    const auto& target = *dead[m_random(dead.size())];
    auto message = makeMessage(gossip_kind::probe, 0, cursors);
    // The member can only refute a record that says that it is dead if it receives that record.
    message.updates.push_back(target);
    out.push_back({ target.endpoint, std::move(message) });
}

std::optional<node_id> membership::nextTarget()
{
    if (m_probeQueue.empty()) {
        for (const auto& [node, record] : m_others) {
            if (isActive(record.status))
                m_probeQueue.push_back(node);
        }
        for (std::size_t i = m_probeQueue.size(); i > 1; --i)
            std::swap(m_probeQueue[i - 1], m_probeQueue[m_random(i)]);
    }
    while (!m_probeQueue.empty()) {
        auto node = m_probeQueue.back();
        m_probeQueue.pop_back();
        auto found = m_others.find(node);
        if (found != m_others.end() && isActive(found->second.status))
            return node;
    }
    return std::nullopt;
}

void membership::checkProbes(std::vector<outgoing_gossip>& out, const log_cursors& cursors, instant now)
{
    for (auto& probe : m_probes) {
        if (!probe.isIndirectSent && now - probe.sentAt >= m_policy.probeTimeout) {
            probe.isIndirectSent = true;
            sendIndirectProbes(out, probe, cursors);
        }
    }
    std::erase_if(m_probes, [&](const pending_probe& probe) {
        if (now - probe.sentAt < m_policy.probeInterval)
            return false;
        suspectMember(probe.target, now);
        return true;
    });
    std::erase_if(m_relayedProbes,
        [&](const auto& entry) { return now - entry.second.sentAt > m_policy.probeInterval; });
}

void membership::sendIndirectProbes(
    std::vector<outgoing_gossip>& out, const pending_probe& probe, const log_cursors& cursors)
{
    auto target = m_others.find(probe.target);
    if (target == m_others.end())
        return;
    std::vector<const member_record*> relays;
    for (const auto& [node, record] : m_others) {
        if (node != probe.target && record.status == member_status::alive)
            relays.push_back(&record);
    }
    for (std::size_t i = 0; i < m_policy.indirectProbes && !relays.empty(); ++i) {
        auto index = m_random(relays.size());
        auto message = makeMessage(gossip_kind::probeRequest, probe.sequence, cursors);
        message.target = probe.target;
        message.targetEndpoint = target->second.endpoint;
        out.push_back({ relays[index]->endpoint, std::move(message) });
        relays.erase(relays.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void membership::suspectMember(const node_id& node, instant now)
{
    auto found = m_others.find(node);
    if (found == m_others.end() || found->second.status != member_status::alive)
        return;
    auto record = found->second;
    record.status = member_status::suspect;
    mergeAndEnqueue(record, now);
}

void membership::expireSuspects(instant now)
{
    std::vector<member_record> dead;
    for (const auto& [node, record] : m_others) {
        if (record.status == member_status::suspect && now - m_statusSince[node] >= m_policy.suspicionTimeout)
            dead.push_back(record);
    }
    for (auto& record : dead) {
        record.status = member_status::dead;
        mergeAndEnqueue(record, now);
    }
    std::erase_if(m_others, [&](const auto& entry) {
        if (isActive(entry.second.status) || now - m_statusSince[entry.first] < m_policy.deadMemberRetention)
            return false;
        m_statusSince.erase(entry.first);
        m_othersDigest ^= digestOf(entry.second);
        std::erase_if(m_pendingUpdates, [&](const pending_update& item) { return item.node == entry.first; });
        return true;
    });
}

std::vector<outgoing_gossip> membership::receive(
    const gossip_message& message, const log_cursors& cursors, instant now)
{
    std::vector<outgoing_gossip> out;
    if (message.from.node == m_self.life.node)
        return out;
    for (const auto& record : message.updates)
        mergeAndEnqueue(record, now);
    switch (message.kind) {
    case gossip_kind::probe:
        out.push_back(
            { message.fromEndpoint, makeMessage(gossip_kind::acknowledgement, message.sequence, cursors) });
        break;
    case gossip_kind::acknowledgement:
        handleAcknowledgement(message, out, cursors);
        break;
    case gossip_kind::probeRequest: {
        auto sequence = ++m_sequence;
        m_relayedProbes[sequence] = { message.fromEndpoint, message.sequence, now };
        out.push_back({ message.targetEndpoint, makeMessage(gossip_kind::probe, sequence, cursors) });
        break;
    }
    case gossip_kind::report:
        break;
    }
    return out;
}

std::optional<instant> membership::probeSentAt(const gossip_message& answer) const
{
    if (answer.kind != gossip_kind::acknowledgement)
        return std::nullopt;
    auto found = std::find_if(m_probes.begin(), m_probes.end(),
        [&](const pending_probe& probe) { return probe.sequence == answer.sequence; });
    return found == m_probes.end() ? std::nullopt : std::optional(found->sentAt);
}

void membership::handleAcknowledgement(
    const gossip_message& message, std::vector<outgoing_gossip>& out, const log_cursors& cursors)
{
    auto relayed = m_relayedProbes.find(message.sequence);
    if (relayed != m_relayedProbes.end()) {
        out.push_back({ relayed->second.requesterEndpoint,
            makeMessage(gossip_kind::acknowledgement, relayed->second.requesterSequence, cursors) });
        m_relayedProbes.erase(relayed);
        return;
    }
    std::erase_if(m_probes, [&](const pending_probe& probe) { return probe.sequence == message.sequence; });
}

void membership::merge(const std::vector<member_record>& records, instant now)
{
    for (const auto& record : records)
        mergeRecord(record, now);
}

void membership::mergeAndEnqueue(const member_record& record, instant now)
{
    if (mergeRecord(record, now))
        enqueueUpdate(record.life.node);
}

bool membership::mergeRecord(const member_record& record, instant now)
{
    if (record.life.node == m_self.life.node) {
        refute(record);
        return false;
    }
    auto [found, isNew] = m_others.try_emplace(record.life.node, record);
    if (!isNew && !isNewerThan(record, found->second))
        return false;
    if (isNew || found->second.status != record.status || found->second.life != record.life)
        m_statusSince[record.life.node] = now;
    if (!isNew)
        m_othersDigest ^= digestOf(found->second);
    m_othersDigest ^= digestOf(record);
    found->second = record;
    m_changed(record);
    return true;
}

void membership::refute(const member_record& record)
{
    bool isFalseClaim = record.life.incarnation == m_self.life.incarnation && record.status > m_self.status;
    if (!isFalseClaim || record.revision < m_self.revision)
        return;
    m_self.revision = record.revision + 1;
    enqueueUpdate(m_self.life.node);
}

void membership::updateSelf(const std::function<void(member_record&)>& change)
{
    change(m_self);
    ++m_self.revision;
    enqueueUpdate(m_self.life.node);
}

outgoing_gossip membership::makeReport(
    const std::string& endpoint, const log_cursors& cursors, bool isSelfIncluded) const
{
    gossip_message message;
    message.kind = gossip_kind::report;
    message.from = m_self.life;
    message.fromEndpoint = m_self.endpoint;
    message.cursors = cursors;
    message.viewDigest = viewDigest();
    if (isSelfIncluded)
        message.updates.push_back(m_self);
    return { endpoint, std::move(message) };
}

std::vector<outgoing_gossip> membership::leave(const log_cursors& cursors)
{
    updateSelf([](member_record& self) { self.status = member_status::left; });
    std::vector<outgoing_gossip> out;
    for (std::size_t i = 0; i < maxTransmissions(); ++i) {
        auto target = nextTarget();
        if (!target)
            break;
        out.push_back({ m_others.at(*target).endpoint, makeMessage(gossip_kind::probe, 0, cursors) });
    }
    return out;
}

std::vector<const member_record*> membership::all() const
{
    std::vector<const member_record*> records { &m_self };
    for (const auto& [node, record] : m_others)
        records.push_back(&record);
    return records;
}

std::uint64_t membership::viewDigest() const { return m_othersDigest ^ digestOf(m_self); }

std::size_t membership::liveCount() const
{
    return 1
        + static_cast<std::size_t>(std::count_if(m_others.begin(), m_others.end(),
            [](const auto& entry) { return isActive(entry.second.status); }));
}

} // namespace pomelohub
