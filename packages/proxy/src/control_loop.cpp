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
    , m_followTimer(context)
    , m_announceTimer(context)
    , m_listTimer(context)
    , m_gossipTimer(context)
    , m_followDelay(policy.firstRetry)
    , m_announceDelay(policy.firstRetry)
    , m_listDelay(policy.firstListInterval)
{
}

void control_loop::start()
{
    m_controller.takeAnnouncements({ m_self });
    readOperators();
    announce();
    gossip();
}

void control_loop::retryLater(asio::steady_timer& timer, duration& delay, std::function<void()> what)
{
    // Half of the delay is random, so that nodes that lost the store together do not return together.
    timer.expires_after(drawBetween(delay / 2, delay));
    delay = std::min<duration>(delay * 2, m_policy.longestRetry);
    timer.async_wait([what = std::move(what)](std::error_code error) {
        if (!error)
            what();
    });
}

void control_loop::noteStore(bool isAnswered, std::string_view call)
{
    m_metrics.noteStoreCall(isAnswered);
    if (m_isStoreLost != isAnswered)
        return;
    m_isStoreLost = !isAnswered;
    m_log.write(event_weight::always, isAnswered ? "store_regained" : "store_lost", {}, { { "call", call } });
}

void control_loop::readOperators()
{
    m_store.readOperators([this](tl::expected<operator_state, store_failure> state) {
        noteStore(state.has_value(), "read_operators");
        if (!state) {
            retryLater(m_followTimer, m_followDelay, [this] { readOperators(); });
            return;
        }
        m_followDelay = m_policy.firstRetry;
        m_controller.takeState(*state);
        follow();
    });
}

duration control_loop::drawBetween(duration shortest, duration longest)
{
    auto range = std::chrono::duration_cast<std::chrono::microseconds>(longest - shortest).count();
    auto drawn = m_hooks.random(static_cast<std::uint64_t>(range) + 1);
    return shortest + std::chrono::microseconds(static_cast<std::int64_t>(drawn));
}

duration control_loop::nextFollowWait()
{
    constexpr std::uint64_t steps = 1024;
    auto nodes = static_cast<double>(m_controller.snapshot()->nodes.size());
    bool isEarly = static_cast<double>(m_hooks.random(steps)) * nodes < m_policy.earlyReaders * steps;
    return isEarly ? drawBetween(m_policy.shortestEarlyWait, m_policy.longestEarlyWait) : m_policy.followWait;
}

void control_loop::followAfterPause()
{
    m_followTimer.expires_after(drawBetween(duration::zero(), m_policy.longestChangePause));
    m_followTimer.async_wait([this](std::error_code error) {
        if (!error)
            follow();
    });
}

void control_loop::follow()
{
    auto from = m_controller.operators().position;
    m_store.followOperators(
        from, nextFollowWait(), [this, from](tl::expected<operator_changes, store_failure> read) {
            noteStore(read.has_value() || read.error() == store_failure::historyGone, "follow_operators");
            if (!read && read.error() == store_failure::historyGone) {
                readOperators();
                return;
            }
            if (!read) {
                retryLater(m_followTimer, m_followDelay, [this] { follow(); });
                return;
            }
            m_followDelay = m_policy.firstRetry;
            // News from another node may have gone further meanwhile; then these records are known.
            if (m_controller.operators().position == from)
                m_controller.takeChanges(read->changes, read->position);
            if (read->changes.empty())
                follow();
            else
                followAfterPause();
        });
}

void control_loop::announce()
{
    m_store.announce(m_self, [this](tl::expected<std::monostate, store_failure> written) {
        noteStore(written.has_value(), "announce");
        if (!written) {
            retryLater(m_announceTimer, m_announceDelay, [this] { announce(); });
            return;
        }
        readAnnouncements();
    });
}

void control_loop::readAnnouncements()
{
    m_store.readAnnouncements([this](tl::expected<std::vector<instance_announcement>, store_failure> all) {
        noteStore(all.has_value(), "read_announcements");
        if (all)
            m_controller.takeAnnouncements(*all);
        m_listTimer.expires_after(
            all ? std::exchange(m_listDelay, m_policy.listInterval) : m_policy.longestRetry);
        m_listTimer.async_wait([this](std::error_code error) {
            if (!error)
                readAnnouncements();
        });
    });
}

std::vector<std::string> control_loop::gossipTargets()
{
    std::vector<std::string> known;
    for (const auto& each : m_controller.announcements().present()) {
        if (each.node != m_self.node)
            known.push_back(each.endpoint);
    }
    if (known.empty())
        known = m_seeds;
    std::vector<std::string> chosen;
    while (!known.empty() && chosen.size() < m_policy.gossipPeers) {
        auto at = static_cast<std::ptrdiff_t>(m_hooks.random(known.size()));
        chosen.push_back(known[static_cast<std::size_t>(at)]);
        known.erase(known.begin() + at);
    }
    return chosen;
}

void control_loop::gossip()
{
    for (const auto& endpoint : gossipTargets())
        gossipWith(endpoint);
    m_gossipTimer.expires_after(m_policy.gossipInterval);
    m_gossipTimer.async_wait([this](std::error_code error) {
        if (!error)
            gossip();
    });
}

void control_loop::gossipWith(const std::string& endpoint)
{
    m_hooks.ask(endpoint, encodeGossip(makeNews(nullptr)), m_policy.gossipTimeout,
        [this, endpoint](std::optional<peer_message> answer) {
            if (!answer)
                return; // The link says so itself.
            if (auto news = decodeGossip(*answer))
                takeNews(*news, endpoint);
            else
                m_log.write(event_weight::failure, "gossip_unreadable", {}, { { "peer", endpoint } });
        });
}

gossip_news control_loop::makeNews(const gossip_news* about) const
{
    gossip_news news;
    news.from = m_self.node;
    news.position = m_controller.operators().position;
    news.fingerprint = m_controller.announcements().fingerprint();
    news.quarantined = m_quarantine.notices(m_hooks.clock().monotonic);
    bool differs = about && about->fingerprint != news.fingerprint;
    if (!differs) {
        news.announcements = { m_self };
    } else {
        for (const auto& [node, each] : m_controller.announcements().all())
            news.announcements.push_back(each);
    }
    if (about && about->position < news.position && !m_controller.operators().document.empty())
        news.operators = m_controller.operators();
    return news;
}

void control_loop::takeNews(const gossip_news& news, const std::string& source)
{
    m_controller.takeAnnouncements(news.announcements);
    if (news.operators && m_controller.takeState(*news.operators)) {
        m_log.write(event_weight::always, "configuration_from_peer", {},
            { { "peer", source }, { "position", news.operators->position },
                { "version", m_controller.version() } });
    }
    if (!news.quarantined.empty())
        m_quarantine.take(news.quarantined, m_hooks.clock().monotonic);
}

std::optional<peer_message> control_loop::answer(const peer_message& question)
{
    auto news = decodeGossip(question);
    if (!news) {
        m_log.write(event_weight::failure, "gossip_unreadable", {}, {});
        return std::nullopt;
    }
    takeNews(*news, news->from.text());
    auto reply = encodeGossip(makeNews(&*news));
    // The sender knows more: ask it in turn.
    const auto* sender = m_controller.announcements().find(news->from);
    if (sender && news->position > m_controller.operators().position)
        gossipWith(sender->endpoint);
    return reply;
}

void control_loop::leave(std::function<void()> done)
{
    m_self.hasLeft = true;
    ++m_self.revision;
    m_controller.takeAnnouncements({ m_self });
    for (const auto& endpoint : gossipTargets())
        gossipWith(endpoint);
    m_store.announce(
        m_self, [done = std::move(done)](tl::expected<std::monostate, store_failure>) { done(); });
}

} // namespace pomelohub
