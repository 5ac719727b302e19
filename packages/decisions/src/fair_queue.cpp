#include "fair_queue.h"

#include <algorithm>
#include <vector>

namespace pomelohub {

namespace {

    double startShare(const queued_request& request) { return 1.0 / std::max(1U, request.parallelOffers); }

} // namespace

fair_queue::fair_queue(std::size_t capacity)
    : m_capacity(capacity)
{
}

fair_queue::~fair_queue()
{
    while (!m_roundRobin.empty())
        takeFront(m_roundRobin.front());
}

fair_queue::organisation_queue& fair_queue::queueFor(const organisation_id& organisation)
{
    auto [found, isNew] = m_queues.try_emplace(organisation);
    if (isNew) {
        found->second.organisation = organisation;
        m_roundRobin.push_back(found->second);
    }
    return found->second;
}

handle<queued_request> fair_queue::push(handle<queued_request> request)
{
    auto& queue = queueFor(request->organisation);
    queue.requests.push_back(*request);
    m_expectedStarts += startShare(*request);
    request.detach(); // The queue owns this reference until the request is removed.
    if (++m_size <= m_capacity)
        return nullptr;
    return takeBack(*longestQueue());
}

fair_queue::organisation_queue* fair_queue::longestQueue()
{
    organisation_queue* longest = nullptr;
    for (auto& candidate : m_roundRobin) {
        if (!longest || candidate.requests.size() > longest->requests.size())
            longest = &candidate;
    }
    return longest;
}

handle<queued_request> fair_queue::takeFront(organisation_queue& from)
{
    handle<queued_request> removed(&from.requests.front(), false);
    from.requests.pop_front();
    recordRemoval(*removed);
    removeIfEmpty(from);
    return removed;
}

handle<queued_request> fair_queue::takeBack(organisation_queue& from)
{
    handle<queued_request> removed(&from.requests.back(), false);
    from.requests.pop_back();
    recordRemoval(*removed);
    removeIfEmpty(from);
    return removed;
}

void fair_queue::recordRemoval(const queued_request& removed)
{
    --m_size;
    m_expectedStarts -= startShare(removed);
}

void fair_queue::removeIfEmpty(organisation_queue& from)
{
    if (!from.requests.empty())
        return;
    m_roundRobin.erase(m_roundRobin.iterator_to(from));
    m_queues.erase(organisation_id(from.organisation));
}

handle<queued_request> fair_queue::pop(
    instant now, const std::function<void(handle<queued_request>)>& expired)
{
    while (!m_roundRobin.empty()) {
        auto& queue = m_roundRobin.front();
        m_roundRobin.splice(m_roundRobin.end(), m_roundRobin, m_roundRobin.begin());
        auto removed = takeFront(queue);
        if (removed->deadline > now)
            return removed;
        expired(std::move(removed));
    }
    return nullptr;
}

void fair_queue::takeIf(const std::function<bool(const queued_request&)>& isTaken,
    const std::function<void(handle<queued_request>)>& taken)
{
    std::vector<handle<queued_request>> selected;
    for (auto& queue : m_roundRobin) {
        for (auto& request : queue.requests) {
            if (isTaken(request))
                selected.emplace_back(&request);
        }
    }
    for (auto& request : selected) {
        remove(*request);
        taken(std::move(request));
    }
}

void fair_queue::expire(instant now, const std::function<void(handle<queued_request>)>& expired)
{
    takeIf([now](const queued_request& request) { return request.deadline <= now; }, expired);
}

bool fair_queue::remove(queued_request& request)
{
    if (!request.is_linked())
        return false;
    auto& queue = m_queues.at(request.organisation);
    handle<queued_request> held(&request, false);
    queue.requests.erase(queue.requests.iterator_to(request));
    recordRemoval(request);
    removeIfEmpty(queue);
    return true;
}

} // namespace pomelohub
