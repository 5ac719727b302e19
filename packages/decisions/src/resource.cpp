#include "resource.h"

#include <array>

namespace pomelohub {

static constexpr std::array<std::string_view, 4> kindTexts { "organisation", "service", "data-centre",
    "capacity-floor" };

std::string_view toText(resource_kind kind) { return kindTexts.at(static_cast<std::size_t>(kind)); }

std::optional<resource_kind> resourceKindFromText(std::string_view text)
{
    for (std::size_t i = 0; i < kindTexts.size(); ++i) {
        if (kindTexts[i] == text)
            return static_cast<resource_kind>(i);
    }
    return std::nullopt;
}

namespace {

    struct name_visitor {
        std::string operator()(const organisation& value) const { return value.id.text(); }
        std::string operator()(const service& value) const { return value.id.text(); }
        std::string operator()(const data_centre& value) const { return value.id.text(); }
        std::string operator()(const capacity_floor& value) const { return value.service.text(); }
    };

} // namespace

resource_name nameOf(const resource& content)
{
    return { static_cast<resource_kind>(content.index()), std::visit(name_visitor {}, content) };
}

} // namespace pomelohub
