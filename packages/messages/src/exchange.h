/** \file
 * Defines exchange, one request with its answer on the way between a front end, the streams between nodes and
 * a backend server. It knows no protocol, so another front end can use the same code.
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

/** Thread safety: the asking side and the answering side may be on different threads. */
class exchange : public ref_counted<exchange> {
public:
    exchange(request_head request, instant deadline);

    /** A request that reads the body of \p outer and has an answer of its own. */
    static handle<exchange> withOwnAnswer(request_head request, const exchange& outer);

    /** Another try of \p outer with \p request as its head. Both share their bodies. */
    exchange(request_head request, const exchange& outer);

    const request_head& request() const { return m_request; }
    instant deadline() const { return m_deadline; }
    body_pipe& requestBody() { return *m_requestBody; }
    body_pipe& responseBody() { return *m_responseBody; }
    const handle<body_pipe>& requestBodyHandle() const { return m_requestBody; }
    const handle<body_pipe>& responseBodyHandle() const { return m_responseBody; }

    /** Answering side: the head of the answer; its body follows in responseBody(). */
    void respond(response_head head);

    /** Answering side: ends the exchange without a whole answer. After respond() it cuts the body. */
    void refuse(request_error why);

    /** Asking side: waits for the head of the answer or a refusal. */
    result<response_head> awaitResponse();

    /** Asking side: the answer so far, or nothing. */
    std::optional<result<response_head>> response() const;

    /** Asking side: called once when the answer's head or a refusal is there. */
    void setResponseHook(std::function<void()> hook);

    /** Asking side: gives up. The answering side's cancel hook is called. */
    void cancel();
    bool isCancelled() const { return m_cancelled.load(); }

    /** Answering side: called once when the asking side gives up, also when it already has. */
    void setCancelHook(std::function<void()> hook);

private:
    /** \return whether a head was there before. */
    bool settle(result<response_head> response);

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

/** Reads all of \p pipe, up to \p limit bytes, without blocking, and hands it to \p done on the thread that
 * brings its last part. Takes over the pipe's readable hook. */
void collectBody(
    const handle<body_pipe>& pipe, std::size_t limit, std::function<void(result<std::string>)> done);

/** The same for the answer of \p asked, once its head is there. */
void collectAnswer(
    const handle<exchange>& asked, std::size_t limit, std::function<void(result<std::string>)> done);

} // namespace pomelohub
