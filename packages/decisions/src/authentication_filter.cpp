#include "authentication_filter.h"

#include "hashing.h"

namespace pomelohub {

request_filter makeAuthenticationFilter(const configuration_table& table)
{
    return [&table](request_context& context, const present&) -> result<void> {
        auto key = std::exchange(context.apiKey, std::nullopt);
        if (context.matchedRoute->isPublic)
            return {};
        if (!key)
            return notRun(refusal_reason::keyMissing, "the route needs a key");
        context.apiKeyDigest = sha256(*key);
        context.organisationResource = table.findByKey(context.apiKeyDigest);
        if (!context.caller())
            return notRun(refusal_reason::keyUnknown, "the key belongs to no organisation");
        return {};
    };
}

bool isApiKeyValid(const configuration_table& table, const request_context& context)
{
    if (!context.organisationResource)
        return true;
    auto owner = table.findByKey(context.apiKeyDigest);
    return owner && owner->name == context.organisationResource->name;
}

} // namespace pomelohub
