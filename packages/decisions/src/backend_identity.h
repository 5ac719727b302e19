/** \file
 * Defines backend_identity, what the sidecar node of a backend server knows of it from its heartbeats: which
 * start of it is running, how many requests it accepts at once, and whether it is leaving or cold.
 */
#pragma once

#include "core_types.h"

#include <algorithm>
#include <optional>

namespace pomelohub {

/** One heartbeat of a backend server. */
struct backend_heartbeat {
    backend_server_id id;
    service_id service;
    std::string address;
    std::uint32_t slots = 1; ///< Requests that it accepts at once.
    bool isDraining = false;
    duration warmupLeft {}; ///< Time until it is warm; zero when it is.
    std::uint64_t sequence = 0; ///< Increases with each heartbeat of one start; 1 in the first.
    wall_time startedAt {}; ///< Distinguishes the starts of a backend server, also under the same id.
};

/** What a heartbeat changed. */
enum class heartbeat_effect {
    accepted, ///< From the current start.
    newStart, ///< Another start of the backend server replaced the known one.
    stale, ///< Older than the last heartbeat, or from an older start; nothing changed.
};

/** A heartbeat that has been under way for longer does not arrive. */
constexpr duration maxHeartbeatDelay = std::chrono::seconds(5);

/** Thread safety: one thread at a time. */
class backend_identity {
public:
    /** Applies \p heartbeat unless it is stale. */
    heartbeat_effect applyHeartbeat(const backend_heartbeat& heartbeat, instant now);

    /** Notes that a backend server announced its shutdown. \param startedAt zero if the announcement named no
     * start. \return whether the announcement concerns the current backend server. */
    bool deregister(const backend_server_id& id, wall_time startedAt, wall_time now);

    /** Notes that the start of \p id at \p startedAt says that it is leaving, which is final for a start.
     * \return whether it is the current one and was not leaving yet. */
    bool recordLeaving(const backend_server_id& id, wall_time startedAt);

    /** Whether the current start may have announced its shutdown before this process started: it is the first
     * one known, and its heartbeat, which may have been under way for seconds, is not its first. */
    bool needsConfirmation() const { return m_current && m_unconfirmedSince && !isLeaving(); }

    /** Notes that the current start has said after its heartbeat that it takes requests. */
    void confirm() { m_unconfirmedSince.reset(); }

    /** Notes that the current start has answered that it is cold until \p time. Heartbeats do not shorten
     * that, as they may have been sent before. */
    void recordWarmup(instant time) { m_answeredWarmupEnd = std::max(m_answeredWarmupEnd, time); }

    /** Discards the known backend server, as when an answer or a probe comes from another id. Nothing is
     * known until the next heartbeat. */
    void forget();

    /** Whether new requests may be sent to it. */
    bool isAccepting() const { return m_current && !isLeaving() && !m_unconfirmedSince; }
    bool isKnown() const { return m_current.has_value(); }
    bool isLeaving() const { return m_current && (m_current->isDraining || m_hasLeft); }
    bool isCold(instant now) const { return now < warmupEndsAt(); }
    instant warmupEndsAt() const { return std::max(m_warmupEndsAt, m_answeredWarmupEnd); }

    /** Precondition: isKnown(). */
    const backend_heartbeat& current() const { return *m_current; }

private:
    bool isSameStart(const backend_heartbeat& heartbeat) const;
    bool isFormerStart(wall_time startedAt) const;

    std::optional<backend_heartbeat> m_current;
    wall_time m_newestStart {}; ///< Kept by forget(), so that late heartbeats of older starts are ignored.
    /** When the newest start was last heard of; nothing if only its deregistration is known. */
    std::optional<instant> m_heardAt;
    /** A start that was replaced by one with an earlier wall clock. */
    std::optional<wall_time> m_replacedStart;
    bool m_hasLeft = false;
    bool m_hasKnownAny = false; ///< Since the start of this process.
    std::optional<instant> m_unconfirmedSince; ///< Time of the first heartbeat of an unconfirmed start.
    wall_time m_leftAt {}; ///< Time of the last shutdown announcement; used if it named no start.
    instant m_warmupEndsAt {}; ///< As the last heartbeat said.
    instant m_answeredWarmupEnd {}; ///< As the current start answered.
};

} // namespace pomelohub
