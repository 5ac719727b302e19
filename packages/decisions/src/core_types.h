/** \file
 * Defines the types of times, names and digests that all packages share, so that signatures need no plain
 * numbers or strings for them.
 */
#pragma once

#include <array>
#include <chrono>
#include <cmath>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace pomelohub {

/** A point in time of the monotonic clock. Meaningful in one process only, so never sent to another. */
using instant = std::chrono::steady_clock::time_point;

/** A length of time on the monotonic clock. */
using duration = std::chrono::steady_clock::duration;

/** Converts \p seconds, which may have a fractional part, to a duration. */
inline duration durationOf(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/** \p time times \p factor. */
inline duration scaled(duration time, double factor)
{
    return std::chrono::duration_cast<duration>(time * factor);
}

/** \p ratio, which is not negative, in whole percent. */
inline std::uint64_t percentOf(double ratio) { return static_cast<std::uint64_t>(std::lround(ratio * 100)); }

/** A point in time of the wall clock, as in idempotency keys and log records. */
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/** The current time of both clocks. Read once when an event enters the process, then passed down. */
struct present {
    instant monotonic;
    wall_time wall;
};

/** Reads both clocks; tests provide their own. Thread safety: called from any thread. */
using clock_hook = std::function<present()>;

/** A string that identifies an object of one kind. \tparam Tag the kind, which keeps identifiers of different
 * kinds from being mixed up; never instantiated. */
template <typename Tag> class identifier {
public:
    identifier() = default;
    explicit identifier(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string& text() const { return m_text; }
    bool empty() const { return m_text.empty(); }
    auto operator<=>(const identifier&) const = default;

private:
    std::string m_text;
};

using node_id = identifier<struct node_tag>;
using data_centre_id = identifier<struct data_centre_tag>;
using organisation_id = identifier<struct organisation_tag>;
using service_id = identifier<struct service_tag>;
using backend_server_id = identifier<struct backend_server_tag>;
using request_id = identifier<struct request_tag>;

/** SHA-256 of an API key or of a request. API keys are stored and shown in this form only. */
using digest = std::array<std::uint8_t, 32>;

/** Version of a resource: one more than the log offset of the record that last changed it; 0 for none. */
using resource_version = std::uint64_t;

/** Distinguishes the runs of a node's process: its wall clock at the start, so that a restart increases it.
 */
using incarnation_number = std::uint64_t;

/** One run of a node's process. */
struct node_incarnation {
    node_id node;
    incarnation_number incarnation = 0;
    auto operator<=>(const node_incarnation&) const = default;
};

} // namespace pomelohub

template <typename Tag> struct std::hash<pomelohub::identifier<Tag>> {
    std::size_t operator()(const pomelohub::identifier<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.text());
    }
};

template <> struct std::hash<pomelohub::digest> {
    std::size_t operator()(const pomelohub::digest& value) const noexcept
    {
        std::size_t result = 0;
        for (std::size_t i = 0; i < sizeof(result); ++i)
            result = (result << 8) | value[i];
        return result;
    }
};
