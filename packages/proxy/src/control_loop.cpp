#include "control_loop.h"

#include <algorithm>

namespace pomelohub {

control_loop::control_loop(asio::io_context& context, instance_announcement self,
    std::vector<std::string> seeds, fleet_controller& controller, crash_quarantine& quarantine,
    fleet_store store, control_policy policy, event_log& log, proxy_metrics& metrics, hooks hooks)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_controller(controller)
    , m_quarantine(quarantine)
    , m_store(std::move(store))
    , m_policy(policy)
    , m_log(log)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_pollTimer(context)
    , m_announceTimer(context)
    , m_listTimer(context)
    , m_gossipTimer(context)
    , m_publicationTimer(context)
    , m_pollRetryDelay(policy.initialRetryDelay)
    , m_announceRetryDelay(policy.initialRetryDelay)
    , m_readerDuty(m_self.node, m_self.dataCentre, policy.logReaders, m_hooks.clock().monotonic)
    , m_partners(m_self.node, m_self.dataCentre, policy.partners)
{
}

void control_loop::start()
{
    m_startedAt = m_hooks.clock().monotonic;
    if (m_store.observeEra)
        m_store.observeEra([this](store_era era) { recordEra(era, "store"); });
    m_controller.mergeAnnouncements({ m_self });
    updateMembers();
    followLater();
    announce();
    gossip();
}

void control_loop::followLater()
{
    m_pollTimer.startAfter(
        randomDuration(m_policy.minListWait, m_policy.maxListWait), [this] { startFollowing(); });
}

void control_loop::startFollowing()
{
    if (std::exchange(m_hasStartedFollowing, true))
        return;
    pollOperatorLog();
}

/** Called when the other nodes are known for the first time. */
void control_loop::learnFirstState()
{
    if (isLogReader()) {
        if (!m_hasStartedFollowing)
            m_pollTimer.cancel();
        startFollowing();
        return;
    }
    for (const auto& endpoint : m_partners.next(1, m_hooks.random, m_hooks.clock().monotonic))
        requestOperatorState(endpoint);
}

void control_loop::scheduleRetry(one_shot_timer& timer, duration& delay, std::function<void()> operation)
{
    // Jitter over half of the delay keeps nodes that lost the store at the same time from retrying in step.
    timer.startAfter(randomDuration(delay / 2, delay), std::move(operation));
    delay = std::min<duration>(delay * 2, m_policy.maxRetryDelay);
}

void control_loop::updateStoreStatus(bool hasSucceeded, std::string_view call)
{
    m_metrics.recordStoreCall(hasSucceeded);
    if (m_isStoreUnavailable != hasSucceeded)
        return;
    m_isStoreUnavailable = !hasSucceeded;
    m_log.write(
        event_priority::always, hasSucceeded ? "store_regained" : "store_lost", {}, { { "call", call } });
}

void control_loop::recordTransfer(std::string_view source, std::size_t bytes, instant startedAt)
{
    m_metrics.recordConfigurationTransfer(source, bytes);
    m_log.write(event_priority::always, "configuration_received", {},
        { { "source", source }, { "bytes", static_cast<std::uint64_t>(bytes) },
            { "after", m_hooks.clock().monotonic - startedAt },
            { "era", m_controller.operators().position.era },
            { "position", m_controller.operators().position.offset } });
}

/** Called with each era that the store or a peer names. */
void control_loop::recordEra(store_era era, std::string_view source)
{
    if (era <= m_era)
        return;
    auto former = std::exchange(m_era, era);
    m_metrics.setStoreEra(era);
    if (former == 0)
        return;
    m_log.write(event_priority::always, "store_era_changed", {},
        { { "era", era }, { "former", former }, { "source", source },
            { "position", m_controller.operators().position.offset } });
    // The store has lost what was written last: perhaps the record of this node, and changes of operators.
    m_isSnapshotDue = true;
    m_unsettledSince.reset();
    announceAgainLater();
}

/** Whether the time has passed in which operators write again what the store has lost. */
bool control_loop::isSettlingDue(instant now)
{
    if (!m_controller.hasUnsettledEvacuations()) {
        m_unsettledSince.reset();
        return false;
    }
    if (!m_unsettledSince)
        m_unsettledSince = now;
    return now - *m_unsettledSince >= m_policy.settlingTime;
}

void control_loop::readOperatorState()
{
    m_isReadingState = true;
    m_store.readOperatorState([this, startedAt = m_hooks.clock().monotonic](
                                  const tl::expected<operator_snapshot, store_failure>& snapshot) {
        m_isReadingState = false;
        updateStoreStatus(snapshot.has_value(), "read_operators");
        // A snapshot from before the last change of era came late.
        if (!snapshot || snapshot->end.era < m_era) {
            m_hasFirstReadFailed = true;
            scheduleRetry(m_pollTimer, m_pollRetryDelay, [this] { readOperatorState(); });
            return;
        }
        m_hasReadState = true;
        m_isSnapshotDue = false;
        applySnapshot(*snapshot, startedAt);
        pollOperatorLog();
    });
}

void control_loop::applySnapshot(const operator_snapshot& snapshot, instant startedAt)
{
    recordTransfer("snapshot", snapshot.document.size(), startedAt);
    bool isSettling = isSettlingDue(m_hooks.clock().monotonic);
    auto authority = isSettling ? snapshot_authority::decides : snapshot_authority::adds;
    bool isChanged = m_controller.applySnapshot(snapshot, authority);
    if (isSettling)
        m_log.write(event_priority::always, "evacuations_settled", {},
            { { "era", snapshot.end.era }, { "evacuated", snapshot.evacuated.size() },
                { "changed", isChanged } });
    if (isChanged)
        spreadState();
}

duration control_loop::randomDuration(duration min, duration max)
{
    auto range = std::chrono::duration_cast<std::chrono::microseconds>(max - min).count();
    auto drawn = m_hooks.random(static_cast<std::uint64_t>(range) + 1);
    return min + std::chrono::microseconds(static_cast<std::int64_t>(drawn));
}

void control_loop::mergeAnnouncements(const std::vector<instance_announcement>& updates)
{
    if (!m_controller.recordAnnouncements(updates) || m_isPublicationScheduled)
        return;
    m_isPublicationScheduled = true;
    m_publicationTimer.startAfter(m_policy.publicationDelay, [this] { updateMembers(); });
}

void control_loop::updateMembers()
{
    m_isPublicationScheduled = false;
    m_controller.publishAnnouncements();
    auto active = m_controller.announcements().active();
    m_readerDuty.update(active);
    m_partners.update(active);
    m_localEndpoints.clear();
    m_remoteEndpoints.clear();
    for (const auto& each : active) {
        if (each.node != m_self.node)
            (each.dataCentre == m_self.dataCentre ? m_localEndpoints : m_remoteEndpoints)
                .push_back(each.endpoint);
    }
    m_readerEndpoints.clear();
    for (const auto& node : m_readerDuty.otherReaders())
        m_readerEndpoints.push_back(m_controller.announcements().find(node)->endpoint);
}

void control_loop::pollAfterDelay()
{
    m_pollTimer.startAfter(
        randomDuration(duration::zero(), m_policy.maxPollDelayAfterChange), [this] { pollOperatorLog(); });
}

void control_loop::pollOperatorLog()
{
    auto now = m_hooks.clock().monotonic;
    auto startsAt = m_readerDuty.startsAt();
    m_isPolling = startsAt <= now;
    if (!m_isPolling) {
        m_pollTimer.startAfter(startsAt - now, [this] { pollOperatorLog(); });
        return;
    }
    bool hasState = m_hasReadState || !m_controller.operators().document.empty();
    if (!hasState || m_isSnapshotDue || isSettlingDue(now)) {
        readOperatorState();
        return;
    }
    auto from = m_controller.operators().position;
    m_store.pollOperatorChanges(from.offset, randomDuration(m_policy.minPollTimeout, m_policy.maxPollTimeout),
        [this, from, startedAt = now](tl::expected<operator_changes, store_failure> read) {
            updateStoreStatus(
                read.has_value() || read.error() == store_failure::recordsDeleted, "follow_operators");
            if (!read && read.error() == store_failure::recordsDeleted)
                m_isSnapshotDue = true;
            // An answer of an era before that of the position came late.
            if (!read || read->position.era < from.era) {
                scheduleRetry(m_pollTimer, m_pollRetryDelay, [this] { pollOperatorLog(); });
                return;
            }
            m_pollRetryDelay = m_policy.initialRetryDelay;
            if (read->position.era > from.era) {
                m_isSnapshotDue = true; // The records belong to another history than the position.
                pollOperatorLog();
                return;
            }
            for (const auto& change : read->changes) {
                if (change.document)
                    recordTransfer("log", change.document->size(), startedAt);
            }
            // Gossip may have advanced the position during the poll; these records are then already applied.
            if (m_controller.operators().position == from
                && m_controller.applyChanges(read->changes, read->position))
                spreadState();
            if (read->changes.empty())
                pollOperatorLog();
            else
                pollAfterDelay();
        });
}

void control_loop::announce()
{
    m_isAnnouncing = true;
    m_store.announce(m_self, [this](tl::expected<std::monostate, store_failure> written) {
        m_isAnnouncing = false;
        updateStoreStatus(written.has_value(), "announce");
        if (!written) {
            startFollowing();
            scheduleRetry(m_announceTimer, m_announceRetryDelay, [this] { announce(); });
            return;
        }
        m_announceRetryDelay = m_policy.initialRetryDelay;
        if (std::exchange(m_isAnnouncementDue, false))
            announceAgainLater();
        if (!std::exchange(m_hasAnnounced, true))
            readAnnouncements();
    });
}

void control_loop::announceAgainLater()
{
    m_isAnnouncementDue = m_isAnnouncing;
    if (m_isAnnouncing)
        return;
    auto nodes = static_cast<std::int64_t>(m_controller.announcements().all().size());
    auto spread = std::max<duration>(m_policy.minAnnouncementSpread, m_policy.announcementSpacing * nodes);
    m_announceTimer.startAfter(randomDuration(duration::zero(), spread), [this] { announce(); });
}

void control_loop::readAnnouncements()
{
    m_store.readAnnouncements([this](tl::expected<std::vector<instance_announcement>, store_failure> all) {
        updateStoreStatus(all.has_value(), "read_announcements");
        if (all) {
            m_controller.recordAnnouncements(*all);
            updateMembers();
        }
        if (all && !std::exchange(m_hasReadAnnouncements, true))
            learnFirstState();
        scheduleNextList(all.has_value());
    });
}

void control_loop::scheduleNextList(bool hasSucceeded)
{
    bool isLonely = m_localEndpoints.empty() && m_remoteEndpoints.empty();
    auto interval = !hasSucceeded ? m_policy.maxRetryDelay
        : isLonely                ? m_policy.lonelyListInterval
                                  : m_policy.listInterval;
    m_listTimer.startAfter(interval, [this, mustRead = !hasSucceeded || isLonely] {
        if (mustRead || m_isPolling)
            readAnnouncements();
        else
            scheduleNextList(true); // The readers of the log repair what gossip has missed.
    });
}

std::vector<std::string> control_loop::selectEndpoints(
    const std::vector<std::string>& candidates, std::size_t count)
{
    std::vector<std::size_t> chosen;
    for (count = std::min(count, candidates.size()); chosen.size() < count;) {
        auto at = static_cast<std::size_t>(m_hooks.random(candidates.size()));
        while (std::find(chosen.begin(), chosen.end(), at) != chosen.end())
            at = (at + 1) % candidates.size();
        chosen.push_back(at);
    }
    std::vector<std::string> endpoints;
    endpoints.reserve(chosen.size());
    for (auto at : chosen)
        endpoints.push_back(candidates[at]);
    return endpoints;
}

std::vector<std::string> control_loop::selectGossipPeers()
{
    constexpr std::uint64_t resolution = 1024;
    std::vector<std::string> chosen;
    auto probability = m_readerDuty.contactProbability(m_policy.gossipInterval);
    if (static_cast<double>(m_hooks.random(resolution)) < probability * resolution)
        chosen = selectEndpoints(m_readerEndpoints, 1);
    auto partners
        = m_partners.next(m_policy.gossipFanout - chosen.size(), m_hooks.random, m_hooks.clock().monotonic);
    for (auto& each : partners) {
        if (std::find(chosen.begin(), chosen.end(), each) == chosen.end())
            chosen.push_back(std::move(each));
    }
    if (chosen.empty())
        chosen = selectEndpoints(m_seeds, m_policy.gossipFanout);
    return chosen;
}

void control_loop::spreadState()
{
    for (const auto& endpoint : selectEndpoints(m_localEndpoints, m_policy.localSpreadFanout))
        gossipWith(endpoint);
    for (const auto& endpoint : selectEndpoints(m_remoteEndpoints, m_policy.remoteSpreadFanout))
        gossipWith(endpoint);
}

void control_loop::gossip()
{
    for (const auto& endpoint : selectGossipPeers())
        gossipWith(endpoint);
    m_gossipTimer.startAfter(m_policy.gossipInterval, [this] { gossip(); });
}

void control_loop::gossipWith(const std::string& endpoint)
{
    m_hooks.sendRequest(endpoint, encodeGossip(makeGossip(nullptr)), m_policy.gossipTimeout,
        [this, endpoint](const std::optional<peer_message>& response) {
            if (!response) {
                m_partners.recordFailure(endpoint);
                return; // The peer link logs its own failures.
            }
            auto update = decodeGossip(*response);
            if (!update) {
                m_log.write(event_priority::failure, "gossip_unreadable", {}, { { "peer", endpoint } });
                return;
            }
            if (update->partFingerprints)
                exchangeAnnouncements(endpoint, *update->partFingerprints);
            applyGossip(*update);
            if (m_controller.isBehind(summaryOf(*update)))
                requestOperatorState(endpoint);
        });
}

void control_loop::exchangeAnnouncements(
    const std::string& endpoint, const announcement_table::part_fingerprints& other)
{
    auto request = makeGossip(nullptr);
    request.announcements = m_controller.announcements().entriesThatDiffer(other);
    request.partFingerprints = m_controller.announcements().partFingerprints();
    m_hooks.sendRequest(endpoint, encodeGossip(request), m_policy.gossipTimeout,
        [this](const std::optional<peer_message>& response) {
            if (auto update = response ? decodeGossip(*response) : std::nullopt)
                applyGossip(*update);
        });
}

void control_loop::requestOperatorState(const std::string& endpoint)
{
    auto now = m_hooks.clock().monotonic;
    bool isFirstRead = m_isReadingState && m_controller.operators().document.empty() && !m_hasFirstReadFailed
        && now - m_startedAt < m_policy.firstReadTimeout;
    if (m_isTransferring || isFirstRead)
        return;
    m_isTransferring = true;
    auto request = makeGossip(nullptr);
    request.documentBase = m_controller.documentFingerprint();
    m_hooks.sendRequest(endpoint, encodeGossip(request), m_policy.gossipTimeout,
        [this, endpoint, startedAt = now](const std::optional<peer_message>& response) {
            m_isTransferring = false;
            auto update = response ? decodeGossip(*response) : std::nullopt;
            if (!update)
                return; // The next exchange with a peer that is ahead repeats the request.
            applyGossip(*update);
            if (update->operators)
                applyTransfer(*update->operators, endpoint, startedAt);
        });
}

gossip_update control_loop::makeGossip(const gossip_update* request)
{
    gossip_update update;
    update.from = m_self.node;
    auto summary = m_controller.summary();
    update.offset = summary.position.offset;
    update.era = summary.position.era;
    update.version = summary.version;
    update.evacuations = summary.evacuations;
    update.fingerprint = m_controller.announcements().fingerprint();
    update.crashes = m_quarantine.notices(m_hooks.clock().monotonic);
    update.contactAge
        = isFollowingLog() ? duration::zero() : m_readerDuty.contactAge(m_hooks.clock().monotonic);
    if (m_hooks.clock().monotonic - m_startedAt < m_policy.introductionTime || m_self.hasLeft)
        update.announcements = { m_self };
    if (request && request->partFingerprints)
        update.announcements = m_controller.announcements().entriesThatDiffer(*request->partFingerprints);
    else if (request && request->fingerprint != update.fingerprint)
        update.partFingerprints = m_controller.announcements().partFingerprints();
    if (request && request->documentBase && summaryOf(*request).position <= summary.position)
        update.operators = encodedTransfer(*request);
    return update;
}

/** Of the sender. One of an earlier version names its offset only, and counts as equal in the rest. */
operator_summary control_loop::summaryOf(const gossip_update& update) const
{
    if (update.era)
        return { { *update.era, update.offset }, update.version, update.evacuations };
    auto summary = m_controller.summary();
    summary.position.offset = update.offset;
    return summary;
}

/** Encodes the operator state for the sender of \p request. */
const std::string& control_loop::encodedTransfer(const gossip_update& request)
{
    const auto& operators = m_controller.operators();
    auto base = *request.documentBase;
    auto document = m_controller.documentFingerprint();
    auto evacuations = operators.evacuations.fingerprint();
    bool needsDocument = base != document && request.version < m_controller.version();
    bool isSame = m_lastTransfer.position == operators.position && m_lastTransfer.document == document
        && m_lastTransfer.evacuations == evacuations && m_lastTransfer.base == base
        && m_lastTransfer.hasDocument == needsDocument;
    if (isSame)
        return m_lastTransfer.bytes;
    operator_transfer transfer { operators.position, operators.evacuations, operators.followed };
    const auto* delta = needsDocument ? m_controller.deltaFrom(base) : nullptr;
    if (delta)
        transfer.delta = *delta;
    else if (needsDocument)
        transfer.document = operators.document;
    m_lastTransfer = { operators.position, document, evacuations, base, needsDocument,
        encodeOperatorTransfer(transfer) };
    return m_lastTransfer.bytes;
}

std::optional<std::string> control_loop::transferredDocument(operator_transfer& transfer) const
{
    const auto& present = m_controller.operators().document;
    if (transfer.document)
        return std::move(transfer.document);
    return transfer.delta ? applyDocumentDelta(present, *transfer.delta) : present;
}

void control_loop::applyTransfer(std::string_view bytes, const std::string& source, instant startedAt)
{
    auto transfer = decodeOperatorTransfer(bytes);
    if (!transfer) {
        m_log.write(event_priority::failure, "gossip_unreadable", {}, { { "peer", source } });
        return;
    }
    recordTransfer(transfer->document ? "peer" : "peer_delta", bytes.size(), startedAt);
    if (transfer->evacuatedOnly)
        transfer->position.era = m_controller.operators().position.era;
    if (transfer->position < m_controller.operators().position)
        return;
    auto document = transferredDocument(*transfer);
    if (!document) {
        m_log.write(event_priority::failure, "configuration_delta_unusable", {}, { { "peer", source } });
        return; // The document has changed since the request.
    }
    bool isChanged = false;
    if (transfer->evacuatedOnly) {
        operator_snapshot snapshot { transfer->position, std::move(*document), {} };
        for (const auto& each : *transfer->evacuatedOnly)
            snapshot.evacuated.emplace(each, std::max<std::uint64_t>(snapshot.end.offset, 1) - 1);
        isChanged = m_controller.applySnapshot(snapshot);
    } else {
        isChanged = m_controller.mergeState(
            { transfer->position, std::move(*document), transfer->evacuations, transfer->followed });
    }
    if (!isChanged)
        return;
    m_log.write(event_priority::always, "configuration_from_peer", {},
        { { "peer", source }, { "era", transfer->position.era }, { "position", transfer->position.offset },
            { "version", m_controller.version() } });
    spreadState();
}

void control_loop::applyGossip(const gossip_update& update)
{
    if (update.era)
        recordEra(*update.era, "peer");
    if (update.contactAge)
        m_readerDuty.recordContact(m_hooks.clock().monotonic - *update.contactAge);
    mergeAnnouncements(update.announcements);
    if (update.unreadableAnnouncements > 0)
        m_log.write(event_priority::failure, "announcement_unreadable", {},
            { { "peer", update.from.text() },
                { "count", static_cast<std::uint64_t>(update.unreadableAnnouncements) } });
    auto changes = m_quarantine.addNotices(update.crashes, m_hooks.clock().monotonic);
    logQuarantineChanges(changes, update.from);
    if (!changes.isEmpty())
        spreadState();
}

void control_loop::recordCrash(const std::vector<interrupted_request>& interrupted)
{
    for (const auto& each : interrupted) {
        m_log.write(event_priority::always, "request_suspect", each.id,
            { { "fingerprint", each.run.fingerprint }, { "backend", each.run.backend.text() },
                { "ran", each.run.crashedAt - each.run.startedAt } });
        logQuarantineChanges(m_quarantine.recordCrash(each.run, m_hooks.clock().monotonic), m_self.node);
    }
    spreadState();
}

void control_loop::recordResponse(request_fingerprint fingerprint)
{
    auto changes = m_quarantine.recordResponse(fingerprint, m_hooks.clock().monotonic);
    logQuarantineChanges(changes, m_self.node);
    if (!changes.isEmpty())
        spreadState();
}

void control_loop::logQuarantineChanges(const quarantine_changes& changes, const node_id& source)
{
    for (auto fingerprint : changes.quarantined)
        m_log.write(event_priority::always, "request_quarantined", {},
            { { "fingerprint", fingerprint }, { "source", source.text() } });
    for (auto fingerprint : changes.lifted)
        m_log.write(event_priority::always, "quarantine_lifted", {},
            { { "fingerprint", fingerprint }, { "source", source.text() } });
}

std::optional<peer_message> control_loop::handleGossip(const peer_message& request)
{
    auto update = decodeGossip(request);
    if (!update) {
        m_log.write(event_priority::failure, "gossip_unreadable", {}, {});
        return std::nullopt;
    }
    applyGossip(*update);
    auto response = encodeGossip(makeGossip(&*update));
    const auto* sender = m_controller.announcements().find(update->from);
    if (sender && m_controller.isBehind(summaryOf(*update)))
        requestOperatorState(sender->endpoint);
    return response;
}

void control_loop::leave(std::function<void()> done)
{
    m_self.hasLeft = true;
    ++m_self.revision;
    mergeAnnouncements({ m_self });
    for (const auto& endpoint : selectGossipPeers())
        gossipWith(endpoint);
    m_store.announce(
        m_self, [done = std::move(done)](tl::expected<std::monostate, store_failure>) { done(); });
}

} // namespace pomelohub
