#include "readiness_filter.h"

namespace pomelohub {

static constexpr std::chrono::milliseconds retryAfter { 1000 };

request_filter makeReadinessFilter(readiness_hook readiness)
{
    return [readiness = std::move(readiness)](request_context&, const present& now) -> result<void> {
        switch (readiness(now.monotonic)) {
        case node_readiness::starting:
            return notRun(refusal_reason::nodeStarting, "the node has no configuration yet", retryAfter);
        case node_readiness::isolated:
            return notRun(
                refusal_reason::nodeIsolated, "the node hears neither the log nor other nodes", retryAfter);
        case node_readiness::ready:
            break;
        }
        return {};
    };
}

} // namespace pomelohub
