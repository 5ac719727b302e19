#include "rcu_cell.h"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void*);
extern "C" void __tsan_release(void*);
#endif

namespace pomelohub {

namespace {

    /** Keeps a thread registered with liburcu until the thread exits. */
    struct thread_registration {
        thread_registration() { urcu_memb_register_thread(); }
        ~thread_registration() { urcu_memb_unregister_thread(); }
    };

    // liburcu orders readers and writers with membarrier, which ThreadSanitizer does not know. These
    // annotations tell it that the end of a read section happens before the end of a later grace period.
#if defined(__SANITIZE_THREAD__)
    char gracePeriodTag;
    void annotateReadEnd() { __tsan_release(&gracePeriodTag); }
    void annotateGracePeriod() { __tsan_acquire(&gracePeriodTag); }
#else
    void annotateReadEnd() { }
    void annotateGracePeriod() { }
#endif

} // namespace

rcu_read_section::rcu_read_section()
{
    thread_local thread_registration registration;
    urcu_memb_read_lock();
}

rcu_read_section::~rcu_read_section()
{
    annotateReadEnd();
    urcu_memb_read_unlock();
}

void rcuSynchronize()
{
    urcu_memb_synchronize_rcu();
    annotateGracePeriod();
}

} // namespace pomelohub
