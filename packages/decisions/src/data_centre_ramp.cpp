#include "data_centre_ramp.h"

#include <algorithm>

namespace pomelohub {

static constexpr std::uint32_t fullWeight = 1000;

data_centre_ramp::data_centre_ramp(ramp_policy policy)
    : m_policy(policy)
{
}

std::uint32_t data_centre_ramp::weightFor(const state& state, instant now) const
{
    if (!state.inService)
        return 0;
    if (state.since == instant::min() || now - state.since >= m_policy.length)
        return fullWeight;
    auto share = std::chrono::duration<double>(now - state.since) / m_policy.length;
    auto grown = m_policy.startWeight + share * (fullWeight - m_policy.startWeight);
    return std::max(1U, static_cast<std::uint32_t>(grown));
}

void data_centre_ramp::update(const data_centre_id& dataCentre, bool inService, instant now)
{
    auto [found, isNew] = m_states.try_emplace(dataCentre);
    auto& known = found->second;
    if (!isNew && inService && !known.inService)
        known.since = now;
    known.inService = inService;
    auto weight = weightFor(known, now);
    if (!isNew && weight == known.weight)
        return;
    known.weight = weight;
    auto present = m_published.load();
    handle<weights> next(present ? new weights(*present) : new weights);
    next->entries[dataCentre] = weight;
    m_published.publish(next);
}

std::uint32_t data_centre_ramp::weightOf(const data_centre_id& dataCentre) const
{
    return m_published.read([&](const weights* present) {
        if (!present)
            return fullWeight;
        auto found = present->entries.find(dataCentre);
        return found == present->entries.end() ? fullWeight : found->second;
    });
}

} // namespace pomelohub
