/** \file
 * Defines filter_chain, a sequence of request filters that run in the order in which they were added. Each
 * one lets the request continue or refuses it.
 */
#pragma once

#include "request_error.h"

#include <vector>

namespace pomelohub {

/** Lets a request continue or refuses it. Thread safety: called by several threads at once. */
template <typename Context> using filter = std::function<result<void>(Context&, const present&)>;

/** The filters of one kind of request. \tparam Context is passed to each filter, which may change it. */
template <typename Context> class filter_chain {
public:
    struct named_filter {
        std::string name;
        filter<Context> decide;
    };

    /** Appends a filter. Precondition: no request uses the chain yet. */
    filter_chain& add(std::string name, filter<Context> decide)
    {
        m_filters.push_back({ std::move(name), std::move(decide) });
        return *this;
    }

    /** Runs the filters until one refuses the request. \param refusedBy set to the name of that filter.
     * \return the refusal, if any. Thread safety: any thread. */
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
