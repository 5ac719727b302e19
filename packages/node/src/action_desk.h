/** \file
 * Defines action_desk, which decides whether a request with an idempotency key runs, is answered from the
 * store or is refused. A retry that arrives while the first run is in progress waits for its end.
 */
#pragma once

#include "idempotency_store.h"

#include <map>

namespace pomelohub {

/** Whether this node is the authority for a slot at the given time. */
using is_slot_authority_hook = std::function<bool(slot_index slot, instant now)>;

/** Receives the decision about an action: at once, or after the run in progress has ended. */
using action_hook = std::function<void(result<idempotency_decision>)>;

/** Thread safety: one thread at a time. */
class action_desk {
public:
    action_desk(idempotency_policy policy, is_slot_authority_hook isSlotAuthority);

    void begin(const action_key& key, const digest& request, const present& now, action_hook done);
    void finish(const action_key& key, stored_response answer, const present& now);
    void forget(const action_key& key, const present& now);
    void markUnknown(const action_key& key, const present& now);

    /** See idempotency_store::startSlot(). */
    void startSlot(slot_index slot, wall_time since) { m_store.startSlot(slot, since); }
    void trim(wall_time now) { m_store.trim(now); }
    std::size_t size() const { return m_store.size(); }

private:
    struct waiting_action {
        digest request {};
        action_hook done;
    };

    void retryWaiting(const action_key& key, const present& now);

    idempotency_store m_store;
    is_slot_authority_hook m_isSlotAuthority;
    std::map<action_key, std::vector<waiting_action>> m_waiting;
};

} // namespace pomelohub
