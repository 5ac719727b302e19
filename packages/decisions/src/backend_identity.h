/** \file
 * Defines backend_identity, what the node beside a backend server knows of it from its heartbeats: which
 * start of it runs, how many requests it takes at once, and whether it leaves or is cold.
 */
#pragma once

#include "core_types.h"

#include <optional>

namespace pomelohub {

/** One heartbeat of a backend server. */
struct backend_heartbeat {
    backend_server_id id;
    service_id service;
    std::string address;
    std::uint32_t slots = 1;
    bool isDraining = false;
    duration coldFor {}; ///< How much longer it is cold; zero when it is warm.
    std::uint64_t sequence = 0; ///< Rises with each heartbeat of one start.
    wall_time startedAt {}; ///< Tells the starts of a backend server apart, also under the same id.
};

/** What a heartbeat changed. */
enum class heartbeat_effect {
    accepted,
    newStart, ///< Another start of the backend server took over.
    stale, ///< Late news of an earlier time or start; nothing changed.
};

/** Thread safety: one thread at a time. */
class backend_identity {
public:
    heartbeat_effect take(const backend_heartbeat& heartbeat, instant now);

    /** The backend server said that it leaves. \param startedAt is zero where it did not say when it started.
     * \return whether it is the present one. */
    bool leave(const backend_server_id& id, wall_time startedAt, wall_time now);

    /** An answer or a probe came from another id than the known one: nothing is known until it announces
     * itself. */
    void forget();

    /** Whether new requests may be sent to it. */
    bool isAccepting() const { return m_current && !m_current->isDraining && !m_hasLeft; }
    bool isKnown() const { return m_current.has_value(); }
    bool isLeaving() const { return m_current && (m_current->isDraining || m_hasLeft); }
    bool isCold(instant now) const { return now < m_coldUntil; }
    instant coldUntil() const { return m_coldUntil; }

    /** Precondition: isKnown(). */
    const backend_heartbeat& current() const { return *m_current; }

private:
    bool isSameStart(const backend_heartbeat& heartbeat) const;

    std::optional<backend_heartbeat> m_current;
    wall_time m_newestStart {}; ///< Also after forget(), so that late news of older starts stay out.
    bool m_hasLeft = false;
    wall_time m_leftAt {}; ///< Of a farewell that did not tell its start.
    instant m_coldUntil {};
};

} // namespace pomelohub
