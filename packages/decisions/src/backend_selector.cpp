#include "backend_selector.h"

#include <algorithm>

namespace pomelohub {

namespace {

    duration maxWait(const selection_input& view, double targetFraction)
    {
        return std::min(view.timeLeft, scaled(view.targetLatency, targetFraction));
    }

} // namespace

backend_selector::backend_selector(backend_selector_policy policy, data_centre_id ownDataCentre)
    : m_policy(policy)
    , m_ownDataCentre(std::move(ownDataCentre))
{
}

handle<peer_state> backend_selector::choosePeerFor(
    const selection_input& view, bool includeUnhealthy, const choice_random_hook& random, instant now) const
{
    return choosePeer(view.candidates, view.evacuated,
        { m_ownDataCentre, m_tried, view.retryRule, !m_hasTriedSuspect, includeUnhealthy }, m_policy.choice,
        random, now);
}

suspect_rule backend_selector::currentSuspectRule(const selection_input& view, instant now) const
{
    bool hasHealthyPeer = std::any_of(view.candidates.begin(), view.candidates.end(),
        [&](const auto& each) { return isHealthyPeer(*each, view.evacuated, now); });
    return hasHealthyPeer ? suspect_rule::failingInPart : suspect_rule::any;
}

handle<peer_state> backend_selector::takeShortestWait(
    const selection_input& view, duration maxWaitAllowed, instant now)
{
    std::erase_if(m_waitingPeers, [&](const waiting_peer& each) {
        bool isCandidate
            = std::find(view.candidates.begin(), view.candidates.end(), each.peer) != view.candidates.end();
        return !isCandidate || !isHealthyPeer(*each.peer, view.evacuated, now);
    });
    auto shortest = std::min_element(m_waitingPeers.begin(), m_waitingPeers.end(),
        [](const waiting_peer& left, const waiting_peer& right) { return left.wait < right.wait; });
    if (shortest == m_waitingPeers.end() || shortest->wait > maxWaitAllowed)
        return nullptr;
    auto peer = shortest->peer;
    m_waitingPeers.erase(shortest);
    return peer;
}

backend_selection backend_selector::selectInStage(
    const selection_input& view, const choice_random_hook& random, instant now)
{
    switch (m_stage) {
    case stage::idleSlot:
        if (m_idleAttempts++ < m_policy.maxIdleAttempts)
            return { choosePeerFor(view, false, random, now),
                std::min(view.timeLeft, m_policy.maxIdleStageWait) };
        return {};
    case stage::shortWait: {
        auto wait = maxWait(view, m_policy.shortWaitFraction);
        if (auto peer = takeShortestWait(view, wait, now))
            return { peer, wait };
        return { choosePeerFor(view, false, random, now), wait };
    }
    case stage::suspect:
        return { choosePeerFor(view, true, random, now), maxWait(view, m_policy.longWaitFraction),
            currentSuspectRule(view, now) };
    case stage::longWait: {
        auto wait = maxWait(view, m_policy.longWaitFraction);
        return { takeShortestWait(view, wait, now), wait };
    }
    }
    return {};
}

void backend_selector::enterNextStage()
{
    m_stage = static_cast<stage>(static_cast<int>(m_stage) + 1);
    // Servers that refused as suspect or avoided may be tried once more.
    if (m_stage == stage::suspect)
        m_tried = m_reached;
}

std::optional<backend_selection> backend_selector::select(
    const selection_input& view, const choice_random_hook& random, instant now)
{
    if (m_refusals >= m_policy.maxRefusals)
        return std::nullopt;
    for (;;) {
        auto selection = selectInStage(view, random, now);
        if (selection.peer) {
            m_hasTriedSuspect = m_hasTriedSuspect || selection.peer->isSuspect();
            m_tried.push_back(selection.peer->announcement.node);
            return selection;
        }
        if (m_stage == stage::longWait)
            return std::nullopt;
        enterNextStage();
    }
}

handle<peer_state> backend_selector::selectHedge(
    const selection_input& view, const choice_random_hook& random, instant now)
{
    auto peer = choosePeerFor(view, false, random, now);
    if (peer)
        m_tried.push_back(peer->announcement.node);
    return peer;
}

void backend_selector::recordRefusal(const handle<peer_state>& peer, duration wait)
{
    ++m_refusals;
    if (wait > duration::zero())
        m_waitingPeers.push_back({ peer, wait });
}

void backend_selector::recordReached(const node_id& node) { m_reached.push_back(node); }

} // namespace pomelohub
