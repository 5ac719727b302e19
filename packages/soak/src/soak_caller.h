/** \file
 * Defines soak_caller, which sends requests to one node over a connection that it keeps.
 */
#pragma once

#include "http_client.h"
#include "promise_checker.h"

#include <random>

namespace pomelohub {

/** Sends the next request after the response to the last one and a short pause, and uses its connection until
 * the node closes it or is gone. Thread safety: that of its execution context. */
class soak_caller {
public:
    struct hooks {
        clock_hook clock;
        /** Makes the next request, which was recorded as sent. */
        std::function<promise_checker::request(instant now)> makeRequest;
        std::function<http_message(const promise_checker::request& request)> encode;
    };

    soak_caller(asio::io_context& context, asio::ip::tcp::endpoint node, std::uint64_t seed,
        promise_checker& checker, hooks hooks);
    ~soak_caller();
    soak_caller(const soak_caller&) = delete;
    soak_caller& operator=(const soak_caller&) = delete;

    void start();

    /** Sends no further request. */
    void stop() { m_isStopping = true; }

    /** Whether it waits for a response. */
    bool isWaiting() const { return m_isWaiting; }

private:
    void pause();
    void sendNext();
    void handleResult(const promise_checker::request& request, const http_call_result& result);

    asio::io_context& m_context;
    asio::ip::tcp::endpoint m_node;
    std::mt19937_64 m_random;
    promise_checker& m_checker;
    hooks m_hooks;
    one_shot_timer m_timer;
    handle<http_client_connection> m_connection;
    bool m_isStopping = false;
    bool m_isWaiting = false;
};

/** Records what a caller got for \p request, at \p now. */
void recordResult(promise_checker& checker, const promise_checker::request& request,
    const http_call_result& result, instant now);

} // namespace pomelohub
