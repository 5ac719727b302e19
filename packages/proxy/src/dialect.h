/** \file
 * Defines dialect, the hooks by which the proxy reads and writes the header fields of callers and backend
 * servers. The proxy decides; a dialect only names and encodes.
 */
#pragma once

#include "forward.h"

namespace pomelohub {

/** What a caller's request says of itself. */
struct caller_request {
    request_id id;
    std::optional<duration> timeLimit; ///< How long the caller will wait.
    std::optional<std::string> key; ///< Removed from the message.
    std::string host;
};

/** What a backend server says beside its answer. */
struct backend_answer_info {
    bool wasNotRun = false; ///< The server proves that it did not run the request.
    bool isOtherInstance = false; ///< Another start of a server has the address.
    bool hasReceipt = false; ///< Proof that the backend server made this answer.
    bool hasEncodedBody = false; ///< Not the body that the server was asked for.
    std::optional<request_id> answers; ///< The request that this answer names.
};

/** What is said to a backend server with a request. */
struct backend_request_info {
    backend_server_id expected; ///< Any other server must refuse.
    duration timeLeft {};
};

/** Thread safety: the hooks are called from any thread. */
struct dialect {
    /** Takes what the proxy needs out of \p message. */
    std::function<result<caller_request>(http_message& message)> readCallerRequest;

    /** Adds what the backend server must know to the message of \p request. */
    std::function<http_message(const forwarded_request& request, const backend_request_info& info)>
        makeBackendRequest;

    std::function<backend_answer_info(const http_message& answer)> readBackendAnswer;

    /** The answer to a caller whose request was refused. */
    std::function<http_message(const verdict& refusal, int status)> makeRefusal;
};

} // namespace pomelohub
