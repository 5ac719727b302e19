#include "data_centre_slow_start.h"

#include <algorithm>

namespace pomelohub {

static constexpr std::uint32_t fullWeight = 1000;

data_centre_slow_start::data_centre_slow_start(slow_start_policy policy)
    : m_policy(policy)
{
}

std::uint32_t data_centre_slow_start::weightFor(const data_centre_state& state, instant now) const
{
    if (!state.isInService)
        return 0;
    if (state.restoredAt == instant::min() || now - state.restoredAt >= m_policy.window)
        return fullWeight;
    auto progress = std::chrono::duration<double>(now - state.restoredAt) / m_policy.window;
    auto rampedWeight = m_policy.initialWeight + progress * (fullWeight - m_policy.initialWeight);
    return std::max(1U, static_cast<std::uint32_t>(rampedWeight));
}

void data_centre_slow_start::update(const data_centre_id& dataCentre, bool isInService, instant now)
{
    auto [found, isNew] = m_states.try_emplace(dataCentre);
    auto& known = found->second;
    if (!isNew && isInService && !known.isInService)
        known.restoredAt = now;
    known.isInService = isInService;
    auto weight = weightFor(known, now);
    if (!isNew && weight == known.weight)
        return;
    known.weight = weight;
    auto current = m_weights.load();
    handle<weight_map> next(current ? new weight_map(*current) : new weight_map);
    next->entries[dataCentre] = weight;
    m_weights.publish(next);
}

std::uint32_t data_centre_slow_start::weightOf(const data_centre_id& dataCentre) const
{
    return m_weights.read([&](const weight_map* current) {
        if (!current)
            return fullWeight;
        auto found = current->entries.find(dataCentre);
        return found == current->entries.end() ? fullWeight : found->second;
    });
}

} // namespace pomelohub
