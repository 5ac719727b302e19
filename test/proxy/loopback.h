/** \file
 * Helpers for tests that run servers, links and callers on one event loop over the loopback addresses.
 * Nothing waits for a time to pass: the loop runs until a condition holds.
 */
#pragma once

#include "event_log.h"
#include "http_server.h"
#include "loopback_address.h"
#include "system_clock.h"

#include <doctest/doctest.h>

namespace pomelohub {

using tcp = asio::ip::tcp;

/** Runs \p context until \p condition holds. The time only bounds a test that fails. */
inline bool runUntil(asio::io_context& context, const std::function<bool()>& condition)
{
    constexpr auto bound = std::chrono::seconds(10);
    auto end = std::chrono::steady_clock::now() + bound;
    context.restart();
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        context.run_one_for(std::chrono::milliseconds(50));
    }
    return true;
}

/** A log that keeps few lines. */
inline event_log& quietLog()
{
    static event_log log(node_id("test"), { 64, 0, 1'000'000 }, readSystemClock);
    return log;
}

/** A caller that writes raw bytes and keeps what comes back. */
struct raw_caller {
    raw_caller(asio::io_context& context, const tcp::endpoint& server)
        : socket(context)
    {
        socket.connect(server);
        read();
    }

    void write(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }

    void read()
    {
        socket.async_read_some(asio::buffer(input), [this](std::error_code error, std::size_t length) {
            if (error) {
                isClosed = true;
                wasReset = error != asio::error::eof;
                return;
            }
            received.append(input.data(), length);
            read();
        });
    }

    tcp::socket socket;
    std::array<char, 4096> input {};
    std::string received;
    bool isClosed = false;
    bool wasReset = false;
};

} // namespace pomelohub
