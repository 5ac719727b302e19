#include "evacuation_table.h"

#include "hashing.h"

#include <algorithm>
#include <tuple>

namespace pomelohub {

namespace {

    auto precedenceOf(const evacuation_table::entry& entry)
    {
        // Offsets of records whose era is not known at all are compared within the era in which they were
        // read.
        auto known = entry.decidedAt.era > 0 ? 0 : entry.readIn;
        return std::tuple(
            entry.decidedAt.era, known, entry.decidedAt.offset, entry.readIn, entry.isEvacuated);
    }

    std::uint64_t fingerprintOf(const data_centre_id& dataCentre, const evacuation_table::entry& entry)
    {
        auto text = dataCentre.text() + (entry.isEvacuated ? "\n1" : "\n0");
        text += '\n' + std::to_string(entry.decidedAt.era) + '\n' + std::to_string(entry.decidedAt.offset)
            + '\n' + std::to_string(entry.readIn);
        for (auto offset : entry.startOffsets)
            text += '\n' + std::to_string(offset);
        return stableHash(text);
    }

} // namespace

bool evacuation_table::merge(const data_centre_id& dataCentre, const entry& other)
{
    auto& known = m_entries[dataCentre];
    bool wasEvacuated = known.isEvacuated;
    known.startOffsets.insert(other.startOffsets.begin(), other.startOffsets.end());
    while (known.startOffsets.size() > maxStartOffsets)
        known.startOffsets.erase(known.startOffsets.begin());
    if (precedenceOf(other) > precedenceOf(known)) {
        known.isEvacuated = other.isEvacuated;
        known.decidedAt = other.decidedAt;
        known.readIn = other.readIn;
    }
    return known.isEvacuated != wasEvacuated;
}

bool evacuation_table::merge(const evacuation_table& other, log_position end, const followed_log& followed)
{
    auto before = evacuated();
    for (const auto& [dataCentre, entry] : other.m_entries)
        merge(dataCentre, entry);
    for (const auto& [dataCentre, entry] : other.m_entries) {
        if (entry.readIn > 0)
            applyReadRecord(dataCentre, entry.decidedAt, entry.readIn, end, followed);
    }
    return evacuated() != before;
}

bool evacuation_table::applyRecord(const data_centre_id& dataCentre, bool isEvacuated, log_position at)
{
    entry decided { isEvacuated, at, 0, {} };
    if (isEvacuated)
        decided.startOffsets.insert(at.offset);
    // A record that was read with the whole state has its place once one behind it is known.
    auto found = m_entries.find(dataCentre);
    if (found != m_entries.end() && found->second.isEvacuated && found->second.decidedAt.offset < at.offset)
        decided.startOffsets.insert(found->second.decidedAt.offset);
    return merge(dataCentre, decided);
}

/** Applies a record that evacuates the data centre and was read with the whole state in the era \p readIn,
 * not in its order. \param earliest its offset, with the earliest era that it can be of as far as is known.
 */
bool evacuation_table::applyReadRecord(const data_centre_id& dataCentre, log_position earliest,
    store_era readIn, log_position end, const followed_log& followed)
{
    auto offset = earliest.offset;
    auto found = m_entries.find(dataCentre);
    if (found != m_entries.end() && found->second.startOffsets.contains(offset))
        return false; // This table knows the record, and what has followed it.
    // In a part of the log of which this node knows each record, an unknown one came in a later era. Behind
    // the part of the former era it may be one of that era which this node has not read, and others have.
    store_era earliestEra = 0;
    if (readIn == end.era && offset >= followed.lowestEnd)
        earliestEra = end.era;
    else if (readIn == followed.formerEnd.era && offset >= followed.formerStart)
        earliestEra = readIn;
    else if (offset >= followed.formerEnd.offset)
        earliestEra = std::min(followed.formerEnd.era, readIn);
    else if (offset >= followed.formerStart)
        earliestEra = std::min(followed.formerEnd.era + 1, readIn);
    earliestEra = std::max(earliestEra, earliest.era);
    if (earliestEra == readIn)
        return applyRecord(dataCentre, true, { readIn, offset });
    return merge(dataCentre, { true, { earliestEra, offset }, readIn, {} });
}

bool evacuation_table::applyState(
    const evacuation_records& evacuated, log_position end, const followed_log& followed)
{
    bool isChanged = false;
    for (const auto& [dataCentre, offset] : evacuated)
        isChanged = applyReadRecord(dataCentre, { 0, offset }, end.era, end, followed) || isChanged;
    for (const auto& [dataCentre, entry] : m_entries) {
        bool isDecidedInThisEra = entry.decidedAt.era == end.era && entry.decidedAt.offset < end.offset;
        if (entry.isEvacuated && isDecidedInThisEra && !evacuated.contains(dataCentre))
            isChanged = merge(dataCentre, { false, end, 0, {} }) || isChanged;
    }
    return isChanged;
}

bool evacuation_table::settle(const evacuation_records& evacuated, log_position end)
{
    bool isChanged = false;
    for (const auto& [dataCentre, offset] : evacuated)
        isChanged = applyRecord(dataCentre, true, { end.era, offset }) || isChanged;
    for (const auto& [dataCentre, entry] : m_entries) {
        if (!evacuated.contains(dataCentre) && entry.decidedAt < end)
            isChanged = merge(dataCentre, { false, end, 0, {} }) || isChanged;
    }
    return isChanged;
}

std::set<data_centre_id> evacuation_table::evacuated() const
{
    std::set<data_centre_id> result;
    for (const auto& [dataCentre, entry] : m_entries) {
        if (entry.isEvacuated)
            result.insert(dataCentre);
    }
    return result;
}

bool evacuation_table::hasEntriesBefore(store_era era) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
        [&](const auto& each) { return each.second.decidedAt.era < era; });
}

std::uint64_t evacuation_table::fingerprint() const
{
    std::uint64_t result = 0;
    for (const auto& [dataCentre, entry] : m_entries)
        result += fingerprintOf(dataCentre, entry);
    return result;
}

} // namespace pomelohub
