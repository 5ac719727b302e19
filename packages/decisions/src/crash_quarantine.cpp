#include "crash_quarantine.h"

#include "hashing.h"

#include <algorithm>

namespace pomelohub {

using std::chrono::milliseconds;

request_fingerprint fingerprintOf(
    std::string_view organisation, std::string_view service, std::string_view method, std::string_view target)
{
    std::string text;
    for (auto part : { organisation, service, method, target }) {
        text += part;
        text += '\n';
    }
    return stableHash(text);
}

crash_quarantine::crash_quarantine(quarantine_policy policy)
    : m_policy(policy)
{
}

bool crash_quarantine::isQuarantined(request_fingerprint fingerprint, instant now) const
{
    return m_table.read([&](const quarantine_table* table) {
        if (!table)
            return false;
        auto found = table->until.find(fingerprint);
        return found != table->until.end() && found->second > now;
    });
}

std::size_t crash_quarantine::count() const
{
    return m_table.read([](const quarantine_table* table) { return table ? table->until.size() : 0; });
}

bool crash_quarantine::isSuspect(request_fingerprint fingerprint) const
{
    return m_table.read(
        [&](const quarantine_table* table) { return table && table->until.contains(fingerprint); });
}

bool crash_quarantine::recordCrash(
    request_fingerprint fingerprint, const backend_server_id& backend, instant now)
{
    if (m_suspects.size() >= m_policy.maxSuspects)
        removeExpired(now);
    if (m_suspects.size() >= m_policy.maxSuspects)
        return false;
    auto& known = m_suspects[fingerprint];
    if (now - known.lastCrash > m_policy.quarantineDuration)
        known.crashed.clear();
    known.lastCrash = now;
    known.crashed.insert(backend);
    bool isQuarantinedNow = known.crashed.size() >= m_policy.minCrashedServers;
    setQuarantineEnd(fingerprint, isQuarantinedNow ? now + m_policy.quarantineDuration : now);
    return isQuarantinedNow;
}

void crash_quarantine::recordResponse(request_fingerprint fingerprint)
{
    m_suspects.erase(fingerprint);
    auto table = m_table.load();
    if (!table || !table->until.contains(fingerprint))
        return;
    handle<quarantine_table> next(new quarantine_table(*table));
    next->until.erase(fingerprint);
    m_table.publish(next);
}

void crash_quarantine::setQuarantineEnd(request_fingerprint fingerprint, instant until)
{
    auto current = m_table.load();
    handle<quarantine_table> next(current ? new quarantine_table(*current) : new quarantine_table);
    next->until[fingerprint] = until;
    m_table.publish(next);
}

std::vector<request_fingerprint> crash_quarantine::addNotices(
    const std::vector<quarantine_notice>& notices, instant now)
{
    std::vector<request_fingerprint> added;
    for (const auto& notice : notices) {
        auto left = std::min<duration>(notice.timeLeft, m_policy.quarantineDuration);
        if (left > duration::zero() && !isQuarantined(notice.fingerprint, now)) {
            setQuarantineEnd(notice.fingerprint, now + left);
            added.push_back(notice.fingerprint);
        }
    }
    return added;
}

std::vector<quarantine_notice> crash_quarantine::notices(instant now)
{
    std::vector<quarantine_notice> all;
    auto table = m_table.load();
    if (!table)
        return all;
    for (const auto& [fingerprint, until] : table->until) {
        if (until > now)
            all.push_back({ fingerprint, std::chrono::duration_cast<milliseconds>(until - now) });
    }
    if (all.size() <= m_policy.maxNoticesPerMessage)
        return all;
    std::vector<quarantine_notice> selected;
    for (std::size_t i = 0; i < m_policy.maxNoticesPerMessage; ++i)
        selected.push_back(all[m_nextNotice++ % all.size()]);
    return selected;
}

void crash_quarantine::removeExpired(instant now)
{
    std::erase_if(m_suspects,
        [&](const auto& entry) { return now - entry.second.lastCrash > m_policy.quarantineDuration; });
    auto table = m_table.load();
    if (!table)
        return;
    handle<quarantine_table> next(new quarantine_table(*table));
    std::erase_if(next->until,
        [&](const auto& entry) { return entry.second <= now && !m_suspects.contains(entry.first); });
    if (next->until.size() < table->until.size())
        m_table.publish(next);
}

} // namespace pomelohub
