#include "fleet_view.h"

namespace pomelohub {

static constexpr std::array<std::string_view, 3> conditionTexts { "cold", "warm", "draining" };

std::string_view toText(backend_condition condition)
{
    return conditionTexts.at(static_cast<std::size_t>(condition));
}

std::optional<backend_condition> backendConditionFromText(std::string_view text)
{
    for (std::size_t i = 0; i < conditionTexts.size(); ++i) {
        if (conditionTexts[i] == text)
            return static_cast<backend_condition>(i);
    }
    return std::nullopt;
}

void backend_stats::recordResult(bool failed, duration latency)
{
    auto micros = std::chrono::duration_cast<std::chrono::microseconds>(latency).count();
    latencySum.fetch_add(static_cast<std::uint64_t>(micros), std::memory_order_relaxed);
    if (failed)
        failures.fetch_add(1, std::memory_order_relaxed);
    responses.fetch_add(1, std::memory_order_release);
}

} // namespace pomelohub
