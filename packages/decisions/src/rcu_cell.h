/** \file
 * Defines rcu_cell, a pointer to an immutable, reference-counted value. Readers access the value without a
 * lock while a controller replaces it. Built on the membarrier flavour of liburcu.
 */
#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <atomic>
#include <utility>

namespace pomelohub {

/** Base of values with an intrusive reference count, which threads share. */
template <typename Derived>
using ref_counted = boost::intrusive_ref_counter<Derived, boost::thread_safe_counter>;

/** Owns a reference to a reference-counted value. */
template <typename T> using handle = boost::intrusive_ptr<T>;

/** Scope of an RCU read-side critical section. Registers the calling thread with liburcu on first use. Must
 * stay within the function call that opens it; the thread must not block inside. */
class rcu_read_section {
public:
    rcu_read_section();
    ~rcu_read_section();
    rcu_read_section(const rcu_read_section&) = delete;
    rcu_read_section& operator=(const rcu_read_section&) = delete;
};

/** Waits for a grace period: until every read section that was open at the call has ended. Precondition: the
 * calling thread is in no read section. Thread safety: any thread. */
void rcuSynchronize();

/** An atomically replaceable pointer to an immutable T. \tparam T must derive from ref_counted<T>. */
template <typename T> class rcu_cell {
public:
    rcu_cell() = default;
    explicit rcu_cell(handle<const T> value)
        : m_pointer(value.detach())
    {
    }
    rcu_cell(const rcu_cell&) = delete;
    rcu_cell& operator=(const rcu_cell&) = delete;
    ~rcu_cell() { handle<const T> last(m_pointer.load(std::memory_order_acquire), false); }

    /** Calls \p use inside a read section with a pointer to the current value, or null if none was published.
     * Precondition: \p use does not block. Thread safety: any thread. */
    template <typename F> auto read(F&& use) const
    {
        rcu_read_section section;
        return std::forward<F>(use)(m_pointer.load(std::memory_order_acquire));
    }

    /** Returns a handle to the current value, which stays valid outside a read section. Thread safety: any
     * thread. */
    handle<const T> load() const
    {
        return read([](const T* value) { return handle<const T>(value); });
    }

    /** Publishes \p next, waits for a grace period and releases the previous value. Thread safety: any
     * thread; a controller must serialize writers that derive \p next from the current value. */
    void publish(handle<const T> next)
    {
        auto previous = exchange(std::move(next));
        if (!previous)
            return;
        rcuSynchronize();
    }

    /** Publishes \p next and returns the previous value, which the caller must keep until a later call of
     * rcuSynchronize() returns. One grace period can thus cover many cells. Thread safety: any thread. */
    [[nodiscard]] handle<const T> exchange(handle<const T> next)
    {
        return handle<const T>(m_pointer.exchange(next.detach(), std::memory_order_acq_rel), false);
    }

    /** Publishes \p next if the current value is still \p expected, and then waits for a grace period.
     * \return whether it was published. Thread safety: any thread. */
    bool compareAndPublish(const handle<const T>& expected, handle<const T> next)
    {
        const T* previous = expected.get();
        if (!m_pointer.compare_exchange_strong(previous, next.get(), std::memory_order_acq_rel))
            return false;
        next.detach();
        handle<const T> last(previous, false);
        rcuSynchronize();
        return true;
    }

private:
    std::atomic<const T*> m_pointer { nullptr };
};

} // namespace pomelohub
