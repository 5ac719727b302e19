/** \file
 * Defines exchange, one request and its response while they pass between a front end, the streams between
 * nodes and a backend server. It is independent of the protocol, so another front end can use the same code.
 */
#pragma once

#include "body_pipe.h"
#include "http_headers.h"

namespace pomelohub {

struct request_head {
    std::string method;
    std::string path;
    std::vector<header_field> headers;
};

struct response_head {
    int status = 0;
    std::vector<header_field> headers;
};

/** One request and its response, shared by a client side that awaits the response and a server side that
 * produces it. Thread safety: the two sides may be on different threads. */
class exchange : public ref_counted<exchange> {
public:
    exchange(request_head request, instant deadline);

    /** Creates an exchange that shares the request body of \p outer but has a response body of its own. */
    static handle<exchange> withOwnResponse(request_head request, const exchange& outer);

    /** Creates another attempt of \p outer with \p request as its head. Both share their request and response
     * bodies. */
    exchange(request_head request, const exchange& outer);

    const request_head& request() const { return m_request; }
    instant deadline() const { return m_deadline; }
    body_pipe& requestBody() { return *m_requestBody; }
    body_pipe& responseBody() { return *m_responseBody; }
    const handle<body_pipe>& requestBodyHandle() const { return m_requestBody; }
    const handle<body_pipe>& responseBodyHandle() const { return m_responseBody; }

    /** Server side: sets the response head; the body follows in responseBody(). */
    void respond(response_head head);

    /** Server side: ends the exchange without a complete response. After respond() the response body fails.
     */
    void refuse(request_error error);

    /** Client side: blocks until the response head or a refusal arrives, or the deadline passes. */
    result<response_head> awaitResponse();

    /** Client side: the response head or refusal, or nothing before either has arrived. */
    std::optional<result<response_head>> response() const;

    /** Client side: sets the hook that is called once when the response head or a refusal has arrived, at
     * once if it already has. */
    void setResponseHook(std::function<void()> hook);

    /** Client side: abandons the request. Calls the server side's cancel hook. */
    void cancel();
    bool isCancelled() const { return m_cancelled.load(); }

    /** Server side: sets the hook that is called once when the client side cancels, at once if it already
     * has. */
    void setCancelHook(std::function<void()> hook);

private:
    /** Stores \p response unless there is one already. \return whether a response head was set before. */
    bool setResponse(result<response_head> response);

    request_head m_request;
    instant m_deadline;
    handle<body_pipe> m_requestBody;
    handle<body_pipe> m_responseBody;
    std::atomic<bool> m_cancelled { false };
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<result<response_head>> m_response;
    std::function<void()> m_responseHook;
    std::function<void()> m_cancelHook;
};

/** Reads all of \p pipe without blocking and passes it to \p done, on the thread that delivers the last part.
 * A body of more than \p limit bytes is an error. Replaces the pipe's readable hook. */
void collectBody(
    const handle<body_pipe>& pipe, std::size_t limit, std::function<void(result<std::string>)> done);

/** Does the same for the response body of \p outgoing, once the response head has arrived. A refusal is
 * passed to \p done as the error. */
void collectResponse(
    const handle<exchange>& outgoing, std::size_t limit, std::function<void(result<std::string>)> done);

} // namespace pomelohub
