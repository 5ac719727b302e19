/** \file
 * Defines fleet_controller, which joins what operators wrote and what nodes announced into the snapshot that
 * requests read. Positions in the operators' log order everything that operators wrote, so that no node goes
 * back to an older state, wherever it hears of it.
 */
#pragma once

#include "peer_state.h"
#include "verdict.h"

namespace pomelohub {

/** All that operators have in force, as of one position of their log. */
struct operator_state {
    std::uint64_t position = 0; ///< Records before it are taken in.
    std::string document; ///< The configuration as it was written; empty before the first.
    std::set<data_centre_id> evacuated;
};

/** One record of the operators' log. */
struct operator_change {
    std::optional<std::string> document; ///< A new configuration.
    std::optional<data_centre_id> dataCentre; ///< Whose evacuation starts or ends.
    bool isEvacuated = false;
};

/** Turns a configuration document into a table, or says why it is refused. */
using decode_configuration_hook
    = std::function<tl::expected<handle<routing_table>, std::string>(const std::string& document)>;

/** Thread safety: one thread at a time, but for snapshot(), which any thread may call. */
class fleet_controller {
public:
    struct hooks {
        decode_configuration_hook decode;
        std::function<void()> published; ///< Called after each new snapshot.
        std::function<void(const std::string& reason)> refused; ///< A document was not taken.
    };

    explicit fleet_controller(hooks hooks);

    /** Replaces the state of operators if \p state is not older. \return whether anything changed. */
    bool takeState(const operator_state& state);

    /** Applies \p changes that lead from the present position to \p position. */
    bool takeChanges(const std::vector<operator_change>& changes, std::uint64_t position);

    /** Takes in news of nodes. \return whether anything changed. */
    bool takeAnnouncements(const std::vector<instance_announcement>& news);

    const operator_state& operators() const { return m_operators; }
    const announcement_table& announcements() const { return m_announcements; }
    std::uint64_t version() const { return m_routes ? m_routes->version : 0; }

    /** Null before anything is known. Thread safety: any thread. */
    handle<const fleet_snapshot> snapshot() const { return m_snapshot.load(); }

private:
    bool takeDocument(const std::string& document);
    void publish();
    handle<peer_state> stateOf(const instance_announcement& announcement);

    hooks m_hooks;
    operator_state m_operators;
    announcement_table m_announcements;
    handle<const routing_table> m_routes;
    std::map<node_id, handle<peer_state>> m_peers;
    rcu_cell<fleet_snapshot> m_snapshot;
};

} // namespace pomelohub
