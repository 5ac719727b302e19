#include "rcu_cell.h"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void*);
extern "C" void __tsan_release(void*);
#endif

namespace pomelohub {

namespace {

    /** Registers a thread with liburcu for as long as the thread runs. */
    struct thread_registration {
        thread_registration() { urcu_memb_register_thread(); }
        ~thread_registration() { urcu_memb_unregister_thread(); }
    };

    // liburcu orders readers and writers with membarrier, which ThreadSanitizer cannot see. The end of every
    // read section and the end of a grace period tell it about that order.
#if defined(__SANITIZE_THREAD__)
    char gracePeriodTag;
    void noteReadEnd() { __tsan_release(&gracePeriodTag); }
    void noteGracePeriod() { __tsan_acquire(&gracePeriodTag); }
#else
    void noteReadEnd() { }
    void noteGracePeriod() { }
#endif

} // namespace

rcu_read_section::rcu_read_section()
{
    thread_local thread_registration registration;
    urcu_memb_read_lock();
}

rcu_read_section::~rcu_read_section()
{
    noteReadEnd();
    urcu_memb_read_unlock();
}

void rcuSynchronize()
{
    urcu_memb_synchronize_rcu();
    noteGracePeriod();
}

} // namespace pomelohub
