#include "offer_race.h"

#include <algorithm>

namespace pomelohub {

offer_race::offer_race(offer_race_policy policy, data_centre_id ownDataCentre)
    : m_policy(policy)
    , m_ownDataCentre(std::move(ownDataCentre))
{
}

bool offer_race::mayAdd(instant now) const
{
    if (m_committed || m_refusals >= m_policy.maxRefusals || m_waiting.size() >= m_policy.maxOffers)
        return false;
    return m_waiting.size() < m_policy.parallelOffers || now - m_lastOfferAt >= m_policy.addInterval;
}

std::optional<backend_selection> offer_race::next(
    const offer_input& input, const choice_random_hook& random, instant now)
{
    if (!mayAdd(now))
        return std::nullopt;
    const auto& view = input.selection;
    auto maxWait
        = std::min(view.timeLeft, scaled(view.targetLatency, m_policy.maxWaitFraction) - input.waited);
    if (maxWait <= duration::zero())
        return std::nullopt;
    constexpr double bytesPerKilobyte = 1024;
    auto choice = m_policy.choice;
    choice.crossDataCentrePenalty += scaled(
        m_policy.crossDataCentrePenaltyPerKilobyte, static_cast<double>(input.bodyBytes) / bytesPerKilobyte);
    auto maxRisk = m_policy.maxFailureRisk.of(view.retryRule);
    // Only the first offer may be a trial, so that the others wait at servers that are likely sound.
    auto trialRule = m_tried.empty() && view.retryRule == retry_rule::idempotent ? trial_rule::always
                                                                                 : trial_rule::never;
    auto peer = choosePeer(view.candidates, view.evacuated,
        { m_ownDataCentre, m_tried, view.retryRule, maxRisk, trialRule, false }, choice, random, now);
    if (!peer)
        return std::nullopt;
    m_tried.push_back(peer->announcement.node);
    m_waiting.push_back(peer->announcement.node);
    m_lastOfferAt = now;
    return backend_selection { std::move(peer), maxWait, maxRisk, trialRule };
}

bool offer_race::tryCommit(const node_id& node)
{
    std::erase(m_waiting, node);
    if (m_committed)
        return false;
    m_committed = node;
    m_waiting.clear();
    return true;
}

void offer_race::recordRefusal(const node_id& node)
{
    std::erase(m_waiting, node);
    ++m_refusals;
}

void offer_race::recordLoss(const node_id& node) { std::erase(m_waiting, node); }

void offer_race::reopen()
{
    // Servers whose offers were cancelled by the commitment may be asked again.
    if (m_committed)
        m_tried = { *m_committed };
    m_committed.reset();
    m_refusals = 0;
}

} // namespace pomelohub
