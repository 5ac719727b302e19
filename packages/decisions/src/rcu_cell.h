/** \file
 * Defines rcu_cell, a pointer to an immutable, intrusively counted value that readers follow without a lock
 * while a controller swaps it, on top of liburcu's membarrier flavour.
 */
#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <atomic>
#include <utility>

namespace pomelohub {

/** Base of values that are shared between threads by intrusive counts. */
template <typename Derived> using counted = boost::intrusive_ref_counter<Derived, boost::thread_safe_counter>;

template <typename T> using handle = boost::intrusive_ptr<T>;

/** Marks a read section; registers the calling thread with liburcu on first use. Must not outlive the call
 * that opens it, and must not wait inside. */
class rcu_read_section {
public:
    rcu_read_section();
    ~rcu_read_section();
    rcu_read_section(const rcu_read_section&) = delete;
    rcu_read_section& operator=(const rcu_read_section&) = delete;
};

/** Waits until every read section that was open at the call has ended. Precondition: the calling thread is
 * in no read section. Thread safety: any thread. */
void rcuSynchronize();

/** A swappable pointer to an immutable T. \tparam T derives from counted<T>. */
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

    /** Calls \p use with a pointer to the present value (null when none was published) inside a read
     * section. Precondition: \p use does not wait. Thread safety: any thread. */
    template <typename F> auto read(F&& use) const
    {
        rcu_read_section section;
        return std::forward<F>(use)(m_pointer.load(std::memory_order_acquire));
    }

    /** A counted handle to the present value, for use beyond a read section. Thread safety: any thread. */
    handle<const T> load() const
    {
        return read([](const T* value) { return handle<const T>(value); });
    }

    /** Publishes \p next and releases the former value after a grace period. Thread safety: any thread;
     * writers that derive \p next from the present value are serialized by their controller. */
    void publish(handle<const T> next)
    {
        auto former = exchange(std::move(next));
        if (!former)
            return;
        rcuSynchronize();
    }

    /** Publishes \p next and returns the former value, which the caller must keep until a later
     * rcuSynchronize(); this lets one grace period cover many cells. */
    [[nodiscard]] handle<const T> exchange(handle<const T> next)
    {
        return handle<const T>(m_pointer.exchange(next.detach(), std::memory_order_acq_rel), false);
    }

    /** Publishes \p next if the present value still is \p expected, and then waits for a grace period.
     * \return whether it did. Thread safety: any thread. */
    bool publishIf(const handle<const T>& expected, handle<const T> next)
    {
        const T* former = expected.get();
        if (!m_pointer.compare_exchange_strong(former, next.get(), std::memory_order_acq_rel))
            return false;
        next.detach();
        handle<const T> last(former, false);
        rcuSynchronize();
        return true;
    }

private:
    std::atomic<const T*> m_pointer { nullptr };
};

} // namespace pomelohub
