#include "recent_responses.h"

namespace pomelohub {

namespace {

    using std::chrono::milliseconds;

    constexpr auto lifetime = std::chrono::minutes(1);
    constexpr unsigned timeBits = 32;

    std::uint32_t wrappedTime(instant time)
    {
        return static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count());
    }

} // namespace

void recent_responses::record(request_fingerprint fingerprint, instant now)
{
    auto tag = fingerprint >> timeBits;
    m_entries[fingerprint % size].store(tag << timeBits | wrappedTime(now), std::memory_order_relaxed);
}

std::optional<instant> recent_responses::lastResponse(request_fingerprint fingerprint, instant now) const
{
    auto entry = m_entries[fingerprint % size].load(std::memory_order_relaxed);
    if (entry == 0 || entry >> timeBits != fingerprint >> timeBits)
        return std::nullopt;
    auto age = milliseconds(wrappedTime(now) - static_cast<std::uint32_t>(entry));
    if (age > lifetime)
        return std::nullopt;
    return std::chrono::floor<milliseconds>(now) - age;
}

} // namespace pomelohub
