/** \file
 * Hooks that read and write the header fields exchanged with callers and backend servers. They only map field
 * names and encodings; all decisions are made by the proxy.
 */
#pragma once

#include "forwarded_request.h"

namespace pomelohub {

/** The parameters of a caller's request, taken from its header fields. */
struct caller_request {
    request_id id;
    /** How long the caller waits for the response; nothing when it did not say. */
    std::optional<duration> timeout;
    std::optional<std::string> apiKey; ///< The API key; its field is removed from the message.
    std::string host;
};

/** What the header fields of a backend server's response say. */
struct backend_response_info {
    bool wasNotRun = false; ///< The server states that it did not run the request.
    /** The address belongs to another start of a server than the expected one. */
    bool isOtherServerStart = false;
    bool isLeaving = false; ///< The server says that it is going to stop.
    bool hasSignature = false; ///< The response proves that the backend server made it.
    bool hasEncodedBody = false; ///< The body has a content encoding, which was not requested.
    std::optional<backend_server_id> serverId; ///< The start of a server that names itself in the response.
    std::optional<request_id> requestId; ///< The id of the request that the response names.
    /** Requests per second that the server takes from all nodes together, if it names a limit. */
    std::optional<double> requestLimit;
    /** Time until the server is warm, zero if it names none; nothing if what it names is invalid. */
    std::optional<duration> warmupLeft = duration::zero();
};

/** Parameters that are sent to a backend server with a request. */
struct backend_request_info {
    /** Start of a server for which the request is meant; any other must refuse it. */
    backend_server_id expectedServer;
    duration timeLeft {}; ///< Until the deadline of the request.
};

/** Thread safety: the hooks are called from any thread. */
struct header_codec {
    /** Reads the parameters of a caller's request and removes from \p message the fields that must not be
     * forwarded. \return a refusal when a field is missing or invalid. */
    std::function<result<caller_request>(http_message& message)> readCallerRequest;

    /** Returns the message of \p request with the fields for the backend server added. */
    std::function<http_message(const forwarded_request& request, const backend_request_info& info)>
        makeBackendRequest;

    /** Reads the header fields of a backend server's response. */
    std::function<backend_response_info(const http_message& response)> readBackendResponse;

    /** Makes the response for a caller whose request was refused with \p status. */
    std::function<http_message(const request_error& refusal, int status)> makeRefusal;
};

} // namespace pomelohub
