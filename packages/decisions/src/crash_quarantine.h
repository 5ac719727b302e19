/** \file
 * Defines crash_quarantine, which blocks a request that has crashed two backend servers, so that it does not
 * crash a third one when its caller resends it, to whichever node. Each node sees the crashes of some backend
 * servers only, so the nodes exchange them and all reach the same decision.
 */
#pragma once

#include "rcu_cell.h"
#include "recent_responses.h"
#include "request_error.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace pomelohub {

/** What makes requests equal. */
struct request_identity {
    std::string_view organisation;
    std::string_view service; ///< Whose backend servers are to run it.
    std::string_view method;
    std::string_view target;
    std::string_view host;
    std::string_view body;
};

request_fingerprint fingerprintOf(const request_identity& request);

/** A request that a backend server was running when it crashed. */
struct crashed_run {
    request_fingerprint fingerprint = 0;
    backend_server_id backend;
    wall_time backendStartedAt {}; ///< Distinguishes the starts of a backend server.
    instant startedAt {}; ///< When the request was sent to it.
    instant crashedAt {};
};

/** What a node knows of a request that was interrupted by crashes, in the form in which nodes exchange it. */
struct crash_notice {
    struct crash {
        std::uint64_t id = 0; ///< Equal for all requests that the crash interrupted.
        std::chrono::milliseconds runTime { 0 }; ///< From the start of the run to the crash.
        std::chrono::milliseconds age { 0 };
    };

    request_fingerprint fingerprint = 0;
    /** Time since a backend server last answered the request after a crash, if one has. */
    std::optional<std::chrono::milliseconds> answerAge;
    std::vector<crash> crashes; ///< Since that answer.
};

/** The refusal of a quarantined request that has not run. */
request_error quarantineRefusal(request_fingerprint fingerprint);

/** What a report changed. */
struct quarantine_changes {
    std::vector<request_fingerprint> quarantined;
    std::vector<request_fingerprint> lifted;

    bool isEmpty() const { return quarantined.empty() && lifted.empty(); }
};

struct quarantine_policy {
    std::uint32_t minCrashedServers = 2; ///< Backend servers that must crash.
    duration quarantineDuration = std::chrono::minutes(5); ///< Of a quarantine and of a suspicion.
    std::size_t maxSuspects = 10'000;
    std::size_t maxCrashesPerSuspect = 16;
    /** A reported answer counts if it is newer than the known one by more than this, so that the known time
     * does not advance by the transit times of messages. */
    duration minAnswerAdvance = std::chrono::milliseconds(250);
    /** Runs that overlap by less than this count as one after the other: the age of a notice does not contain
     * the time that the notice was under way. */
    duration maxClockError = std::chrono::milliseconds(20);
    /** Number of messages in which a node passes on what it has learned of a request, quarantined or not. */
    std::uint32_t newsTransmissions = 16;
    std::size_t maxNewsPerMessage = 12;
    /** Quarantined requests in a message, for nodes that have missed the news of them. */
    std::size_t maxNoticesPerMessage = 5;
};

/** Decides by the crashes that interrupted a request. A request that many callers send is in flight in any
 * crash, and one that is retried may meet the same crashing request again. So:
 * - an answer, by whichever backend server, clears the request of all earlier crashes;
 * - a crash counts only against those of its requests that were in the most crashes;
 * - of the crashes that count, one must have begun after another: requests that run at the same time on
 *   several servers are also interrupted when these lose their power.
 * The decision depends on the set of crashes and answers only, not on their order.
 *
 * Thread safety: isQuarantined(), isSuspect(), count() and noteResponse() from any thread, all else by one
 * thread at a time. */
class crash_quarantine {
public:
    explicit crash_quarantine(quarantine_policy policy);

    bool isQuarantined(request_fingerprint fingerprint, instant now) const;

    /** Number of fingerprints that are suspect or quarantined. */
    std::size_t count() const;

    /** Whether a backend server crashed while it ran the request, and none has answered it since. */
    bool isSuspect(request_fingerprint fingerprint) const;

    /** Notes that a backend server completed a response to the request. \return whether the request is
     * suspect; recordResponse() must then be called. */
    bool noteResponse(request_fingerprint fingerprint, instant now);

    /** Notes that a backend server crashed while it ran the request, and its sidecar node did not. */
    quarantine_changes recordCrash(const crashed_run& run, instant now);

    /** Clears the request of its crashes: a backend server answered it, so it is not what crashes them. */
    quarantine_changes recordResponse(request_fingerprint fingerprint, instant now);

    /** Adds the crashes that another node sent. */
    quarantine_changes addNotices(const std::vector<crash_notice>& notices, instant now);

    /** Crashes to send to another node: new ones and those that led to a quarantine, in rotation. */
    std::vector<crash_notice> notices(instant now);

    /** Removes suspicions and quarantines that have ended. */
    void removeExpired(instant now);

private:
    struct crash {
        std::uint64_t id = 0;
        instant startedAt {}; ///< Of the run.
        instant crashedAt {};
    };
    struct suspect {
        instant answeredAt = instant::min(); ///< Earlier crashes do not count.
        std::vector<crash> crashes; ///< Later ones.
    };
    struct news {
        request_fingerprint fingerprint = 0;
        std::uint32_t transmissions = 0;
    };
    struct quarantine_table : ref_counted<quarantine_table> {
        /** End of each quarantine; in the past for fingerprints that are only suspect. */
        std::unordered_map<request_fingerprint, instant> until;
    };

    suspect* findOrAdd(request_fingerprint fingerprint, instant now);
    static bool recordAnswer(suspect& suspect, instant answeredAt);
    bool addCrash(request_fingerprint fingerprint, suspect& suspect, const crash& added, instant now);
    void addNews(request_fingerprint fingerprint);
    crash_notice noticeOf(request_fingerprint fingerprint, instant now) const;
    void removeOld(instant now);
    instant quarantineEnd(
        const suspect& suspect, const std::unordered_map<std::uint64_t, std::size_t>& mostCrashes) const;
    quarantine_changes publish(instant now);

    quarantine_policy m_policy;
    recent_responses m_responses;
    std::unordered_map<request_fingerprint, suspect> m_suspects;
    std::deque<news> m_news; ///< In the order in which they are due.
    rcu_cell<quarantine_table> m_table;
    std::size_t m_nextNotice = 0;
};

} // namespace pomelohub
