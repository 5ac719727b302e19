/** \file
 * Defines fleet_forwarder, which carries a request that passed the filters to a backend server: it chooses
 * one, sends the request to the node beside it, and tries others as far as that is safe.
 */
#pragma once

#include "backend_host.h"
#include "control_state.h"
#include "load_balancer.h"
#include "peer_client.h"
#include "retry_policy.h"

namespace pomelohub {

/** What is needed to forward one request. */
struct forward_request {
    service_id service;
    bool isIdempotent = false;
    std::string requestId;
};

struct forwarder_parts {
    control_state& state; ///< Only its parts that any thread may use.
    handle<backend_host> host;
    handle<peer_client> peers;
    clock_hook clock;
    decision_hook decided;
    load_balancing_policy chooser;
    data_centre_id home;
    std::function<void()> retried;
    /** A backend server ended while it ran a request. */
    std::function<void(
        request_fingerprint fingerprint, const backend_server_id& backend, const std::string& requestId)>
        crashed;
    /** A request that was suspect of crashing backend servers was answered. */
    std::function<void(request_fingerprint fingerprint)> cleared;
};

/** Thread safety: any thread. Never blocks. */
class fleet_forwarder : public ref_counted<fleet_forwarder> {
public:
    fleet_forwarder(forwarder_parts parts, retry_policy policy);

    /** Settles \p outer with the answer of a backend server or a refusal. */
    void forward(const handle<exchange>& outer, forward_request request);

private:
    struct attempt_state : ref_counted<attempt_state> {
        handle<exchange> outer;
        forward_request request;
        std::vector<backend_server_id> tried;
        std::uint32_t attempts = 0;
        handle<backend_stats> stats; ///< Of the present try.
        std::string backend;
        instant sentAt {};
    };

    void tryNext(const handle<attempt_state>& state);
    void send(const handle<attempt_state>& state, const backend_entry& target);
    void ended(const handle<attempt_state>& state, const handle<exchange>& inner);
    void answered(const handle<attempt_state>& state, response_head head);
    void failed(const handle<attempt_state>& state, const request_error& why);
    void note(const attempt_state& state, std::string outcome, std::string reason) const;

    forwarder_parts m_parts;
    retry_policy m_policy;
    retry_budget m_budget;
};

} // namespace pomelohub
