/** \file
 * Defines evacuation_table, which knows what data centres are evacuated and by what record of the operators'
 * log, so that an older state of the log does not end or renew an evacuation.
 */
#pragma once

#include "core_types.h"
#include "log_position.h"

#include <map>
#include <set>

namespace pomelohub {

/** The data centres that the log names as evacuated, with the offsets of these records. */
using evacuation_records = std::map<data_centre_id, std::uint64_t>;

/** Merging entries is commutative, associative and idempotent: nodes that have merged the same ones in any
 * order have the same content. Thread safety: one thread at a time. */
class evacuation_table {
public:
    struct entry {
        bool isEvacuated = false;
        /** Of the newest record that is known, or as of which the log was read. */
        log_position decidedAt;
        /** Not 0 if the record was read with the whole state of the log in this era, and it is not known
         * since which era the log has it. The era of decidedAt is the earliest that it can be, then. */
        store_era readIn = 0;
        std::set<std::uint64_t> startOffsets; ///< Of the last records that evacuated the data centre.
        bool operator==(const entry&) const = default;
    };

    /** Applies the record at \p at. \return whether the evacuated data centres change. */
    bool applyRecord(const data_centre_id& dataCentre, bool isEvacuated, log_position at);

    /** Applies the whole state of the log as of \p end. After a change of era it may be older than what is
     * known: then an evacuation that it lacks goes on, and one that has ended does not begin again by the
     * record that began it before. \return whether the evacuated data centres change. */
    bool applyState(const evacuation_records& evacuated, log_position end, const followed_log& followed);

    /** Makes the state of the log as of \p end the only one that counts. \return whether the evacuated data
     * centres change. */
    bool settle(const evacuation_records& evacuated, log_position end);

    /** Adds what another node knows, whose position in the log is \p end. \return whether the evacuated data
     * centres change. */
    bool merge(const evacuation_table& other, log_position end, const followed_log& followed);

    /** Adds one entry of another table. \return whether the evacuated data centres change. */
    bool merge(const data_centre_id& dataCentre, const entry& other);

    std::set<data_centre_id> evacuated() const;

    /** Whether an entry comes from before \p era, so that the log of this era may lack its record. */
    bool hasEntriesBefore(store_era era) const;

    /** Equal tables have equal fingerprints, on all nodes; 0 for an empty one. */
    std::uint64_t fingerprint() const;

    const std::map<data_centre_id, entry>& entries() const { return m_entries; }

private:
    static constexpr std::size_t maxStartOffsets = 16;

    bool applyReadRecord(const data_centre_id& dataCentre, log_position earliest, store_era readIn,
        log_position end, const followed_log& followed);

    std::map<data_centre_id, entry> m_entries;
};

} // namespace pomelohub
