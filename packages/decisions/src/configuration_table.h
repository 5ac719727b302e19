/** \file
 * Defines configuration_table, the configuration in force at this node, sharded so that one change copies one
 * shard and readers on the path of a request follow it by read-copy-update.
 */
#pragma once

#include "resource.h"

#include <unordered_map>

namespace pomelohub {

/** Read side of the configuration in force. */
class configuration_table {
public:
    static constexpr std::size_t shardCount = 1024;

    configuration_table();

    /** The resource called \p name, deleted ones included; null when it never existed. Thread safety: any
     * thread. */
    handle<const stored_resource> find(const resource_name& name) const;

    /** The organisation one of whose keys has the digest \p key, or null. Thread safety: any thread. */
    handle<const stored_resource> findByKey(const digest& key) const;

    /** The service that answers for \p host, or null. Thread safety: any thread. */
    handle<const stored_resource> findByHost(const std::string& host) const;

    /** Whether \p dataCentre takes new work; one without a resource does. Thread safety: any thread. */
    bool isInService(const data_centre_id& dataCentre) const;

    /** The capacity floor of \p service, 0 when none is set. Thread safety: any thread. */
    std::uint32_t floorOf(const service_id& service) const;

    /** Calls \p use for each resource, deleted ones included. Thread safety: any thread; changes made
     * meanwhile may be seen in part. */
    void forEach(const std::function<void(const stored_resource&)>& use) const;

    /** The same for the resources of one shard. Precondition: \p shard is below shardCount. */
    void forEachIn(std::size_t shard, const std::function<void(const stored_resource&)>& use) const;

private:
    friend class configuration_batch;

    template <typename Key> struct shard : counted<shard<Key>> {
        std::unordered_map<Key, handle<const stored_resource>> entries;
    };
    template <typename Key> using shard_cells = std::array<rcu_cell<shard<Key>>, shardCount>;

    template <typename Key> static std::size_t shardOf(const Key& key);
    template <typename Key>
    static handle<const stored_resource> lookUp(const shard_cells<Key>& cells, const Key& key);

    shard_cells<resource_name> m_byName;
    shard_cells<digest> m_byKey;
    shard_cells<std::string> m_byHost;
};

/** Write side: collects changes of many resources and publishes them with one grace period. One batch at a
 * time per table; the configuration controller sees to that. */
class configuration_batch {
public:
    explicit configuration_batch(configuration_table& table);

    /** The resource as it stands with the changes collected so far. */
    handle<const stored_resource> find(const resource_name& name) const;
    handle<const stored_resource> findByKey(const digest& key) const;
    handle<const stored_resource> findByHost(const std::string& host) const;

    /** Puts \p next in the place of the resource with its name and mends the indices. */
    void put(const handle<const stored_resource>& next);

    /** Publishes all changes and waits for the grace period. Must be called once, last. */
    void publish();

private:
    template <typename Key>
    using working_shards = std::unordered_map<std::size_t, handle<configuration_table::shard<Key>>>;

    template <typename Key>
    configuration_table::shard<Key>& working(
        working_shards<Key>& shards, configuration_table::shard_cells<Key>& cells, const Key& key);
    template <typename Key>
    handle<const stored_resource> lookUp(const working_shards<Key>& shards,
        const configuration_table::shard_cells<Key>& cells, const Key& key) const;
    void dropIndices(const stored_resource& former);
    void addIndices(const handle<const stored_resource>& next);

    configuration_table& m_table;
    working_shards<resource_name> m_byName;
    working_shards<digest> m_byKey;
    working_shards<std::string> m_byHost;
};

} // namespace pomelohub
