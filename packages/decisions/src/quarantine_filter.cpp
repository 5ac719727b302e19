#include "quarantine_filter.h"

namespace pomelohub {

request_filter makeQuarantineFilter(const crash_quarantine& quarantine)
{
    return [&quarantine](request_context& context, const present& now) -> result<void> {
        auto organisation = context.caller() ? context.caller()->id.text() : std::string();
        auto fingerprint = fingerprintOf(
            { organisation, context.matchedService()->id.text(), context.method, context.target, {}, {} });
        if (!quarantine.isQuarantined(fingerprint, now.monotonic))
            return {};
        return mayHaveRun(refusal_reason::requestQuarantined,
            "earlier sends of this request ended in the crash of backend servers");
    };
}

} // namespace pomelohub
