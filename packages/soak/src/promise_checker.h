/** \file
 * Defines promise_checker, which compares what callers were told with what backend servers ran.
 */
#pragma once

#include "core_types.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pomelohub {

/** A promise that was broken. */
struct breach {
    std::string promise;
    std::string detail;
    instant at {};
};

/** How a caller's connection ended without a response. */
enum class missing_response {
    notConnected, ///< Nothing was sent.
    closed, ///< The connection ended before a complete response.
    late, ///< Nothing came until well after the deadline of the request.
};

/** Thread safety: one thread at a time. */
class promise_checker {
public:
    struct request {
        std::string id;
        std::string service; ///< To which its route leads.
        bool mustRunOnce = false;
        std::size_t node = 0; ///< To which its caller is connected.
        instant sentAt {};
    };
    struct response {
        int status = 0;
        std::string_view body;
    };

    /** \param expectedBody of a successful response to the request with an id. */
    explicit promise_checker(std::function<std::string(const std::string& id)> expectedBody);

    void recordSent(request request);

    /** What a server runs. */
    struct run {
        std::string id; ///< Of the request.
        std::string service;
        std::string server;
        std::size_t node = 0; ///< Beside the server.
    };
    void recordRun(const run& run, instant now);

    /** Its caller got a complete response. */
    void recordResponse(const std::string& id, const response& response, instant now);

    /** Its caller got none. Whether that breaks a promise is decided by finish(). */
    void recordMissing(const std::string& id, missing_response how, instant now);

    /** A node has acknowledged that a server leaves. */
    void recordLeavingAcknowledged(const std::string& server, instant now);

    /** Records what another part has seen. */
    void recordBreach(std::string promise, std::string detail, instant now);

    /** A time in which a node may lose requests, or not respond. */
    struct disturbance {
        std::size_t node = 0;
        bool losesRequests = false; ///< It may end connections without a response.
        instant from {};
        instant to {};
        bool isOfCallers = false; ///< Only the way from its callers is disturbed.
    };

    /** Judges the requests that got no response, and the runs at servers that had left. \return all breaches,
     * in order of time. */
    std::vector<breach> finish(const std::vector<disturbance>& disturbances);

    std::size_t sentCount() const { return m_requests.size(); }
    std::size_t successCount() const { return m_successes; }
    std::size_t refusalCount() const { return m_refusals; }
    std::size_t missingCount() const { return m_missing; }

private:
    struct record {
        request sent;
        int runs = 0;
        std::string servers;
        bool wasRefusedAsNotRun = false;
        std::optional<missing_response> missing;
        instant endedAt {};
    };

    std::function<std::string(const std::string& id)> m_expectedBody;
    std::unordered_map<std::string, record> m_requests;
    struct late_run {
        run what;
        instant at {};
    };

    std::unordered_map<std::string, instant> m_leavingServers;
    std::vector<late_run> m_lateRuns; ///< At servers that had left.
    std::vector<breach> m_breaches;
    std::size_t m_successes = 0;
    std::size_t m_refusals = 0;
    std::size_t m_missing = 0;
};

/** Whether a response with \p status says that the request has not run. */
bool claimsNotRun(int status);

/** How long after the acknowledgement of its leaving a server may be sent a request. */
constexpr duration leavingBound = std::chrono::seconds(2);

} // namespace pomelohub
