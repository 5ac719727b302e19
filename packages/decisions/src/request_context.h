/** \file
 * Defines request_context, the state of a request while it passes the filters of its entry node.
 */
#pragma once

#include "filter_chain.h"
#include "resource.h"

namespace pomelohub {

struct request_context {
    request_id id;
    std::string method;
    std::string host;
    std::string path; ///< Without the query.
    std::string target; ///< With the query.
    std::optional<std::string> apiKey; ///< The caller's API key; cleared by the authentication filter.
    std::string idempotencyKey;
    std::optional<std::chrono::milliseconds> timeout; ///< As requested by the caller.
    std::optional<std::uint64_t> contentLength;

    instant deadline {}; ///< Set by the deadline filter.
    handle<const stored_resource> serviceResource; ///< Set by the route filter, with matchedRoute.
    const route* matchedRoute = nullptr;
    digest apiKeyDigest {}; ///< Set by the authentication filter; unused on routes that need no key.
    handle<const stored_resource> organisationResource; ///< Set with apiKeyDigest.

    const service* matchedService() const { return serviceResource->as<service>(); }

    /** The organisation that sent the request, or null on routes that need no key. */
    const organisation* caller() const
    {
        return organisationResource ? organisationResource->as<organisation>() : nullptr;
    }

    /** Whether the request needs an idempotency key. Precondition: the route filter matched a route. */
    bool isIdempotencyKeyRequired() const { return !matchedRoute->isIdempotent; }
};

using request_filter = filter<request_context>;
using request_chain = filter_chain<request_context>;

} // namespace pomelohub
