#include "fair_queue.h"

#include <vector>

namespace pomelohub {

fair_queue::fair_queue(std::size_t capacity)
    : m_capacity(capacity)
{
}

fair_queue::~fair_queue()
{
    while (!m_turns.empty())
        takeFront(m_turns.front());
}

fair_queue::lane& fair_queue::laneOf(const organisation_id& organisation)
{
    auto [found, isNew] = m_lanes.try_emplace(organisation);
    if (isNew) {
        found->second.organisation = organisation;
        m_turns.push_back(found->second);
    }
    return found->second;
}

handle<queued_request> fair_queue::push(handle<queued_request> request)
{
    auto& lane = laneOf(request->organisation);
    lane.waiting.push_back(*request);
    request.detach(); // The queue holds this count until the request is taken.
    if (++m_size <= m_capacity)
        return nullptr;
    return takeBack(*longestLane());
}

fair_queue::lane* fair_queue::longestLane()
{
    lane* longest = nullptr;
    for (auto& candidate : m_turns) {
        if (!longest || candidate.waiting.size() > longest->waiting.size())
            longest = &candidate;
    }
    return longest;
}

handle<queued_request> fair_queue::takeFront(lane& from)
{
    handle<queued_request> taken(&from.waiting.front(), false);
    from.waiting.pop_front();
    --m_size;
    dropIfEmpty(from);
    return taken;
}

handle<queued_request> fair_queue::takeBack(lane& from)
{
    handle<queued_request> taken(&from.waiting.back(), false);
    from.waiting.pop_back();
    --m_size;
    dropIfEmpty(from);
    return taken;
}

void fair_queue::dropIfEmpty(lane& from)
{
    if (!from.waiting.empty())
        return;
    m_turns.erase(m_turns.iterator_to(from));
    m_lanes.erase(organisation_id(from.organisation));
}

handle<queued_request> fair_queue::pop(
    instant now, const std::function<void(handle<queued_request>)>& expired)
{
    while (!m_turns.empty()) {
        auto& lane = m_turns.front();
        m_turns.splice(m_turns.end(), m_turns, m_turns.begin());
        auto taken = takeFront(lane);
        if (taken->deadline > now)
            return taken;
        expired(std::move(taken));
    }
    return nullptr;
}

void fair_queue::expire(instant now, const std::function<void(handle<queued_request>)>& expired)
{
    std::vector<handle<queued_request>> late;
    for (auto& lane : m_turns) {
        for (auto& request : lane.waiting) {
            if (request.deadline <= now)
                late.emplace_back(&request);
        }
    }
    for (auto& request : late) {
        remove(*request);
        expired(std::move(request));
    }
}

bool fair_queue::remove(queued_request& request)
{
    if (!request.is_linked())
        return false;
    auto& lane = m_lanes.at(request.organisation);
    handle<queued_request> held(&request, false);
    lane.waiting.erase(lane.waiting.iterator_to(request));
    --m_size;
    dropIfEmpty(lane);
    return true;
}

} // namespace pomelohub
