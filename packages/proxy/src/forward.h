/** \file
 * Defines forwarded_request and forward_reply, what the node that took a request and the node beside the
 * backend server tell each other, and their form on a peer link.
 */
#pragma once

#include "crash_quarantine.h"
#include "http_message.h"
#include "outcome_judge.h"
#include "peer_link.h"
#include "peer_state.h"
#include "verdict.h"

namespace pomelohub {

/** A request on its way to the node beside a backend server. */
struct forwarded_request {
    request_id id;
    service_id service;
    service_id callerService; ///< Of the instance where the request entered.
    organisation_id organisation; ///< Empty on open routes.
    std::uint32_t rank = 0;
    repeat_rule repeats = repeat_rule::once;
    bool isNested = false; ///< Sent by a backend server that holds a slot meanwhile.
    bool isRepeat = false; ///< Another backend server had it before.
    suspect_rule suspects = suspect_rule::trialsOnly;
    duration timeLeft {}; ///< Until the sender gives up.
    duration patience {}; ///< Longest wait for a slot that the sender accepts.
    request_fingerprint fingerprint = 0;
    http_message message;
};

struct forward_reply {
    result<http_message> answer = notRun(refusal_reason::pathFailed, "");
    bool reachedBackend = false; ///< The request arrived at a backend server, run or not.
    duration avoidFor {}; ///< How long the sender should choose others.
    backend_report report;
};

/** The message is the payload, which an offer sends after the grant. */
peer_message encodeForwardedRequest(const forwarded_request& request);

/** Reads the fields, which come first in an offer. \return nothing when they cannot be read. */
std::optional<forwarded_request> decodeForwardedFields(const peer_message& message);

/** Reads the payload. \return nothing when it is not one whole request. */
std::optional<http_message> decodeRequestPayload(std::string_view payload);

peer_message encodeForwardReply(const forward_reply& reply, bool isHead);
forward_reply decodeForwardReply(const peer_message& message, bool isHead);

} // namespace pomelohub
