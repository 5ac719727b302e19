/** \file
 * Defines offer_race, which places a request by late binding: it waits in the queues of several backend
 * servers at once, and the first slot that is granted takes it. It answers loads near the capacity of a
 * service with many entries, where each entry knows too little of the servers to find the one with room.
 */
#pragma once

#include "backend_selector.h"

namespace pomelohub {

struct offer_race_policy {
    peer_choice_policy choice;
    std::uint32_t parallelOffers = 2; ///< Offers that wait at once from the start.
    /** Maximum number of offers that wait at once. */
    std::uint32_t maxOffers = 4;
    /** Another offer is added when none has been granted for this long: several trips between nodes, and
     * short against the time that a request runs. */
    duration addInterval = std::chrono::milliseconds(150);
    /** Maximum time from the arrival of a request to the start of its run, as a fraction of the target
     * latency. With longer queues, all answers of an overloaded service would be late. */
    double maxWaitFraction = 0.7;
    /** Maximum number of refused offers; more servers that are as busy tell nothing new. */
    std::uint32_t maxRefusals = 4;
    /** Of the servers that get offers. As for an idle slot: others have room, too. */
    failure_risk_limit maxFailureRisk { 0.10, 0.2 };
    /** How much longer an answer may take in the own data centre for each kilobyte of the request's body: a
     * body occupies the links between data centres, which all requests share. */
    duration crossDataCentrePenaltyPerKilobyte = std::chrono::milliseconds(10);
};

/** The inputs of one decision, besides what offer_race remembers of earlier offers. */
struct offer_input {
    selection_input selection;
    duration waited {}; ///< Since the arrival of the request.
    std::size_t bodyBytes = 0; ///< Of the request.
};

/** The offers of one request. Thread safety: one thread at a time. */
class offer_race {
public:
    offer_race(offer_race_policy policy, data_centre_id ownDataCentre);

    /** Selects the server of the next offer, which then counts as waiting. \return nothing when no offer is
     * to be made now: enough of them wait, one was committed, no server is eligible, or the request has
     * waited or was refused too often. */
    std::optional<backend_selection> next(
        const offer_input& input, const choice_random_hook& random, instant now);

    /** Decides on a grant by \p node. \return whether the request goes there; otherwise the slot must be
     * given back, since another one has been taken. The other offers are then to be cancelled and end here.
     */
    bool tryCommit(const node_id& node);

    /** The offer to \p node was refused. */
    void recordRefusal(const node_id& node);

    /** The offer to \p node ended without an answer: it was cancelled, or its link is unresponsive. */
    void recordLoss(const node_id& node);

    /** The attempt that was committed has ended without an answer for the caller, so that the request may be
     * offered again, but not to the same server. */
    void reopen();

    bool isCommitted() const { return m_committed.has_value(); }

    /** Whether any server has refused the request. */
    bool wasRefused() const { return m_refusals > 0; }

private:
    bool mayAdd(instant now) const;

    offer_race_policy m_policy;
    data_centre_id m_ownDataCentre;
    std::vector<node_id> m_tried;
    std::vector<node_id> m_waiting;
    std::optional<node_id> m_committed;
    instant m_lastOfferAt {};
    std::uint32_t m_refusals = 0;
};

} // namespace pomelohub
