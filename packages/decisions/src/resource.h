/** \file
 * Defines the configuration resources that operators write (organisations, services with their routes, data
 * centres and capacity floors) and the log record of a change to one of them.
 */
#pragma once

#include "core_types.h"
#include "rcu_cell.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pomelohub {

/** A customer of the fleet, with its API keys and its rate limit, which holds for all nodes together. */
struct organisation {
    organisation_id id;
    std::vector<digest> apiKeyDigests; ///< SHA-256 of the API keys.
    double requestsPerSecond = 0;
    std::uint32_t burst = 0; ///< In requests.
    bool operator==(const organisation&) const = default;
};

/** Matches requests of a service by method and path. The longest matching path prefix wins. */
struct route {
    std::string id;
    std::string method; ///< "*" matches every method.
    std::string pathPrefix;
    bool isIdempotent = false; ///< Requests may be retried and need no idempotency key.
    bool isPublic = false; ///< Requests need no API key.
    bool operator==(const route&) const = default;
};

/** A set of backend servers that serve the same requests. */
struct service {
    service_id id;
    std::vector<std::string> hosts;
    std::vector<route> routes;
    bool operator==(const service&) const = default;
};

/** Whether a data centre takes new requests. */
struct data_centre {
    data_centre_id id;
    bool isInService = true;
    bool operator==(const data_centre&) const = default;
};

/** The minimum number of backend servers of a service that must stay in use when others are ejected. */
struct capacity_floor {
    service_id service;
    std::uint32_t minimum = 0;
    bool operator==(const capacity_floor&) const = default;
};

/** The alternatives are in the order of resource_kind. */
using resource = std::variant<organisation, service, data_centre, capacity_floor>;

enum class resource_kind {
    organisation,
    service,
    dataCentre,
    capacityFloor,
};

std::string_view toText(resource_kind kind);
std::optional<resource_kind> resourceKindFromText(std::string_view text);

/** Identifies a resource by its kind and its name within that kind. */
struct resource_name {
    resource_kind kind = resource_kind::organisation;
    std::string name;
    auto operator<=>(const resource_name&) const = default;
};

resource_name nameOf(const resource& content);

/** A change of one resource, as a record of the configuration stream of the log. */
struct configuration_record {
    std::string id; ///< Chosen by the operator's client; the same in a repeated append.
    resource_name target;
    /** Version that the change is based on. If the resource is at another version, the record is ignored. */
    resource_version expectedVersion = 0;
    /** Set if the record restates the resource at this version before the log expires the earlier record. */
    std::optional<resource_version> restatedVersion;
    std::optional<resource> content; ///< Empty if the resource is deleted.
};

/** A resource as of the last record that was applied to it. Immutable and shared by handle. */
struct stored_resource : ref_counted<stored_resource> {
    resource_name name;
    resource_version version = 0;
    std::string recordId;
    std::optional<resource> content; ///< Empty if deleted; the version is kept to reject late records.

    template <typename T> const T* as() const { return content ? std::get_if<T>(&*content) : nullptr; }
};

} // namespace pomelohub

template <> struct std::hash<pomelohub::resource_name> {
    std::size_t operator()(const pomelohub::resource_name& name) const noexcept
    {
        return std::hash<std::string> {}(name.name) * 4 + static_cast<std::size_t>(name.kind);
    }
};
