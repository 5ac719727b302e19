#include "promise_checker.h"

#include <algorithm>

namespace pomelohub {

bool claimsNotRun(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }

promise_checker::promise_checker(std::function<std::string(const std::string& id)> expectedBody)
    : m_expectedBody(std::move(expectedBody))
{
}

void promise_checker::recordSent(request request)
{
    auto id = request.id;
    m_requests[id].sent = std::move(request);
}

void promise_checker::recordBreach(std::string promise, std::string detail, instant now)
{
    m_breaches.push_back({ std::move(promise), std::move(detail), now });
}

void promise_checker::recordRun(const run& run, instant now)
{
    auto left = m_leavingServers.find(run.server);
    if (left != m_leavingServers.end() && now - left->second > leavingBound)
        m_lateRuns.push_back({ run, now });
    auto text = run.id + " at " + run.server;
    auto found = m_requests.find(run.id);
    if (found == m_requests.end()) {
        recordBreach("only requests of callers run", text, now);
        return;
    }
    auto& record = found->second;
    ++record.runs;
    record.servers += " " + run.server;
    if (run.service != record.sent.service)
        recordBreach("the route is followed", text, now);
    if (record.sent.mustRunOnce && record.runs > 1)
        recordBreach("no request that must run once runs twice", run.id + " at" + record.servers, now);
    if (record.sent.mustRunOnce && record.wasRefusedAsNotRun)
        recordBreach("a request that was refused as not run does not run later", text, now);
}

void promise_checker::recordResponse(const std::string& id, const response& response, instant now)
{
    constexpr int okStatus = 200;
    auto& record = m_requests.at(id);
    record.endedAt = now;
    if (response.status == okStatus) {
        ++m_successes;
        if (record.runs == 0)
            recordBreach("a success has run", id, now);
        if (auto expected = m_expectedBody(id); response.body != expected)
            recordBreach("a success is whole and that of its request",
                id + ": " + std::to_string(response.body.size()) + " of " + std::to_string(expected.size())
                    + " bytes",
                now);
        return;
    }
    ++m_refusals;
    record.wasRefusedAsNotRun = claimsNotRun(response.status);
    if (record.sent.mustRunOnce && record.wasRefusedAsNotRun && record.runs > 0)
        recordBreach("a request that was refused as not run has not run",
            id + ": " + std::to_string(response.status) + ", ran at" + record.servers, now);
}

void promise_checker::recordMissing(const std::string& id, missing_response how, instant now)
{
    ++m_missing;
    auto& record = m_requests.at(id);
    record.missing = how;
    record.endedAt = now;
}

void promise_checker::recordLeavingAcknowledged(const std::string& server, instant now)
{
    m_leavingServers.emplace(server, now);
}

std::vector<breach> promise_checker::finish(const std::vector<disturbance>& disturbances)
{
    auto isExcused = [&](const record& record) {
        return std::any_of(disturbances.begin(), disturbances.end(), [&](const disturbance& each) {
            bool concerns = each.node == record.sent.node && each.from <= record.endedAt
                && each.to >= record.sent.sentAt;
            return concerns && (each.losesRequests || record.missing == missing_response::late);
        });
    };
    for (const auto& [id, record] : m_requests) {
        if (!record.missing || *record.missing == missing_response::notConnected || isExcused(record))
            continue;
        auto text = id + " at node " + std::to_string(record.sent.node);
        if (*record.missing == missing_response::late)
            recordBreach("each caller gets a response in time", text, record.endedAt);
        else
            recordBreach("each caller gets a complete response", text, record.endedAt);
    }
    for (const auto& each : m_lateRuns) {
        bool isExcused = std::any_of(disturbances.begin(), disturbances.end(), [&](const disturbance& other) {
            return !other.isOfCallers && other.node == each.what.node && other.from <= each.at
                && each.at <= other.to;
        });
        if (!isExcused)
            recordBreach(
                "no request after a server has left", each.what.id + " at " + each.what.server, each.at);
    }
    std::stable_sort(m_breaches.begin(), m_breaches.end(),
        [](const breach& left, const breach& right) { return left.at < right.at; });
    return m_breaches;
}

} // namespace pomelohub
