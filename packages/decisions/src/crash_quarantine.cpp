#include "crash_quarantine.h"

#include "hashing.h"

#include <algorithm>

namespace pomelohub {

using std::chrono::milliseconds;

namespace {

    std::uint64_t crashIdOf(const crashed_run& run)
    {
        return stableHash(
            run.backend.text(), static_cast<std::uint64_t>(run.backendStartedAt.time_since_epoch().count()));
    }

} // namespace

request_fingerprint fingerprintOf(const request_identity& request)
{
    std::string text;
    for (auto part :
        { request.organisation, request.service, request.method, request.target, request.host }) {
        text += part;
        text += '\n';
    }
    return stableHash(request.body, stableHash(text));
}

request_error quarantineRefusal(request_fingerprint fingerprint)
{
    return { execution::notRun, refusal_reason::requestQuarantined,
        "backend servers crashed under it: " + std::to_string(fingerprint), {} };
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

bool crash_quarantine::noteResponse(request_fingerprint fingerprint, instant now)
{
    m_responses.record(fingerprint, now);
    return isSuspect(fingerprint);
}

quarantine_changes crash_quarantine::recordCrash(const crashed_run& run, instant now)
{
    auto* suspect = findOrAdd(run.fingerprint, now);
    crash added { crashIdOf(run), run.startedAt, run.crashedAt };
    if (!suspect || !addCrash(run.fingerprint, *suspect, added, now))
        return {};
    addNews(run.fingerprint);
    return publish(now);
}

quarantine_changes crash_quarantine::recordResponse(request_fingerprint fingerprint, instant now)
{
    auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || found->second.crashes.empty())
        return {};
    found->second.answeredAt = now;
    found->second.crashes.clear();
    addNews(fingerprint);
    return publish(now);
}

/** \return null if there are too many suspects. */
crash_quarantine::suspect* crash_quarantine::findOrAdd(request_fingerprint fingerprint, instant now)
{
    auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end())
        return &found->second;
    if (m_suspects.size() >= m_policy.maxSuspects)
        removeOld(now);
    return m_suspects.size() < m_policy.maxSuspects ? &m_suspects[fingerprint] : nullptr;
}

/** \return whether crashes that counted were earlier. */
bool crash_quarantine::recordAnswer(suspect& suspect, instant answeredAt)
{
    suspect.answeredAt = std::max(suspect.answeredAt, answeredAt);
    return std::erase_if(suspect.crashes, [&](const crash& each) {
        return each.crashedAt < suspect.answeredAt;
    }) > 0;
}

/** \return whether that is news: the crash counts and was not known as accurately, or this node knows of a
 * later answer. */
bool crash_quarantine::addCrash(
    request_fingerprint fingerprint, suspect& suspect, const crash& added, instant now)
{
    auto known = std::find_if(suspect.crashes.begin(), suspect.crashes.end(),
        [&](const crash& each) { return each.id == added.id; });
    if (known != suspect.crashes.end()) {
        // The report that was under way for the shortest time is the most accurate.
        bool isMoreAccurate = added.crashedAt + m_policy.maxClockError < known->crashedAt;
        if (isMoreAccurate)
            *known = added;
        return isMoreAccurate;
    }
    bool isNews = false;
    if (auto answeredAt = m_responses.lastResponse(fingerprint, now);
        answeredAt && *answeredAt > added.crashedAt && *answeredAt > suspect.answeredAt) {
        recordAnswer(suspect, *answeredAt);
        isNews = true;
    }
    if (added.crashedAt < suspect.answeredAt || suspect.crashes.size() >= m_policy.maxCrashesPerSuspect)
        return isNews;
    suspect.crashes.push_back(added);
    return true;
}

void crash_quarantine::addNews(request_fingerprint fingerprint)
{
    std::erase_if(m_news, [&](const news& each) { return each.fingerprint == fingerprint; });
    m_news.push_back({ fingerprint, 0 });
}

quarantine_changes crash_quarantine::addNotices(const std::vector<crash_notice>& notices, instant now)
{
    auto isValid = [&](milliseconds time) {
        return time >= milliseconds::zero() && time < m_policy.quarantineDuration;
    };
    bool isChanged = false;
    for (const auto& notice : notices) {
        auto* suspect = findOrAdd(notice.fingerprint, now);
        if (!suspect)
            break;
        bool isNews = false;
        if (notice.answerAge && isValid(*notice.answerAge)) {
            auto answeredAt = now - *notice.answerAge;
            bool isNewer = suspect->answeredAt == instant::min()
                || answeredAt - suspect->answeredAt > m_policy.minAnswerAdvance;
            isNews = isNewer && recordAnswer(*suspect, answeredAt);
        }
        for (const auto& each : notice.crashes) {
            if (!isValid(each.age) || !isValid(each.runTime))
                continue;
            auto crashedAt = now - each.age;
            isNews = addCrash(
                         notice.fingerprint, *suspect, { each.id, crashedAt - each.runTime, crashedAt }, now)
                || isNews;
        }
        if (isNews)
            addNews(notice.fingerprint);
        isChanged = isChanged || isNews;
    }
    return isChanged ? publish(now) : quarantine_changes {};
}

crash_notice crash_quarantine::noticeOf(request_fingerprint fingerprint, instant now) const
{
    const auto& suspect = m_suspects.at(fingerprint);
    crash_notice notice;
    notice.fingerprint = fingerprint;
    if (suspect.answeredAt != instant::min())
        notice.answerAge = std::chrono::duration_cast<milliseconds>(now - suspect.answeredAt);
    for (const auto& each : suspect.crashes)
        notice.crashes.push_back(
            { each.id, std::chrono::duration_cast<milliseconds>(each.crashedAt - each.startedAt),
                std::chrono::duration_cast<milliseconds>(now - each.crashedAt) });
    return notice;
}

std::vector<crash_notice> crash_quarantine::notices(instant now)
{
    std::vector<crash_notice> selected;
    for (auto left = std::min(m_news.size(), m_policy.maxNewsPerMessage); left > 0; --left) {
        auto next = m_news.front();
        m_news.pop_front();
        if (!m_suspects.contains(next.fingerprint))
            continue;
        selected.push_back(noticeOf(next.fingerprint, now));
        if (++next.transmissions < m_policy.newsTransmissions)
            m_news.push_back(next);
    }
    std::vector<request_fingerprint> quarantined;
    if (auto table = m_table.load()) {
        for (const auto& [fingerprint, until] : table->until) {
            if (until > now)
                quarantined.push_back(fingerprint);
        }
    }
    for (std::size_t i = 0; i < std::min(quarantined.size(), m_policy.maxNoticesPerMessage); ++i)
        selected.push_back(noticeOf(quarantined[m_nextNotice++ % quarantined.size()], now));
    return selected;
}

void crash_quarantine::removeOld(instant now)
{
    auto isOld = [&](instant at) { return at == instant::min() || now - at >= m_policy.quarantineDuration; };
    for (auto& [fingerprint, suspect] : m_suspects)
        std::erase_if(suspect.crashes, [&](const crash& each) { return isOld(each.crashedAt); });
    std::erase_if(m_suspects,
        [&](const auto& entry) { return entry.second.crashes.empty() && isOld(entry.second.answeredAt); });
}

void crash_quarantine::removeExpired(instant now) { publish(now); }

/** \param mostCrashes for each crash, the largest number of crashes that one of its requests was in. \return
 * instant::min() if it is suspect only. */
instant crash_quarantine::quarantineEnd(
    const suspect& suspect, const std::unordered_map<std::uint64_t, std::size_t>& mostCrashes) const
{
    std::size_t counted = 0;
    auto firstCrash = instant::max();
    auto lastCrash = instant::min();
    auto lastStart = instant::min();
    for (const auto& each : suspect.crashes) {
        if (mostCrashes.at(each.id) > suspect.crashes.size())
            continue;
        ++counted;
        firstCrash = std::min(firstCrash, each.crashedAt);
        lastCrash = std::max(lastCrash, each.crashedAt);
        lastStart = std::max(lastStart, each.startedAt);
    }
    if (counted < m_policy.minCrashedServers || lastStart + m_policy.maxClockError < firstCrash)
        return instant::min();
    return lastCrash + m_policy.quarantineDuration;
}

/** Decides anew and publishes the decisions. Linear in the number of suspects, which is small: only crashes
 * and the first answers after them lead here. */
quarantine_changes crash_quarantine::publish(instant now)
{
    removeOld(now);
    std::unordered_map<std::uint64_t, std::size_t> mostCrashes;
    for (const auto& [fingerprint, suspect] : m_suspects) {
        for (const auto& each : suspect.crashes) {
            auto& most = mostCrashes[each.id];
            most = std::max(most, suspect.crashes.size());
        }
    }
    handle<quarantine_table> next(new quarantine_table);
    for (const auto& [fingerprint, suspect] : m_suspects) {
        if (!suspect.crashes.empty())
            next->until[fingerprint] = quarantineEnd(suspect, mostCrashes);
    }
    quarantine_changes changes;
    for (const auto& [fingerprint, until] : next->until) {
        if (until > now && !isQuarantined(fingerprint, now))
            changes.quarantined.push_back(fingerprint);
    }
    auto current = m_table.load();
    if (current) {
        for (const auto& [fingerprint, until] : current->until) {
            auto found = next->until.find(fingerprint);
            if (until > now && (found == next->until.end() || found->second <= now))
                changes.lifted.push_back(fingerprint);
        }
    }
    if (!current || current->until != next->until)
        m_table.publish(next);
    return changes;
}

} // namespace pomelohub
