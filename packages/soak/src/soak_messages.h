/** \file
 * What the callers of a soak ask for, and what they have to get: both follow from the id of the request.
 */
#pragma once

#include "http_message.h"
#include "promise_checker.h"

#include <array>

namespace pomelohub {

/** Requests to the first service may be repeated, the others must run once. */
constexpr std::array<std::string_view, 3> soakServices { "browse", "bids", "photos" };

/** Time limit of the requests, and how much longer a caller waits before it says that no response came. */
constexpr duration requestTimeout = std::chrono::seconds(3);
constexpr duration responseSlack = std::chrono::seconds(2);

constexpr const char* soakApiKey = "k1";

/** Body of a request that must run once. */
std::string requestBodyOf(const std::string& id);

/** Body of the successful response to a request. */
std::string responseBodyOf(const std::string& id);

http_message encodeRequest(const promise_checker::request& request);

} // namespace pomelohub
