/** \file
 * Defines fleet_forwarder, which forwards a request that passed the filters: it chooses a backend server,
 * sends the request to its sidecar node, and retries at other backend servers where that is safe.
 */
#pragma once

#include "backend_host.h"
#include "control_state.h"
#include "load_balancer.h"
#include "peer_client.h"
#include "retry_policy.h"

namespace pomelohub {

/** Parameters of forwarding one request. */
struct forward_request {
    service_id service;
    bool isIdempotent = false;
    std::string requestId;
};

struct forwarder_dependencies {
    control_state& state; ///< Only the thread-safe members are used.
    handle<backend_host> host;
    handle<peer_client> peers;
    clock_hook clock;
    decision_hook onDecision;
    load_balancing_policy loadBalancing;
    data_centre_id home;
    std::function<void()> onRetry;
    /** The call of a backend server failed after the request may have reached it, so that the request may
     * have crashed the backend server. */
    std::function<void(request_fingerprint fingerprint, const backend_server_id& backend, instant startedAt,
        const std::string& requestId)>
        onCrash;
    /** A request that was suspected of crashing backend servers received a response. */
    std::function<void(request_fingerprint fingerprint)> onCleared;
};

/** Thread safety: any thread. Never blocks. */
class fleet_forwarder : public ref_counted<fleet_forwarder> {
public:
    fleet_forwarder(forwarder_dependencies dependencies, retry_policy policy);

    /** Completes \p outer with the response of a backend server or with a refusal. */
    void forward(const handle<exchange>& outer, forward_request request);

private:
    struct attempt_state : ref_counted<attempt_state> {
        handle<exchange> outer;
        forward_request request;
        std::vector<backend_server_id> tried;
        std::uint32_t attempts = 0;
        handle<backend_stats> stats; ///< Of the backend server of the current attempt.
        std::string backend;
        instant sentAt {};
    };

    void startAttempt(const handle<attempt_state>& state);
    void send(const handle<attempt_state>& state, const backend_entry& target);
    void handleOutcome(const handle<attempt_state>& state, const handle<exchange>& inner);
    void handleResponse(const handle<attempt_state>& state, response_head head);
    void handleFailure(const handle<attempt_state>& state, const request_error& why);
    void recordDecision(const attempt_state& state, std::string outcome, std::string reason) const;

    forwarder_dependencies m_dependencies;
    retry_policy m_policy;
    retry_budget m_budget;
};

} // namespace pomelohub
