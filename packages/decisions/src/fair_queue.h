/** \file
 * Defines fair_queue, which holds the requests that wait at a backend server. It serves the organisations
 * round-robin, so that one with many requests cannot starve the others.
 */
#pragma once

#include "resource.h"

#include <boost/intrusive/list.hpp>

#include <unordered_map>

namespace pomelohub {

/** Base of requests that can be queued. Derived types carry the request itself. */
struct queued_request : ref_counted<queued_request>, boost::intrusive::list_base_hook<> {
    organisation_id organisation; ///< Empty for requests on routes that need no key.
    instant deadline {};
    std::uint32_t rank = 0; ///< Set by admission_queue, which serves lower ranks first.
    /** In how many queues the request waits at once; it starts in one of them. */
    std::uint32_t parallelOffers = 1;

    virtual ~queued_request() = default;
};

/** Owns a reference to each queued request. Thread safety: one thread at a time. */
class fair_queue {
public:
    explicit fair_queue(std::size_t capacity);
    ~fair_queue();
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    /** Adds \p request. If the queue then exceeds its capacity, it evicts the newest request of the
     * organisation that has the most requests waiting. \return the evicted request, which may be \p request
     * itself, or null. */
    handle<queued_request> push(handle<queued_request> request);

    /** Removes and returns the next request, in round-robin order, whose deadline has not passed at \p now.
     * Requests before it whose deadline has passed are removed and handed to \p expired. \return null when
     * the queue is empty. */
    handle<queued_request> pop(instant now, const std::function<void(handle<queued_request>)>& expired);

    /** Removes \p request if it is still queued. \return whether it was. */
    bool remove(queued_request& request);

    /** Removes the requests that \p isTaken selects and hands them to \p taken. */
    void takeIf(const std::function<bool(const queued_request&)>& isTaken,
        const std::function<void(handle<queued_request>)>& taken);

    /** Removes all requests whose deadline has passed at \p now and hands them to \p expired. */
    void expire(instant now, const std::function<void(handle<queued_request>)>& expired);

    std::size_t size() const { return m_size; }

    /** Number of the queued requests that are expected to start here. */
    double expectedStarts() const { return m_size > 0 ? m_expectedStarts : 0; }

private:
    struct organisation_queue : boost::intrusive::list_base_hook<> {
        organisation_id organisation;
        boost::intrusive::list<queued_request> requests;
    };

    organisation_queue& queueFor(const organisation_id& organisation);
    organisation_queue* longestQueue();
    handle<queued_request> takeFront(organisation_queue& from);
    handle<queued_request> takeBack(organisation_queue& from);
    void recordRemoval(const queued_request& removed);
    void removeIfEmpty(organisation_queue& from);

    std::size_t m_capacity;
    std::size_t m_size = 0;
    double m_expectedStarts = 0;
    std::unordered_map<organisation_id, organisation_queue> m_queues;
    boost::intrusive::list<organisation_queue>
        m_roundRobin; ///< Organisations with requests, the next one to serve first.
};

} // namespace pomelohub
