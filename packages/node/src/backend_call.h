/** \file
 * Defines the call of a local backend server over HTTP/1.1: runBackendCall() sends one exchange to it and
 * reports whether any byte of the request may have reached it.
 */
#pragma once

#include "concurrency_limiter.h"
#include "exchange.h"

#include <httplib.h>

namespace pomelohub {

/** A keep-alive connection to a backend server. It is reference counted because a cancellation may use it
 * after the call has ended. */
struct backend_connection : ref_counted<backend_connection> {
    explicit backend_connection(const std::string& address);
    httplib::Client client;
};

/** Data about the backend server that is added to each response for the entry node. */
struct backend_load_report {
    /** Returns the number of queued and running requests in thousandths of the current concurrency limit. */
    std::function<std::uint32_t()> load;
};

struct backend_call_result {
    request_outcome sample;
    bool isReusable = false; ///< Whether the connection can be used for another call.
    bool wasSent = false; ///< Whether at least one byte may have reached the backend server.
};

/** Sends \p proxied over \p connection and completes it with the response or a refusal. Blocks until the call
 * has ended. Thread safety: one call at a time per connection. */
backend_call_result runBackendCall(const handle<backend_connection>& connection,
    const handle<exchange>& proxied, const backend_load_report& report, const clock_hook& clock);

inline constexpr std::string_view loadHeader = "pomelohub-load";
inline constexpr std::string_view servedHeader = "pomelohub-served-us";

/** Header of a 503 response by which a backend server states that it shed the request without running it. */
inline constexpr std::string_view shedHeader = "x-shed";
inline constexpr std::string_view shedValue = "not-run";

} // namespace pomelohub
