#include "deadline_filter.h"

#include <algorithm>

namespace pomelohub {

request_filter makeDeadlineFilter(timeout_limits limits)
{
    return [limits](request_context& context, const present& now) -> result<void> {
        auto timeout = std::min(context.timeout.value_or(limits.defaultTimeout), limits.maxTimeout);
        if (timeout <= std::chrono::milliseconds::zero())
            return notRun(refusal_reason::deadlineExceeded, "the deadline has passed");
        context.deadline = now.monotonic + timeout;
        return {};
    };
}

} // namespace pomelohub
