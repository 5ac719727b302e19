/** \file
 * Defines fair_queue, the requests that wait at a backend server, served in turn by organisation so that a
 * large organisation cannot crowd out a small one.
 */
#pragma once

#include "resource.h"

#include <boost/intrusive/list.hpp>

#include <unordered_map>

namespace pomelohub {

/** A request that can wait. Derive from it to carry the request itself. */
struct queued_request : counted<queued_request>, boost::intrusive::list_base_hook<> {
    organisation_id organisation; ///< Empty for requests on routes open to all.
    instant deadline {};
    std::uint32_t rank = 0; ///< Set by the queue that orders by rank.

    virtual ~queued_request() = default;
};

/** Holds a count on each request in it. Thread safety: one thread at a time. */
class fair_queue {
public:
    explicit fair_queue(std::size_t capacity);
    ~fair_queue();
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    /** Adds \p request. When the queue is full, the last request of the organisation with the most waiting
     * makes room. \return the request that found no place, which may be \p request itself, or null. */
    handle<queued_request> push(handle<queued_request> request);

    /** Takes the next request in turn whose deadline has not passed at \p now; earlier ones whose deadline
     * has passed go to \p expired. \return null when none is left. */
    handle<queued_request> pop(instant now, const std::function<void(handle<queued_request>)>& expired);

    /** Takes \p request out if it still waits. \return whether it did. */
    bool remove(queued_request& request);

    /** Takes out all requests whose deadline has passed at \p now and hands them to \p expired. */
    void expire(instant now, const std::function<void(handle<queued_request>)>& expired);

    std::size_t size() const { return m_size; }

private:
    struct lane : boost::intrusive::list_base_hook<> {
        organisation_id organisation;
        boost::intrusive::list<queued_request> waiting;
    };

    lane& laneOf(const organisation_id& organisation);
    lane* longestLane();
    handle<queued_request> takeFront(lane& from);
    handle<queued_request> takeBack(lane& from);
    void dropIfEmpty(lane& from);

    std::size_t m_capacity;
    std::size_t m_size = 0;
    std::unordered_map<organisation_id, lane> m_lanes;
    boost::intrusive::list<lane> m_turns; ///< Lanes with requests, next in turn first.
};

} // namespace pomelohub
