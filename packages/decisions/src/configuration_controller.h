/** \file
 * Defines configuration_controller, which applies the records of the configuration stream in log order. The
 * rules are deterministic: concurrent writes, repeated appends, deletions and restated records have the same
 * result on every node.
 */
#pragma once

#include "configuration_table.h"

#include <span>

namespace pomelohub {

/** Result of applying one record. */
enum class record_outcome {
    applied,
    repeated, ///< Duplicate: the same record has already been applied.
    conflict, ///< The version that it replaces is not the current one.
    keyTaken, ///< One of its API keys or hosts belongs to another resource.
    restated, ///< Applied a restatement of a newer version than this node had.
    stale, ///< Skipped a restatement of a version that this node has or has replaced.
};

std::string_view toText(record_outcome outcome);

/** A configuration record and its offset in the stream. */
struct configuration_log_entry {
    std::uint64_t offset = 0;
    configuration_record record;
};

/** The whole configuration, deleted resources included. A starting node loads it from a peer instead of
 * reading the older records of the log. */
struct configuration_snapshot {
    std::uint64_t nextOffset = 0; ///< Offset of the first record that is not included.
    std::vector<handle<const stored_resource>> resources;
};

/** Owns the configuration. Thread safety: one thread at a time; the functions of table() may be called from
 * any thread. */
class configuration_controller {
public:
    const configuration_table& table() const { return m_table; }

    /** Offset of the first record that has not been applied. */
    std::uint64_t nextOffset() const { return m_nextOffset; }

    /** Applies \p records in order, skipping those before nextOffset(). Precondition: offsets are ascending.
     * \return the outcome of each record that was not skipped. */
    std::vector<record_outcome> apply(std::span<const configuration_log_entry> records);

    /** Advances nextOffset() to \p offset without applying anything, for records that the log has expired.
     * Precondition: their content has been applied from a snapshot or from restated records. */
    void advanceTo(std::uint64_t offset);

    configuration_snapshot snapshot() const;

    /** Loads \p snapshot if it is ahead of nextOffset(). Never replaces a resource by an older version. */
    void load(const configuration_snapshot& snapshot);

private:
    record_outcome determineOutcome(
        const configuration_batch& batch, const configuration_record& record) const;
    bool hasKeyConflict(const configuration_batch& batch, const configuration_record& record) const;

    configuration_table m_table;
    std::uint64_t m_nextOffset = 0;
};

} // namespace pomelohub
