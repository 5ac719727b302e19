/** \file
 * Defines backend_call, which hands one exchange to the backend server beside this node over HTTP/1.1 and
 * knows whether any byte of it was sent.
 */
#pragma once

#include "concurrency_limiter.h"
#include "exchange.h"

#include <httplib.h>

namespace pomelohub {

/** A kept connection to a backend server. The count lets a cancellation outlive the call. */
struct backend_connection : ref_counted<backend_connection> {
    explicit backend_connection(const std::string& address);
    httplib::Client client;
};

/** What the host adds to an answer for the entry node. */
struct host_report {
    std::function<std::uint32_t()> load; ///< Requests per thousand slots.
};

struct call_end {
    request_outcome sample;
    bool isReusable = false; ///< The connection may serve another call.
    bool wasSent = false; ///< At least one byte may have reached the backend server.
};

/** Carries \p carried through \p connection and settles it. Blocks until its end. Thread safety: one call at
 * a time per connection. */
call_end runBackendCall(const handle<backend_connection>& connection, const handle<exchange>& carried,
    const host_report& report, const clock_hook& clock);

inline constexpr std::string_view loadHeader = "pomelohub-load";
inline constexpr std::string_view servedHeader = "pomelohub-served-us";

/** Header by which a backend server says that it shed a request without running it. */
inline constexpr std::string_view shedHeader = "x-shed";
inline constexpr std::string_view shedValue = "not-run";

} // namespace pomelohub
