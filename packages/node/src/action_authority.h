/** \file
 * Defines action_authority, which carries keyed requests at the node that holds their slot: each runs at most
 * once, and repeats get its first answer.
 */
#pragma once

#include "control_plane.h"
#include "fleet_forwarder.h"

namespace pomelohub {

/** Thread safety: any thread. Never blocks. */
class action_authority : public ref_counted<action_authority> {
public:
    action_authority(handle<control_plane> control, handle<fleet_forwarder> forwarder, clock_hook clock,
        decision_hook decided);

    /** Settles \p asked. A short body is read first, since a repeat must have the same one. Precondition: it
     * carries the action, organisation and service headers. */
    void submit(const handle<exchange>& asked);

private:
    struct running_action;

    void begin(const handle<exchange>& asked, const std::string& body);
    void decided(const handle<exchange>& asked, const action_key& key, result<idempotency_decision> decision);
    void run(const handle<exchange>& asked, const action_key& key);
    static void replay(const handle<exchange>& asked, const stored_response& answer);
    void note(const exchange& asked, std::string outcome, std::string reason) const;

    handle<control_plane> m_control;
    handle<fleet_forwarder> m_forwarder;
    clock_hook m_clock;
    decision_hook m_decided;
};

} // namespace pomelohub
