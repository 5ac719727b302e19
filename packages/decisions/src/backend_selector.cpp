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
        { m_ownDataCentre, m_tried, view.retryRule, preferredRisk(view),
            m_hasBeenTrial ? trial_rule::never : trialRule(view), includeUnhealthy },
        m_policy.choice, random, now);
}

/** While other servers may be idle, there is no need to risk a request that a failure loses. */
trial_rule backend_selector::trialRule(const selection_input& view) const
{
    if (view.retryRule == retry_rule::idempotent)
        return trial_rule::always;
    return m_stage == stage::idleSlot ? trial_rule::never : trial_rule::afterFailures;
}

backend_selection backend_selector::makeSelection(
    handle<peer_state> peer, duration maxQueueTime, const selection_input& view) const
{
    return { std::move(peer), maxQueueTime, preferredRisk(view), trialRule(view) };
}

double backend_selector::preferredRisk(const selection_input& view) const
{
    return (m_stage == stage::idleSlot ? m_policy.idleStageRisk : m_policy.preferredRisk).of(view.retryRule);
}

/** When all servers of a service fail, their risks do not tell them apart. */
double backend_selector::lastResortRisk(const selection_input& view, instant now) const
{
    auto limit = m_policy.lastResortRisk.of(view.retryRule);
    bool hasOther = std::any_of(view.candidates.begin(), view.candidates.end(),
        [&](const auto& each) { return isHealthyPeer(*each, view.evacuated, preferredRisk(view), now); });
    return hasOther ? limit : 1;
}

handle<peer_state> backend_selector::takeShortestWait(
    const selection_input& view, duration maxWaitAllowed, instant now)
{
    std::erase_if(m_waitingPeers, [&](const waiting_peer& each) {
        bool isCandidate
            = std::find(view.candidates.begin(), view.candidates.end(), each.peer) != view.candidates.end();
        return !isCandidate || !isHealthyPeer(*each.peer, view.evacuated, preferredRisk(view), now);
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
            return makeSelection(choosePeerFor(view, false, random, now),
                std::min(view.timeLeft, m_policy.maxIdleStageWait), view);
        return {};
    case stage::shortWait: {
        auto wait = maxWait(view, m_policy.shortWaitFraction);
        if (auto peer = takeShortestWait(view, wait, now))
            return makeSelection(peer, wait, view);
        return makeSelection(choosePeerFor(view, false, random, now), wait, view);
    }
    case stage::atRisk: {
        auto selection = makeSelection(
            choosePeerFor(view, true, random, now), maxWait(view, m_policy.longWaitFraction), view);
        selection.maxFailureRisk = lastResortRisk(view, now);
        return selection;
    }
    case stage::longWait: {
        auto wait = maxWait(view, m_policy.longWaitFraction);
        return makeSelection(takeShortestWait(view, wait, now), wait, view);
    }
    }
    return {};
}

void backend_selector::enterNextStage()
{
    m_stage = static_cast<stage>(static_cast<int>(m_stage) + 1);
    // Servers that refused for their risk or were avoided may be tried once more.
    if (m_stage == stage::atRisk)
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
            m_hasBeenTrial = m_hasBeenTrial || selection.peer->failureRisk(now) > selection.maxFailureRisk;
            m_tried.push_back(selection.peer->announcement.node);
            return selection;
        }
        if (m_stage == stage::longWait)
            return std::nullopt;
        enterNextStage();
    }
}

std::optional<backend_selection> backend_selector::selectHedge(
    const selection_input& view, duration maxQueueTime, const choice_random_hook& random, instant now)
{
    auto peer = choosePeerFor(view, false, random, now);
    if (!peer)
        return std::nullopt;
    m_tried.push_back(peer->announcement.node);
    return makeSelection(peer, maxQueueTime, view);
}

void backend_selector::recordRefusal(const handle<peer_state>& peer, duration wait)
{
    ++m_refusals;
    if (wait > duration::zero())
        m_waitingPeers.push_back({ peer, wait });
}

void backend_selector::recordReached(const node_id& node) { m_reached.push_back(node); }

} // namespace pomelohub
