#include "route_filter.h"

namespace pomelohub {

static bool isPathPrefix(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

const route* matchRoute(const std::vector<route>& routes, std::string_view method, std::string_view path)
{
    const route* longestMatch = nullptr;
    for (const auto& candidate : routes) {
        if (candidate.method != "*" && candidate.method != method)
            continue;
        if (!isPathPrefix(candidate.pathPrefix, path))
            continue;
        if (!longestMatch || candidate.pathPrefix.size() > longestMatch->pathPrefix.size())
            longestMatch = &candidate;
    }
    return longestMatch;
}

request_filter makeRouteFilter(const configuration_table& table)
{
    return [&table](request_context& context, const present&) -> result<void> {
        context.serviceResource = table.findByHost(context.host);
        if (!context.serviceResource || !context.matchedService())
            return notRun(refusal_reason::routeUnknown, "no service answers for this host");
        context.matchedRoute = matchRoute(context.matchedService()->routes, context.method, context.path);
        if (!context.matchedRoute)
            return notRun(refusal_reason::routeUnknown, "the service has no route for this request");
        return {};
    };
}

} // namespace pomelohub
