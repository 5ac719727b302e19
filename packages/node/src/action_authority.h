/** \file
 * Defines action_authority, which executes requests that carry an idempotency key. It runs on the node that
 * holds the key's slot. Each such request runs at most once; a retry of it receives the stored response.
 */
#pragma once

#include "control_plane.h"
#include "fleet_forwarder.h"

namespace pomelohub {

/** Thread safety: any thread. Never blocks. */
class action_authority : public ref_counted<action_authority> {
public:
    action_authority(handle<control_plane> control, handle<fleet_forwarder> forwarder, clock_hook clock,
        decision_hook onDecision);

    /** Runs \p outer or replays its stored response. A body that fits the rewind limit is read first, because
     * a retry must have the same body. Precondition: the request carries the action, organisation and service
     * headers. */
    void submit(const handle<exchange>& outer);

private:
    struct running_action;

    void begin(const handle<exchange>& outer, const std::string& body);
    void handleDecision(
        const handle<exchange>& outer, const action_key& key, result<idempotency_decision> decision);
    void run(const handle<exchange>& outer, const action_key& key);
    static void replay(const handle<exchange>& outer, const stored_response& answer);
    void recordDecision(const exchange& outer, std::string outcome, std::string reason) const;

    handle<control_plane> m_control;
    handle<fleet_forwarder> m_forwarder;
    clock_hook m_clock;
    decision_hook m_onDecision;
};

} // namespace pomelohub
