/** \file
 * Defines backend_search, the order in which an entry offers one request to backend servers. It answers loads
 * near and above the capacity of a service, and services of which many servers fail: an idle slot comes
 * before a wait, a short wait before a server that fails a part of its requests, and that before a long wait.
 */
#pragma once

#include "outcome_judge.h"
#include "peer_choice.h"

namespace pomelohub {

struct search_policy {
    peer_choice_policy choice;
    /** Longest wait for a slot while another server may be idle; about ten trips between nodes. */
    duration idlePatience = std::chrono::milliseconds(20);
    std::uint32_t idleTries = 4; ///< Servers asked for an idle slot before the shortest wait decides.
    /** Of the objective: a longer wait makes an answer late more often than a server that fails some requests
     * loses it. */
    double shortWaitShare = 0.3;
    /** Of the objective: with longer queues an overloaded service would answer everybody late. */
    double longWaitShare = 0.7;
    std::uint32_t mostRefusals = 12; ///< Refusals that reached no backend server; bounds the work.
};

/** What the search looks at besides what it remembers. */
struct search_view {
    std::span<const handle<peer_state>> candidates; ///< Nodes beside the service's servers.
    const std::set<data_centre_id>& evacuated;
    repeat_rule repeats = repeat_rule::idempotent; ///< Whether a failure could be made good.
    duration objective {}; ///< Time within which an answer is of full use.
    duration left {}; ///< Until the caller gives up.
};

/** Where the request goes next. */
struct search_step {
    handle<peer_state> peer;
    duration patience {}; ///< Longest wait for a slot there.
    suspect_rule suspects = suspect_rule::trialsOnly;
};

/** Thread safety: one thread at a time. */
class backend_search {
public:
    backend_search(search_policy policy, data_centre_id ownDataCentre);

    /** \return the next step, or nothing when no server is left or enough have refused. The step counts as
     * taken. */
    std::optional<search_step> next(const search_view& view, const choice_random_hook& random, instant now);

    /** A server beside the one that has the request, or null. */
    handle<peer_state> second(const search_view& view, const choice_random_hook& random, instant now);

    /** \p peer refused before its backend server had the request. \param wait announced for a slot, or zero
     * where a wait would not help. */
    void noteRefused(const handle<peer_state>& peer, duration wait);

    /** The backend server beside \p node had the request: it is not chosen again. */
    void noteReached(const node_id& node);

    /** Whether a backend server had the request. */
    bool hasReached() const { return !m_reached.empty(); }

private:
    enum class stage {
        idleSlot,
        shortWait,
        suspect,
        longWait,
    };
    struct waiting_peer {
        handle<peer_state> peer;
        duration wait {};
    };

    handle<peer_state> choose(
        const search_view& view, bool includeAvoided, const choice_random_hook& random, instant now) const;
    suspect_rule rulePresently(const search_view& view, instant now) const;
    handle<peer_state> takeShortestWait(const search_view& view, duration longest, instant now);
    search_step takeStep(const search_view& view, const choice_random_hook& random, instant now);
    void enterNextStage();

    search_policy m_policy;
    data_centre_id m_ownDataCentre;
    stage m_stage = stage::idleSlot;
    std::uint32_t m_idleTries = 0;
    std::uint32_t m_refusals = 0;
    bool m_hasTriedSuspect = false; ///< One trial a request: refused ones would use up its attempts.
    std::vector<node_id> m_tried;
    std::vector<node_id> m_reached;
    std::vector<waiting_peer> m_waits;
};

} // namespace pomelohub
