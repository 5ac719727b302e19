/** \file
 * Defines configuration_controller, which applies the records of the configuration stream in log order, by
 * rules that give every node the same result for races, repeated appends, deletions and expired records.
 */
#pragma once

#include "configuration_table.h"

#include <span>

namespace pomelohub {

/** What applying one record did. */
enum class record_outcome {
    applied,
    repeated, ///< The same record took effect before.
    conflict, ///< It names another version than the present one.
    keyTaken, ///< One of its keys or hosts belongs to another resource.
    restated, ///< It repeats content that this node lacked.
    stale, ///< It repeats content that this node has or has replaced.
};

std::string_view toText(record_outcome outcome);

/** A record with the place it has in the stream. */
struct placed_record {
    std::uint64_t offset = 0;
    configuration_record record;
};

/** All that a starting node takes from a peer in place of the log's older records. */
struct configuration_snapshot {
    std::uint64_t nextOffset = 0;
    std::vector<handle<const stored_resource>> resources;
};

/** Owns the configuration. Thread safety: one thread at a time; readers use table() from any thread. */
class configuration_controller {
public:
    const configuration_table& table() const { return m_table; }

    /** The offset of the first record that was not applied yet. */
    std::uint64_t nextOffset() const { return m_nextOffset; }

    /** Applies \p records in order, skipping those before nextOffset(). Precondition: offsets ascend.
     * \return an outcome for each record that was not skipped. */
    std::vector<record_outcome> apply(std::span<const placed_record> records);

    /** Moves the cursor over records that the log has expired. Precondition: the content before \p offset
     * was learned from a snapshot or from restated records. */
    void skipTo(std::uint64_t offset);

    configuration_snapshot snapshot() const;

    /** Takes over \p snapshot where it is newer. Never replaces a resource by an older version. */
    void load(const configuration_snapshot& snapshot);

private:
    record_outcome decide(const configuration_batch& batch, const configuration_record& record) const;
    bool takesForeignName(const configuration_batch& batch, const configuration_record& record) const;

    configuration_table m_table;
    std::uint64_t m_nextOffset = 0;
};

} // namespace pomelohub
