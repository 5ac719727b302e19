/** \file
 * The filters that every request passes at the node that received it from its caller.
 */
#include "ingress_router.h"

namespace pomelohub {

namespace {

    /** Retry delay given to callers while the configuration is still being loaded after a start. */
    constexpr std::chrono::milliseconds startupRetryAfter { 200 };

    result<void> requireConfiguration(ingress_context& context, const present&)
    {
        if (context.snapshot && context.snapshot->routes)
            return {};
        return notRun(refusal_reason::nodeStarting, "the configuration is not known yet", startupRetryAfter);
    }

    result<void> matchRoute(ingress_context& context, const present&)
    {
        context.rule = context.snapshot->routes->match(context.caller.host, context.message.path());
        if (context.rule)
            return {};
        return notRun(refusal_reason::routeUnknown, "no route for " + context.caller.host);
    }

    result<void> authenticate(ingress_context& context, const present&)
    {
        const auto* organisations = context.snapshot->routes->organisations();
        if (!organisations)
            return {};
        if (const auto& key = context.caller.apiKey) {
            context.organisation = organisations->withKey(*key);
            if (context.organisation)
                return {};
            return notRun(refusal_reason::keyUnknown, "the key is not known");
        }
        if (context.rule->isPublic)
            return {};
        return notRun(refusal_reason::keyMissing, "the route asks for a key");
    }

    result<void> chooseService(ingress_context& context, const present&)
    {
        context.service = context.rule->nextService();
        return {};
    }

    request_fingerprint fingerprintOf(const ingress_context& context)
    {
        request_identity identity;
        if (context.organisation)
            identity.organisation = context.organisation->id.text();
        identity.service = context.service.text();
        identity.method = context.message.method;
        identity.target = context.message.target;
        identity.host = context.caller.host;
        identity.body = context.message.body;
        return pomelohub::fingerprintOf(identity);
    }

} // namespace

ingress_filter_chain makeIngressFilterChain(const crash_quarantine& quarantine)
{
    ingress_filter_chain chain;
    chain.add("configuration", requireConfiguration)
        .add("route", matchRoute)
        .add("key", authenticate)
        .add("service", chooseService)
        .add("quarantine", [&quarantine](ingress_context& context, const present& now) -> result<void> {
            context.fingerprint = fingerprintOf(context);
            if (!quarantine.isQuarantined(context.fingerprint, now.monotonic))
                return {};
            return tl::unexpected(quarantineRefusal(context.fingerprint));
        });
    return chain;
}

} // namespace pomelohub
