#include "admission_filters.h"

namespace pomelohub {

static filter<admission_context> makeDataCentreFilter(std::function<bool()> isInService)
{
    return [isInService = std::move(isInService)](admission_context&, const present&) -> result<void> {
        if (!isInService())
            return notRun(refusal_reason::dataCentreOutOfService, "the data centre is out of service");
        return {};
    };
}

static filter<admission_context> makeDrainFilter(std::function<bool()> isNodeLeaving)
{
    return [isNodeLeaving = std::move(isNodeLeaving)](
               admission_context& context, const present&) -> result<void> {
        if (context.condition == backend_condition::draining)
            return notRun(refusal_reason::backendServerDraining, "the backend server is draining");
        if (isNodeLeaving())
            return notRun(refusal_reason::nodeLeaving, "the node beside the backend server is leaving");
        return {};
    };
}

static filter<admission_context> makeAdmissionDeadlineFilter()
{
    return [](admission_context& context, const present& now) -> result<void> {
        if (context.deadline <= now.monotonic)
            return notRun(refusal_reason::deadlineExceeded, "the deadline passed before the request ran");
        return {};
    };
}

admission_chain makeAdmissionChain(const admission_hooks& hooks)
{
    admission_chain chain;
    chain.add("data-centre", makeDataCentreFilter(hooks.isDataCentreInService))
        .add("drain", makeDrainFilter(hooks.isNodeLeaving))
        .add("deadline", makeAdmissionDeadlineFilter());
    return chain;
}

} // namespace pomelohub
