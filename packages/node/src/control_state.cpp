#include "control_state.h"

#include "hashing.h"

namespace pomelohub {

using std::chrono::milliseconds;

namespace {

    constexpr duration isolationTimeout = std::chrono::seconds(5);
    constexpr duration evaluationInterval = milliseconds(250);
    constexpr duration reportInterval = std::chrono::seconds(15);
    constexpr duration slotInterval = milliseconds(500);
    constexpr duration joinInterval = std::chrono::seconds(2);
    constexpr duration trimInterval = std::chrono::seconds(30);
    constexpr duration catchUpDelay = milliseconds(300);
    constexpr duration restatePeriod = std::chrono::hours(4);
    constexpr milliseconds grantLifetime { 1000 };
    constexpr std::size_t maxHistoryRecords = 2000;
    constexpr std::size_t maxOutcomes = 4000;
    constexpr std::size_t maxDecisions = 4000;

    slot_policy makeSlotPolicy(const node_settings& settings)
    {
        slot_policy policy;
        policy.maxStaleness = settings.staleLimit;
        policy.grantLifetime = grantLifetime;
        return policy;
    }

    member_record makeSelf(const node_settings& settings, const node_incarnation& self)
    {
        member_record record;
        record.life = self;
        record.dataCentre = settings.dataCentre;
        record.endpoint = settings.peersEndpoint;
        return record;
    }

    std::size_t indexOf(log_stream stream) { return static_cast<std::size_t>(stream); }

    /** The notices share a datagram with other news. */
    quarantine_policy quarantinePolicy()
    {
        quarantine_policy policy;
        policy.maxNewsPerMessage = 3;
        policy.maxNoticesPerMessage = 2;
        return policy;
    }

} // namespace

control_state::control_state(const node_settings& settings, node_incarnation self, control_hooks hooks)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_hooks(std::move(hooks))
    , m_members(makeSelf(settings, m_self), membership_policy {}, m_hooks.random,
          [this](const member_record& record) { handleMemberChange(record); })
    , m_memberSync(member_sync_policy {})
    , m_slots(m_self, makeSlotPolicy(settings))
    , m_rates(grantLifetime, slot_policy {}.maxClockDriftPermille, m_self.incarnation)
    , m_actions(
          idempotency_policy {}, [this](slot_index slot, instant now) { return m_slots.mayUse(slot, now); })
    , m_ejection(settings.ejection)
    , m_slowStart(slow_start_policy {})
    , m_judge(settings.node, settings.gray, m_registry, m_hooks.onDecision)
    , m_quarantine(quarantinePolicy())
    , m_decisionHistory(maxDecisions)
    , m_history(maxHistoryRecords)
    , m_knownHolders(slotCount)
{
}

void control_state::recordDecision(
    const present& now, std::string subject, std::string stage, std::string outcome, std::string reason) const
{
    m_hooks.onDecision(
        { now.wall, std::move(subject), std::move(stage), std::move(outcome), std::move(reason) });
}

node_readiness control_state::readiness(instant now) const
{
    if (!m_hasConfiguration)
        return node_readiness::starting;
    auto lastContact = std::max(m_lastLogContact.load(), m_lastPeerContact.load());
    return now - lastContact > isolationTimeout ? node_readiness::isolated : node_readiness::ready;
}

std::optional<std::string> control_state::endpointOf(const node_id& node) const
{
    return m_directory.read([&](const node_directory* known) -> std::optional<std::string> {
        if (!known)
            return std::nullopt;
        auto found = known->endpoints.find(node);
        return found == known->endpoints.end() ? std::nullopt : std::optional(found->second);
    });
}

std::optional<node_id> control_state::holderOf(slot_index slot) const
{
    return m_slotView.read(
        [&](const slot_view* view) { return view ? view->holders[slot] : std::optional<node_id>(); });
}

void control_state::handleMemberChange(const member_record& record)
{
    m_registry.update(record);
    m_membersChanged = true;
}

void control_state::publishMembers()
{
    m_registry.publish();
    if (!std::exchange(m_membersChanged, false))
        return;
    handle<node_directory> next(new node_directory);
    auto members = m_members.all();
    m_dataCentres.clear();
    for (const auto* record : members) {
        next->endpoints[record->life.node] = record->endpoint;
        if (isActive(record->status))
            m_dataCentres.insert(record->dataCentre);
    }
    m_directory.publish(next);
    // A new collector has no offset reports yet, so report to it at the next tick.
    const auto* collector = confirmation_controller::collectorOf(m_settings.dataCentre, members);
    if (collector && collector->life != m_collector) {
        m_collector = collector->life;
        m_nextReport = instant {};
    }
    m_inForce = std::max(m_inForce, confirmation_controller::inForceOffset(members));
    updateSlotMembers();
}

void control_state::publishSlots(const present& now)
{
    handle<slot_view> next(new slot_view);
    for (slot_index slot = 0; slot < slotCount; ++slot) {
        const auto& holder = m_slots.table().at(slot).holder;
        if (holder)
            next->holders[slot] = holder->node;
    }
    m_slotView.publish(next);
    startNewSlots(now);
}

void control_state::startNewSlots(const present& now)
{
    for (slot_index slot = 0; slot < slotCount; ++slot) {
        const auto& state = m_slots.table().at(slot);
        if (state.holder == m_knownHolders[slot])
            continue;
        m_knownHolders[slot] = state.holder;
        if (state.holder != m_self)
            continue;
        bool isFirst = state.term == 1;
        auto since = m_slots.heldSince(slot);
        auto sinceWall = now.wall + std::chrono::ceil<milliseconds>(since - now.monotonic);
        m_rates.startSlot(slot, isFirst ? instant::min() : since);
        m_actions.startSlot(slot, isFirst ? wall_time::min() : sinceWall);
        recordDecision(
            now, "slot-" + std::to_string(slot), "slot", "held", "term " + std::to_string(state.term));
    }
}

void control_state::applyPage(
    log_stream stream, const log_page& page, instant requestedAt, const present& now)
{
    m_lastLogContact = requestedAt;
    applyRelayedPage(stream, page, now);
    bool isAtEnd = nextOffset(stream) >= page.next;
    if (stream == log_stream::configuration && isAtEnd)
        m_hasConfiguration = true;
    if (stream != log_stream::fleet || !isAtEnd)
        return;
    m_slots.recordCaughtUp(requestedAt);
    m_slots.allowClaims();
}

void control_state::applyRelayedPage(log_stream stream, const log_page& page, const present& now)
{
    m_history.append(stream, page);
    if (stream == log_stream::configuration)
        applyConfiguration(page, now);
    else
        applyFleet(page, now);
    publishMembers();
}

void control_state::applyConfiguration(const log_page& page, const present& now)
{
    std::vector<configuration_log_entry> placed;
    for (const auto& record : page.records) {
        std::vector<field_error> errors;
        if (record.offset < m_configuration.nextOffset())
            continue;
        if (auto decoded = decodeRecord(record.data, errors)) {
            placed.push_back({ record.offset, std::move(*decoded) });
            continue;
        }
        m_hooks.recordApplied("corrupt");
        recordDecision(now, "record-" + std::to_string(record.offset), "configuration", "corrupt",
            errors.empty() ? "" : toText(errors.front()));
    }
    auto outcomes = m_configuration.apply(placed);
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        m_outcomes[placed[i].offset] = outcomes[i];
        m_hooks.recordApplied(std::string(toText(outcomes[i])));
        const auto& target = placed[i].record.target;
        recordDecision(now, "record-" + std::to_string(placed[i].offset), "configuration",
            std::string(toText(outcomes[i])), std::string(toText(target.kind)) + "/" + target.name);
    }
    while (m_outcomes.size() > maxOutcomes)
        m_outcomes.erase(m_outcomes.begin());
    if (!page.records.empty())
        m_configuration.advanceTo(page.records.back().offset + 1);
    if (!outcomes.empty()) {
        updateSlowStart(now);
        m_nextReport = now.monotonic;
    }
}

void control_state::applyFleet(const log_page& page, const present& now)
{
    auto& next = m_nextOffsets[indexOf(log_stream::fleet)];
    bool hasChanges = false;
    for (const auto& record : page.records) {
        if (record.offset < next)
            continue;
        next = record.offset + 1;
        std::vector<field_error> errors;
        auto decoded = decodeFleetRecord(record.data, errors);
        if (!decoded) {
            m_hooks.recordApplied("corrupt");
            continue;
        }
        hasChanges = true;
        m_hasJoined
            = m_hasJoined || (decoded->slots.change == slot_change::join && decoded->slots.member == m_self);
        m_slots.apply(decoded->slots, now.monotonic);
        if (decoded->slots.change == slot_change::join && !decoded->endpoint.empty()) {
            member_record member;
            member.life = decoded->slots.member;
            member.dataCentre = decoded->dataCentre;
            member.endpoint = decoded->endpoint;
            m_members.merge({ member }, now.monotonic);
        }
    }
    if (hasChanges)
        publishSlots(now);
}

std::uint64_t control_state::nextOffset(log_stream stream) const
{
    return stream == log_stream::configuration ? m_configuration.nextOffset()
                                               : m_nextOffsets[indexOf(stream)];
}

bool control_state::needsBootstrapState(log_stream stream, const log_page& page) const
{
    return nextOffset(stream) < page.first;
}

log_page control_state::recentRecords(log_stream stream, std::uint64_t from) const
{
    return m_history.read(stream, from, nextOffset(stream));
}

bootstrap_state control_state::bootstrapState() const
{
    bootstrap_state state;
    state.configuration = m_configuration.snapshot();
    state.fleetNextOffset = m_nextOffsets[indexOf(log_stream::fleet)];
    state.slots = m_slots.table().snapshots();
    state.members = memberRecords();
    return state;
}

std::vector<member_record> control_state::memberRecords() const
{
    std::vector<member_record> records;
    for (const auto* member : m_members.all())
        records.push_back(*member);
    return records;
}

void control_state::applyBootstrapState(const bootstrap_state& state, const present& now)
{
    m_configuration.load(state.configuration);
    auto& fleetNextOffset = m_nextOffsets[indexOf(log_stream::fleet)];
    if (state.fleetNextOffset > fleetNextOffset) {
        for (const auto& restated : state.slots)
            m_slots.applySnapshot(restated, now.monotonic);
        fleetNextOffset = state.fleetNextOffset;
    }
    m_members.merge(state.members, now.monotonic);
    m_memberSync.recordFullSync();
    m_lastPeerContact = now.monotonic;
    m_hasConfiguration = true;
    publishSlots(now);
    updateSlowStart(now);
    publishMembers();
    m_nextReport = now.monotonic;
}

log_cursors control_state::cursors(instant now) const
{
    return { nextOffset(log_stream::configuration), nextOffset(log_stream::fleet), logStaleness(now),
        m_inForce };
}

milliseconds control_state::logStaleness(instant now) const
{
    return std::chrono::duration_cast<milliseconds>(now - m_slots.lastCaughtUp());
}

std::vector<outgoing_gossip> control_state::handleGossip(const gossip_message& message, const present& now)
{
    auto probedAt = m_members.probeSentAt(message);
    auto out = m_members.receive(message, cursors(now.monotonic), now.monotonic);
    if (probedAt) {
        m_lastPeerContact = *probedAt;
        m_memberSync.recordPeerView(message, m_members.viewDigest(), now.monotonic);
    }
    m_quarantine.addNotices(message.crashes, now.monotonic);
    m_inForce = std::max(m_inForce, message.cursors.inForceOffset);
    if (message.kind == gossip_kind::report) {
        m_confirmations.recordOffset(message.from, message.cursors.configuration);
        if (m_collector == m_self)
            publishConfirmedOffset(out, now);
    }
    bool isAhead = message.cursors.configuration > nextOffset(log_stream::configuration)
        || message.cursors.fleet > nextOffset(log_stream::fleet);
    if (isAhead && !m_peerAhead) {
        m_peerAhead = peer_address { message.from.node, message.fromEndpoint };
        m_peerAheadSince = now.monotonic;
    }
    // The peer reports how long ago it was known to have read the log to its end. That holds for this node
    // too if it has read as far as the peer.
    if (probedAt && message.cursors.fleet <= nextOffset(log_stream::fleet))
        m_slots.recordCaughtUp(*probedAt - message.cursors.staleness);
    publishMembers();
    announceInForce(out, now);
    addNotices(out, now.monotonic);
    return out;
}

void control_state::addNotices(std::vector<outgoing_gossip>& datagrams, instant now)
{
    for (auto& datagram : datagrams)
        datagram.message.crashes = m_quarantine.notices(now);
}

void control_state::recordBackendCrash(request_fingerprint fingerprint, const backend_server_id& backend,
    instant startedAt, const std::string& subject, const present& now)
{
    m_quarantine.recordCrash({ fingerprint, backend, {}, startedAt, now.monotonic }, now.monotonic);
    bool isQuarantined = m_quarantine.isQuarantined(fingerprint, now.monotonic);
    recordDecision(now, subject, "quarantine", isQuarantined ? "quarantined" : "suspect",
        backend.text() + " ended while it ran this request");
}

void control_state::syncMembers(control_outputs& out, instant now)
{
    if (m_members.others().empty() || !m_memberSync.tryStart(m_members.liveCount(), now))
        return;
    auto differing = m_memberSync.takeDifferingPeer();
    out.membersFrom = differing ? differing : randomPeer();
}

std::optional<peer_address> control_state::randomPeer() const
{
    std::vector<peer_address> peers;
    for (const auto& [node, record] : m_members.others()) {
        if (isActive(record.status))
            peers.push_back({ node, record.endpoint });
    }
    if (peers.empty())
        return std::nullopt;
    return peers[m_hooks.random(peers.size())];
}

void control_state::mergeMembers(const std::vector<member_record>& members, const present& now)
{
    m_members.merge(members, now.monotonic);
    m_memberSync.recordFullSync();
    publishMembers();
}

void control_state::join(const std::vector<peer_address>& seeds, const present& now)
{
    std::vector<member_record> records;
    for (const auto& seed : seeds) {
        if (seed.node == m_self.node || m_members.others().contains(seed.node))
            continue;
        member_record record;
        record.life.node = seed.node;
        record.endpoint = seed.endpoint;
        records.push_back(record);
    }
    m_members.merge(records, now.monotonic);
    publishMembers();
}

void control_state::announceJoin(control_outputs& out, instant now)
{
    // The join record releases the slots of earlier incarnations of this node. Without it, these slots stay
    // unusable for at least the stale limit.
    if (m_hasJoined || m_isLeaving || now < m_nextJoin)
        return;
    m_nextJoin = now + joinInterval;
    appendSlotRecords(out, { { slot_change::join, m_self, {}, {} } });
}

void control_state::updateSlotMembers()
{
    std::vector<slot_candidate> candidates { { m_self, !m_isLeaving } };
    for (const auto& [node, record] : m_members.others())
        candidates.push_back({ record.life, isActive(record.status) });
    m_slots.setMembers(candidates);
}

void control_state::appendSlotRecords(control_outputs& out, std::vector<slot_record> records) const
{
    for (auto& record : records)
        out.appends.push_back({ log_stream::fleet,
            encodeFleetRecord({ std::move(record), m_settings.dataCentre, m_settings.peersEndpoint }) });
}

control_outputs control_state::tick(const present& now)
{
    control_outputs out;
    announceJoin(out, now.monotonic);
    out.datagrams = m_members.tick(cursors(now.monotonic), now.monotonic);
    addNotices(out.datagrams, now.monotonic);
    if (now.monotonic >= m_nextSlotTick) {
        m_nextSlotTick = now.monotonic + slotInterval;
        appendSlotRecords(out, m_slots.tick(now.monotonic));
    }
    syncMembers(out, now.monotonic);
    if (now.monotonic >= m_nextReport)
        report(out.datagrams, now);
    if (now.monotonic >= m_nextEvaluation)
        evaluateBackends(out, now);
    if (now.monotonic >= m_nextRestatement)
        restateConfiguration(out, now);
    if (now.monotonic >= m_nextTrim) {
        m_nextTrim = now.monotonic + trimInterval;
        m_rates.trim(now.monotonic);
        m_actions.trim(now.wall);
        m_leases.trim(now.monotonic);
        m_judge.trim();
        m_quarantine.removeExpired(now.monotonic);
        m_confirmations.retainLive(m_members.all());
    }
    if (now.monotonic >= m_nextDemandWindow) {
        m_nextDemandWindow = now.monotonic + token_leases::demandWindow;
        m_leases.startDemandWindow();
    }
    if (m_peerAhead && now.monotonic - m_peerAheadSince >= catchUpDelay)
        out.catchUpFrom = std::exchange(m_peerAhead, std::nullopt);
    publishMembers();
    announceInForce(out.datagrams, now);
    return out;
}

void control_state::report(std::vector<outgoing_gossip>& datagrams, const present& now)
{
    m_nextReport = now.monotonic + reportInterval;
    if (m_collector == m_self)
        return publishConfirmedOffset(datagrams, now);
    auto collector = m_members.others().find(m_collector.node);
    if (collector != m_members.others().end())
        datagrams.push_back(m_members.makeReport(collector->second.endpoint, cursors(now.monotonic), false));
}

void control_state::publishConfirmedOffset(std::vector<outgoing_gossip>& datagrams, const present& now)
{
    m_confirmations.recordOffset(m_self, nextOffset(log_stream::configuration));
    auto members = m_members.all();
    auto confirmed = m_confirmations.confirmedOffsetIn(m_settings.dataCentre, members);
    if (confirmed <= m_members.self().confirmedOffset)
        return;
    m_members.updateSelf([&](member_record& self) { self.confirmedOffset = confirmed; });
    m_membersChanged = true;
    publishMembers();
    // Sends the offset directly to the collectors of the other data centres, which is faster than gossip.
    for (const auto& dataCentre : m_dataCentres) {
        const auto* collector = confirmation_controller::collectorOf(dataCentre, members);
        if (collector && collector->life != m_self)
            datagrams.push_back(m_members.makeReport(collector->endpoint, cursors(now.monotonic), true));
    }
}

void control_state::announceInForce(std::vector<outgoing_gossip>& datagrams, const present& now)
{
    if (m_collector != m_self || m_inForce <= m_announcedInForce)
        return;
    m_announcedInForce = m_inForce;
    for (const auto& [node, record] : m_members.others()) {
        if (record.dataCentre == m_settings.dataCentre && isActive(record.status))
            datagrams.push_back(m_members.makeReport(record.endpoint, cursors(now.monotonic), false));
    }
}

void control_state::evaluateBackends(control_outputs& out, const present& now)
{
    m_nextEvaluation = now.monotonic + evaluationInterval;
    updateSlowStart(now);
    out.ejections = m_judge.tick(now);
}

void control_state::restateConfiguration(control_outputs& out, const present& now)
{
    bool isFirst = m_nextRestatement == instant {};
    m_nextRestatement = now.monotonic + restatePeriod / configuration_table::shardCount;
    if (isFirst)
        return;
    table().forEachInShard(m_restateShard, [&](const stored_resource& stored) {
        auto name = std::string(toText(stored.name.kind)) + "/" + stored.name.name;
        if (!m_slots.mayUse(slotOf(stableHash(name)), now.monotonic))
            return;
        configuration_record record { stored.recordId, stored.name, 0, stored.version, stored.content };
        out.appends.push_back({ log_stream::configuration, encodeRecord(record) });
    });
    m_restateShard = (m_restateShard + 1) % configuration_table::shardCount;
}

void control_state::updateSlowStart(const present& now)
{
    for (const auto& dataCentre : m_dataCentres)
        m_slowStart.update(dataCentre, table().isInService(dataCentre), now.monotonic);
}

control_outputs control_state::leave(const present& now)
{
    m_isLeaving = true;
    control_outputs out;
    appendSlotRecords(out, m_slots.leave());
    out.datagrams = m_members.leave(cursors(now.monotonic));
    // Requests that this node received from callers avoid its own backend servers too.
    m_registry.update(m_members.self());
    m_membersChanged = true;
    publishMembers();
    return out;
}

result<rate_grant> control_state::grant(const rate_request& request, instant now)
{
    auto slot = slotOf(hashOf(request.partition));
    if (request.partition.index >= ratePartitions || !m_slots.mayUse(slot, now))
        return notRun(refusal_reason::authorityUnavailable, "this node does not hold the slot");
    auto stored = table().find({ resource_kind::organisation, request.partition.organisation.text() });
    const auto* limits = stored ? stored->as<organisation>() : nullptr;
    if (!limits)
        return rate_grant {};
    return m_rates.grant(request, partitionLimitOf(*limits), now);
}

result<ejection_permit> control_state::permit(const ejection_request& request, instant now)
{
    auto slot = slotOf(ejectionHashOf(request.service));
    // Permits issued by the previous holder must have expired before this node issues any.
    bool isSettled = m_slots.mayUse(slot, now)
        && (m_slots.table().at(slot).term == 1
            || now - m_slots.heldSince(slot) >= m_settings.ejection.permitLifetime);
    if (!isSettled)
        return notRun(refusal_reason::authorityUnavailable, "this node may not eject yet");
    auto view = m_registry.viewOf(request.service);
    service_capacity capacity;
    capacity.minInUse = table().capacityFloorOf(request.service);
    capacity.entryNodes = static_cast<std::uint32_t>(m_members.liveCount());
    if (view) {
        for (const auto& entry : view->backends)
            capacity.backendServers += entry.condition == backend_condition::draining ? 0 : 1;
    }
    return m_ejection.request(request, capacity, now);
}

void control_state::setBackends(std::vector<announced_backend> backends)
{
    m_members.updateSelf([&](member_record& self) { self.backends = std::move(backends); });
    m_registry.update(m_members.self());
    publishMembers();
}

std::optional<record_outcome> control_state::outcomeAt(std::uint64_t offset) const
{
    auto found = m_outcomes.find(offset);
    return found == m_outcomes.end() ? std::nullopt : std::optional(found->second);
}

} // namespace pomelohub
