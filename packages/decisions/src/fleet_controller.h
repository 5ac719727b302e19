/** \file
 * Defines fleet_controller, which combines the state written by operators with the announcements of nodes
 * into the snapshot that requests read. Operator state is ordered by its position in the operators' log, so a
 * node never reverts to an older state, whether it received it from the log or from a peer. After the log has
 * lost its last records, what was in force stays so until the operators have written again.
 */
#pragma once

#include "document_history.h"
#include "evacuation_table.h"
#include "peer_state.h"
#include "request_error.h"

namespace pomelohub {

/** The state in force, as written by operators. */
struct operator_state {
    log_position position; ///< Of the first record that is not included.
    std::string document; ///< The configuration document as written; empty if there is none yet.
    evacuation_table evacuations;
    followed_log followed;
};

/** Tells nodes which of them knows operator state that the other one lacks. */
struct operator_summary {
    log_position position;
    std::uint64_t version = 0; ///< Of the configuration in force.
    std::uint64_t evacuations = 0; ///< Fingerprint of the table of evacuations.
};

/** The state that the operators' log holds. */
struct operator_snapshot {
    log_position end; ///< Of the first record that is not included.
    std::string document; ///< The newest configuration document; empty if there is none yet.
    evacuation_records evacuated;
};

/** What a snapshot means for the evacuations in force. The version decides on the document in any case. */
enum class snapshot_authority {
    adds, ///< The log may have lost records: what it lacks stays in force until operators write again.
    decides, ///< It decides alone, once operators have had the time to write again what the log has lost.
};

/** The change that one record of the operators' log makes. */
struct operator_change {
    std::uint64_t offset = 0; ///< Of the record.
    std::optional<std::string> document; ///< New configuration document, if the record has one.
    std::optional<data_centre_id> dataCentre; ///< Data centre whose evacuation starts or ends.
    bool isEvacuated = false;
};

/** Decodes a configuration document into a routing table. The error says why the document is invalid. */
using decode_configuration_hook
    = std::function<tl::expected<handle<routing_table>, std::string>(const std::string& document)>;

/** Owns the operator state and the announcements. Thread safety: one thread at a time, except for snapshot(),
 * which may be called from any thread. */
class fleet_controller {
public:
    struct hooks {
        decode_configuration_hook decode;
        std::function<void()> onPublished; ///< Called after each publication of a snapshot.
        /** Called when a document is rejected. */
        std::function<void(const std::string& reason)> onDocumentRejected;
    };

    explicit fleet_controller(hooks hooks);

    /** Applies the state that the log holds, unless it is older than the position known. \return whether
     * anything in force changed. */
    bool applySnapshot(
        const operator_snapshot& snapshot, snapshot_authority authority = snapshot_authority::adds);

    /** Applies \p changes, which must be all records between the current position and \p position, which is
     * of the same era. \return whether anything in force changed. */
    bool applyChanges(const std::vector<operator_change>& changes, log_position position);

    /** Adds what is in force at another node, unless its position is lower. \return whether anything in force
     * changed. */
    bool mergeState(const operator_state& state);

    /** Whether evacuations are in force or have ended by records of an earlier era than the position known,
     * which the log may have lost. */
    bool hasUnsettledEvacuations() const
    {
        return m_operators.evacuations.hasEntriesBefore(m_operators.position.era);
    }

    /** Merges announcements of nodes. \return whether anything changed. */
    bool mergeAnnouncements(const std::vector<instance_announcement>& updates);

    /** Merges announcements of nodes into the table; the snapshot follows with publishAnnouncements(). So one
     * publication, whose cost grows with the fleet, serves many messages. \return whether anything changed.
     */
    bool recordAnnouncements(const std::vector<instance_announcement>& updates);

    /** Publishes a snapshot if recordAnnouncements() has changed the table since the last one. */
    void publishAnnouncements();

    const operator_state& operators() const { return m_operators; }
    operator_summary summary() const;

    /** Whether a node whose state is summarised as \p other knows state that this one lacks. */
    bool isBehind(const operator_summary& other) const;

    /** Fingerprint of the configuration document; 0 when there is none. */
    document_fingerprint documentFingerprint() const { return m_history.fingerprint(); }

    /** The delta to the present document from the one with fingerprint \p base. \return null when that is not
     * one of the last documents, or is the present one. Valid until the next call of a member that is not
     * const. */
    const document_delta* deltaFrom(document_fingerprint base)
    {
        return m_history.deltaFrom(base, m_operators.document);
    }

    const announcement_table& announcements() const { return m_announcements; }
    std::uint64_t version() const { return m_routes ? m_routes->version : 0; }

    /** The current snapshot; null until the first one is published. Thread safety: any thread. */
    handle<const fleet_snapshot> snapshot() const { return m_snapshot.load(); }

private:
    static constexpr std::size_t maxDocumentVersions = 4;

    bool applyDocument(const std::string& document);
    void advanceTo(log_position position);
    bool publishIf(bool isChanged);
    void publish();
    handle<peer_state> peerStateOf(const instance_announcement& announcement);

    hooks m_hooks;
    operator_state m_operators;
    document_history m_history { maxDocumentVersions };
    announcement_table m_announcements;
    handle<const routing_table> m_routes;
    std::map<node_id, handle<peer_state>> m_peers;
    rcu_cell<fleet_snapshot> m_snapshot;
    bool m_isPublicationDue = false;
};

} // namespace pomelohub
