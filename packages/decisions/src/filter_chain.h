/** \file
 * Defines filter_chain, the sequence of small decisions that a request passes. Each filter lets it go on or
 * refuses it with a verdict; the order is the order in which they were added.
 */
#pragma once

#include "verdict.h"

#include <vector>

namespace pomelohub {

/** One decision about a request. Thread safety: called from any thread at once. */
template <typename Context> using filter = std::function<result<void>(Context&, const present&)>;

template <typename Context> class filter_chain {
public:
    struct named_filter {
        std::string name;
        filter<Context> decide;
    };

    /** Adds a filter at the end. Precondition: no request runs through the chain yet. */
    filter_chain& add(std::string name, filter<Context> decide)
    {
        m_filters.push_back({ std::move(name), std::move(decide) });
        return *this;
    }

    /** Runs the filters until one refuses. \param refusedBy gets the name of that one. Thread safety: any
     * thread. */
    result<void> run(Context& context, const present& now, std::string_view& refusedBy) const
    {
        for (const auto& each : m_filters) {
            auto decided = each.decide(context, now);
            if (!decided) {
                refusedBy = each.name;
                return decided;
            }
        }
        return {};
    }

    const std::vector<named_filter>& filters() const { return m_filters; }

private:
    std::vector<named_filter> m_filters;
};

} // namespace pomelohub
