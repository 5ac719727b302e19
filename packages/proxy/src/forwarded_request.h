/** \file
 * Defines forwarded_request and forward_reply, which the node that received a request from its caller and the
 * sidecar node of the backend server exchange, and their encoding on a peer link.
 */
#pragma once

#include "crash_quarantine.h"
#include "http_message.h"
#include "peer_choice.h"
#include "peer_link.h"
#include "request_error.h"

namespace pomelohub {

/** Used for requests of nodes of earlier versions, which name none. */
constexpr double defaultMaxFailureRisk = 0.2;

/** A request as it is forwarded to the sidecar node of a backend server. */
struct forwarded_request {
    request_id id;
    service_id service;
    service_id callerService; ///< Service of the instance whose node received the request.
    organisation_id organisation; ///< Empty when the request had no API key.
    std::uint32_t rank = 0;
    retry_rule retryRule = retry_rule::once;
    bool isNested = false; ///< Sent by a backend server, which holds a slot until the response.
    /** Another backend server has received the request before, or it is a nested call that is counted as part
     * of a retry. */
    bool isRetry = false;
    trial_rule trialRule = trial_rule::never; ///< For a backend server at a higher risk.
    double maxFailureRisk = defaultMaxFailureRisk; ///< A server at a higher risk refuses it, but for trials.
    duration timeLeft {}; ///< Time until the deadline of the sender.
    duration maxQueueTime {}; ///< Maximum wait for a slot; the request is refused if it would wait longer.
    request_fingerprint fingerprint = 0;
    /** In how many queues the request waits at once. If more than one, it is sent as an offer. */
    std::uint32_t parallelOffers = 1;
    bool toleratesQueueing = false; ///< Of its route, by the settings of the sender.
    request_kind kind = 0; ///< 0 if the sender, a node of an earlier version, names none.
    http_message message;
};

/** The outcome of a forwarded request: a response or a refusal, with the load of the backend server. */
struct forward_reply {
    result<http_message> response = notRun(refusal_reason::pathFailed, "");
    bool hasReachedBackend = false; ///< A backend server has received the request, whether or not it ran.
    duration avoidFor {}; ///< How long the sender should avoid this node.
    backend_report report;
};

/** Encodes \p request. Its HTTP message becomes the payload, which an offer sends only after the grant. */
peer_message encodeForwardedRequest(const forwarded_request& request);

/** Decodes the fields of a request; the payload, which an offer sends later, is not read. \return nothing
 * when the request id or the service is missing. */
std::optional<forwarded_request> decodeForwardedFields(const peer_message& message);

/** Makes an empty body for a message that is decoded; may be unset. */
using make_body_hook = std::function<message_body()>;

/** Decodes the payload of a request. \return nothing when it is not a complete HTTP request. */
std::optional<http_message> decodeRequestPayload(
    std::string_view payload, const make_body_hook& makeBody = nullptr);

/** Encodes \p reply. \param isHead whether the request was a HEAD request, whose response has no body. */
peer_message encodeForwardReply(const forward_reply& reply, bool isHead);

/** Decodes a reply. A response that cannot be parsed becomes a refusal of a request that may have run.
 * \param isHead as for encodeForwardReply(). */
forward_reply decodeForwardReply(
    const peer_message& message, bool isHead, const make_body_hook& makeBody = nullptr);

} // namespace pomelohub
