/** \file
 * Defines caller_front, which converts a caller's HTTP/1.1 request into an exchange and the outcome into an
 * HTTP response. It also limits the size of bodies, sends keyed requests to the node that holds their slot,
 * and ends streams whose API key was revoked. The filters and the forwarder make the other decisions.
 */
#pragma once

#include "action_authority.h"
#include "caller_listener.h"
#include "entry_filters.h"
#include "node_metrics.h"

namespace pomelohub {

struct caller_front_dependencies {
    const request_chain& chain;
    control_state& state; ///< Only the thread-safe members are used.
    handle<fleet_forwarder> forwarder;
    handle<action_authority> authority;
    handle<peer_client> peers;
    node_metrics& metrics;
    clock_hook clock;
    random_hook random;
    decision_hook onDecision;
    std::size_t maxBodyBytes = 0;
};

/** Thread safety: any thread. Blocks the calling thread for one request. */
class caller_front {
public:
    explicit caller_front(caller_front_dependencies dependencies);

    /** Registers the handlers of every method. */
    void attach(caller_listener& listener);

private:
    struct served_request;

    void serve(
        const httplib::Request& request, httplib::Response& response, const httplib::ContentReader* reader);
    void readContext(const httplib::Request& request, request_context& context) const;
    request_head makeHead(const httplib::Request& request, const request_context& context) const;
    void dispatch(const handle<exchange>& outer, const request_context& context);
    result<void> sendBody(const httplib::Request& request, const handle<exchange>& outer,
        const httplib::ContentReader* reader) const;
    void writeResponse(
        const handle<served_request>& served, const response_head& head, httplib::Response& response);
    void writeRefusal(const request_context& context, const request_error& why, httplib::Response& response,
        instant started);
    void recordDecision(
        const request_context& context, std::string stage, std::string outcome, std::string reason);

    caller_front_dependencies m_dependencies;
};

} // namespace pomelohub
