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
    , m_pollRetryDelay(policy.initialRetryDelay)
    , m_announceRetryDelay(policy.initialRetryDelay)
    , m_nextListInterval(policy.initialListInterval)
{
}

void control_loop::start()
{
    m_controller.mergeAnnouncements({ m_self });
    readOperatorState();
    announce();
    gossip();
}

void control_loop::scheduleRetry(asio::steady_timer& timer, duration& delay, std::function<void()> operation)
{
    // Jitter over half of the delay keeps nodes that lost the store at the same time from retrying in step.
    timer.expires_after(randomDuration(delay / 2, delay));
    delay = std::min<duration>(delay * 2, m_policy.maxRetryDelay);
    timer.async_wait([operation = std::move(operation)](std::error_code error) {
        if (!error)
            operation();
    });
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
            { "position", m_controller.operators().position } });
}

void control_loop::readOperatorState()
{
    m_store.readOperatorState(
        [this, startedAt = m_hooks.clock().monotonic](tl::expected<operator_state, store_failure> state) {
            updateStoreStatus(state.has_value(), "read_operators");
            if (!state) {
                scheduleRetry(m_pollTimer, m_pollRetryDelay, [this] { readOperatorState(); });
                return;
            }
            m_pollRetryDelay = m_policy.initialRetryDelay;
            recordTransfer("snapshot", state->document.size(), startedAt);
            m_controller.applyState(*state);
            pollOperatorLog();
        });
}

duration control_loop::randomDuration(duration min, duration max)
{
    auto range = std::chrono::duration_cast<std::chrono::microseconds>(max - min).count();
    auto drawn = m_hooks.random(static_cast<std::uint64_t>(range) + 1);
    return min + std::chrono::microseconds(static_cast<std::int64_t>(drawn));
}

duration control_loop::nextPollTimeout()
{
    constexpr std::uint64_t resolution = 1024;
    auto nodes = static_cast<double>(m_controller.snapshot()->nodes.size());
    bool isShortPoll
        = static_cast<double>(m_hooks.random(resolution)) * nodes < m_policy.shortPollNodes * resolution;
    return isShortPoll ? randomDuration(m_policy.minShortPollTimeout, m_policy.maxShortPollTimeout)
                       : m_policy.longPollTimeout;
}

void control_loop::pollAfterDelay()
{
    m_pollTimer.expires_after(randomDuration(duration::zero(), m_policy.maxPollDelayAfterChange));
    m_pollTimer.async_wait([this](std::error_code error) {
        if (!error)
            pollOperatorLog();
    });
}

void control_loop::pollOperatorLog()
{
    auto from = m_controller.operators().position;
    m_store.pollOperatorChanges(from, nextPollTimeout(),
        [this, from, startedAt = m_hooks.clock().monotonic](
            tl::expected<operator_changes, store_failure> read) {
            updateStoreStatus(
                read.has_value() || read.error() == store_failure::recordsDeleted, "follow_operators");
            if (!read && read.error() == store_failure::recordsDeleted) {
                readOperatorState();
                return;
            }
            if (!read) {
                scheduleRetry(m_pollTimer, m_pollRetryDelay, [this] { pollOperatorLog(); });
                return;
            }
            m_pollRetryDelay = m_policy.initialRetryDelay;
            for (const auto& change : read->changes) {
                if (change.document)
                    recordTransfer("log", change.document->size(), startedAt);
            }
            // Gossip may have advanced the position during the poll; these records are then already applied.
            if (m_controller.operators().position == from)
                m_controller.applyChanges(read->changes, read->position);
            if (read->changes.empty())
                pollOperatorLog();
            else
                pollAfterDelay();
        });
}

void control_loop::announce()
{
    m_store.announce(m_self, [this](tl::expected<std::monostate, store_failure> written) {
        updateStoreStatus(written.has_value(), "announce");
        if (!written) {
            scheduleRetry(m_announceTimer, m_announceRetryDelay, [this] { announce(); });
            return;
        }
        readAnnouncements();
    });
}

void control_loop::readAnnouncements()
{
    m_store.readAnnouncements([this](tl::expected<std::vector<instance_announcement>, store_failure> all) {
        updateStoreStatus(all.has_value(), "read_announcements");
        if (all)
            m_controller.mergeAnnouncements(*all);
        m_listTimer.expires_after(
            all ? std::exchange(m_nextListInterval, m_policy.listInterval) : m_policy.maxRetryDelay);
        m_listTimer.async_wait([this](std::error_code error) {
            if (!error)
                readAnnouncements();
        });
    });
}

std::vector<std::string> control_loop::selectGossipPeers()
{
    std::vector<std::string> known;
    for (const auto& each : m_controller.announcements().active()) {
        if (each.node != m_self.node)
            known.push_back(each.endpoint);
    }
    if (known.empty())
        known = m_seeds;
    std::vector<std::string> chosen;
    while (!known.empty() && chosen.size() < m_policy.gossipFanout) {
        auto at = static_cast<std::ptrdiff_t>(m_hooks.random(known.size()));
        chosen.push_back(known[static_cast<std::size_t>(at)]);
        known.erase(known.begin() + at);
    }
    return chosen;
}

void control_loop::gossip()
{
    for (const auto& endpoint : selectGossipPeers())
        gossipWith(endpoint);
    m_gossipTimer.expires_after(m_policy.gossipInterval);
    m_gossipTimer.async_wait([this](std::error_code error) {
        if (!error)
            gossip();
    });
}

void control_loop::gossipWith(const std::string& endpoint)
{
    m_hooks.sendRequest(endpoint, encodeGossip(makeGossip(nullptr)), m_policy.gossipTimeout,
        [this, endpoint, startedAt = m_hooks.clock().monotonic](std::optional<peer_message> response) {
            if (!response)
                return; // The peer link logs its own failures.
            if (auto update = decodeGossip(*response); update && update->operators)
                recordTransfer("peer", update->operators->document.size(), startedAt);
            if (auto update = decodeGossip(*response))
                applyGossip(*update, endpoint);
            else
                m_log.write(event_priority::failure, "gossip_unreadable", {}, { { "peer", endpoint } });
        });
}

gossip_update control_loop::makeGossip(const gossip_update* request) const
{
    gossip_update update;
    update.from = m_self.node;
    update.position = m_controller.operators().position;
    update.fingerprint = m_controller.announcements().fingerprint();
    update.quarantined = m_quarantine.notices(m_hooks.clock().monotonic);
    bool differs = request && request->fingerprint != update.fingerprint;
    if (!differs) {
        update.announcements = { m_self };
    } else {
        for (const auto& [node, each] : m_controller.announcements().all())
            update.announcements.push_back(each);
    }
    if (request && request->position < update.position && !m_controller.operators().document.empty())
        update.operators = m_controller.operators();
    return update;
}

void control_loop::applyGossip(const gossip_update& update, const std::string& source)
{
    m_controller.mergeAnnouncements(update.announcements);
    if (update.operators && m_controller.applyState(*update.operators)) {
        m_log.write(event_priority::always, "configuration_from_peer", {},
            { { "peer", source }, { "position", update.operators->position },
                { "version", m_controller.version() } });
    }
    if (!update.quarantined.empty())
        m_quarantine.addNotices(update.quarantined, m_hooks.clock().monotonic);
}

std::optional<peer_message> control_loop::handleGossip(const peer_message& request)
{
    auto update = decodeGossip(request);
    if (!update) {
        m_log.write(event_priority::failure, "gossip_unreadable", {}, {});
        return std::nullopt;
    }
    applyGossip(*update, update->from.text());
    auto reply = encodeGossip(makeGossip(&*update));
    // The sender has newer operator state, so request it.
    const auto* sender = m_controller.announcements().find(update->from);
    if (sender && update->position > m_controller.operators().position)
        gossipWith(sender->endpoint);
    return reply;
}

void control_loop::leave(std::function<void()> done)
{
    m_self.hasLeft = true;
    ++m_self.revision;
    m_controller.mergeAnnouncements({ m_self });
    for (const auto& endpoint : selectGossipPeers())
        gossipWith(endpoint);
    m_store.announce(
        m_self, [done = std::move(done)](tl::expected<std::monostate, store_failure>) { done(); });
}

} // namespace pomelohub
