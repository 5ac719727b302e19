/** \file
 * Defines the types of time, names and digests that every package shares, so that no signature carries a
 * bare number or string where a meaning is needed.
 */
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace pomelohub {

/** A point of the monotonic clock of one process. Never sent to another process. */
using instant = std::chrono::steady_clock::time_point;

/** A span of monotonic time. */
using duration = std::chrono::steady_clock::duration;

/** The span of \p seconds, fractions included. */
inline duration durationOf(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/** \p time times \p factor. */
inline duration scaled(duration time, double factor)
{
    return std::chrono::duration_cast<duration>(time * factor);
}

/** A point of the wall clock, as carried by idempotency keys and log records. */
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/** The present time on both clocks, read once at the edge of the process and passed down. */
struct present {
    instant monotonic;
    wall_time wall;
};

/** Source of the present time; tests pass their own. Thread safety: called from any thread. */
using clock_hook = std::function<present()>;

/** A name whose type says what it names. \tparam Tag is never instantiated. */
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

/** SHA-256 of a key or of a request; the only form in which a key is stored or shown. */
using digest = std::array<std::uint8_t, 32>;

/** Version of a resource: one more than the log offset of the record that last changed it; 0 is "none". */
using resource_version = std::uint64_t;

/** Number of starts of a node, taken from its wall clock at start so that a restart always raises it. */
using incarnation = std::uint64_t;

/** A node in one of its lives. */
struct node_life {
    node_id node;
    incarnation life = 0;
    auto operator<=>(const node_life&) const = default;
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
