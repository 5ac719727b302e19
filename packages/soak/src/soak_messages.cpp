#include "soak_messages.h"

#include "emulated_documents.h"
#include "hashing.h"

namespace pomelohub {

namespace {

    /** A text that depends on the id in each of its parts. */
    std::string makeBody(const std::string& id, std::size_t size)
    {
        std::string body;
        while (body.size() < size)
            body += id + ';';
        return body;
    }

    /** Most bodies are small, one in 8 takes several frames, and one in 64 more than a window of a stream. */
    std::size_t bodySizeOf(const std::string& id, std::uint64_t salt)
    {
        constexpr std::uint64_t classes = 64;
        constexpr std::uint64_t middleClasses = 8;
        constexpr std::uint64_t maxLargeBytes = 4 << 20;
        constexpr std::uint64_t maxMiddleBytes = 400 << 10;
        constexpr std::uint64_t maxSmallBytes = 200;
        auto hash = stableHash(id, salt);
        auto sizeClass = hash % classes;
        auto maxBytes = sizeClass == 0   ? maxLargeBytes
            : sizeClass <= middleClasses ? maxMiddleBytes
                                         : maxSmallBytes;
        return hash / classes % maxBytes;
    }

} // namespace

std::string requestBodyOf(const std::string& id)
{
    constexpr std::uint64_t salt = 1;
    return makeBody(id, bodySizeOf(id, salt));
}

std::string responseBodyOf(const std::string& id)
{
    constexpr std::uint64_t salt = 2;
    return makeBody(id, bodySizeOf(id, salt));
}

http_message encodeRequest(const promise_checker::request& request)
{
    return makeCallerRequest(request.mustRunOnce ? "POST" : "GET", "/" + request.service + "/x", request.id,
        soakApiKey, std::chrono::duration_cast<std::chrono::milliseconds>(requestTimeout),
        request.mustRunOnce ? requestBodyOf(request.id) : message_body());
}

} // namespace pomelohub
