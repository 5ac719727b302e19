/** \file
 * Defines the configuration resources that operators write: organisations, services with their routes, data
 * centres and capacity floors, and the record that carries one change of one of them through the log.
 */
#pragma once

#include "core_types.h"
#include "rcu_cell.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pomelohub {

/** A customer of the fleet with its keys and its limit over all nodes together. */
struct organisation {
    organisation_id id;
    std::vector<digest> keys;
    double requestsPerSecond = 0;
    std::uint32_t burst = 0;
    bool operator==(const organisation&) const = default;
};

/** One kind of request of a service. The longest matching path prefix wins. */
struct route {
    std::string id;
    std::string method; ///< "*" matches every method.
    std::string pathPrefix;
    bool idempotent = false; ///< May be retried and needs no idempotency key.
    bool open = false; ///< Served without a key.
    bool operator==(const route&) const = default;
};

/** A set of backend servers that answer the same requests. */
struct service {
    service_id id;
    std::vector<std::string> hosts;
    std::vector<route> routes;
    bool operator==(const service&) const = default;
};

/** Whether a data centre takes new work. */
struct data_centre {
    data_centre_id id;
    bool inService = true;
    bool operator==(const data_centre&) const = default;
};

/** How many backend servers of a service ejection must leave in use. */
struct capacity_floor {
    service_id service;
    std::uint32_t minimum = 0;
    bool operator==(const capacity_floor&) const = default;
};

/** Order of the alternatives equals the order of resource_kind. */
using resource = std::variant<organisation, service, data_centre, capacity_floor>;

enum class resource_kind {
    organisation,
    service,
    dataCentre,
    capacityFloor,
};

std::string_view toText(resource_kind kind);
std::optional<resource_kind> resourceKindFromText(std::string_view text);

/** Names one resource among all kinds. */
struct resource_name {
    resource_kind kind = resource_kind::organisation;
    std::string name;
    auto operator<=>(const resource_name&) const = default;
};

resource_name nameOf(const resource& content);

/** One change of one resource, as a record of the configuration stream. */
struct configuration_record {
    std::string id; ///< Made by the operator's program; a repeated append carries the same one.
    resource_name target;
    resource_version replaces = 0; ///< Version that the operator saw; the record is void on any other.
    std::optional<resource_version> restates; ///< Set when the record repeats an old one before it expires.
    std::optional<resource> content; ///< Nothing when the resource is deleted.
};

/** A resource as it stands after a record took effect. Contents never change; share it by handle. */
struct stored_resource : counted<stored_resource> {
    resource_name name;
    resource_version version = 0;
    std::string recordId;
    std::optional<resource> content; ///< Nothing when deleted; the version stays to fence late records.

    template <typename T> const T* as() const { return content ? std::get_if<T>(&*content) : nullptr; }
};

} // namespace pomelohub

template <> struct std::hash<pomelohub::resource_name> {
    std::size_t operator()(const pomelohub::resource_name& name) const noexcept
    {
        return std::hash<std::string> {}(name.name) * 4 + static_cast<std::size_t>(name.kind);
    }
};
