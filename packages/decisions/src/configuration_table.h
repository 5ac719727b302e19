/** \file
 * Defines configuration_table, the configuration that is applied at this node. Request threads read it by
 * read-copy-update; it is sharded so that a change copies one shard instead of the whole table.
 */
#pragma once

#include "resource.h"

#include <unordered_map>

namespace pomelohub {

/** Read side of the applied configuration. */
class configuration_table {
public:
    static constexpr std::size_t shardCount = 1024;

    configuration_table();

    /** The resource named \p name, also if it has been deleted; null if it never existed. Thread safety: any
     * thread. */
    handle<const stored_resource> find(const resource_name& name) const;

    /** The organisation that owns the API key with digest \p key, or null. Thread safety: any thread. */
    handle<const stored_resource> findByKey(const digest& key) const;

    /** The service that serves \p host, or null. Thread safety: any thread. */
    handle<const stored_resource> findByHost(const std::string& host) const;

    /** Whether \p dataCentre accepts new requests; true if it has no resource. Thread safety: any thread. */
    bool isInService(const data_centre_id& dataCentre) const;

    /** Minimum number of backend servers that ejection must leave in use for \p service; 0 if none is set.
     * Thread safety: any thread. */
    std::uint32_t capacityFloorOf(const service_id& service) const;

    /** Calls \p use for each resource, deleted ones included. Thread safety: any thread. The iteration is not
     * a consistent snapshot: a batch that is published meanwhile may be seen in part. */
    void forEach(const std::function<void(const stored_resource&)>& use) const;

    /** Calls \p use for each resource of one shard. Precondition: \p shard is less than shardCount. Thread
     * safety: any thread. */
    void forEachInShard(std::size_t shard, const std::function<void(const stored_resource&)>& use) const;

private:
    friend class configuration_batch;

    template <typename Key> struct shard : ref_counted<shard<Key>> {
        std::unordered_map<Key, handle<const stored_resource>> entries;
    };
    template <typename Key> using shard_cells = std::array<rcu_cell<shard<Key>>, shardCount>;

    template <typename Key> static std::size_t shardOf(const Key& key);
    template <typename Key>
    static handle<const stored_resource> lookup(const shard_cells<Key>& cells, const Key& key);

    shard_cells<resource_name> m_byName;
    shard_cells<digest> m_byKey;
    shard_cells<std::string> m_byHost;
};

/** Write side: collects changes to any number of resources and publishes them with a single grace period.
 * Precondition: at most one batch exists per table at a time, which configuration_controller ensures. */
class configuration_batch {
public:
    explicit configuration_batch(configuration_table& table);

    /** Looks up a resource with the changes of this batch applied. */
    handle<const stored_resource> find(const resource_name& name) const;
    handle<const stored_resource> findByKey(const digest& key) const;
    handle<const stored_resource> findByHost(const std::string& host) const;

    /** Replaces the resource that has the name of \p next and updates the indices. */
    void put(const handle<const stored_resource>& next);

    /** Publishes all changes and waits for a grace period. Must be called once, as the last call. */
    void publish();

private:
    template <typename Key>
    using writable_shards = std::unordered_map<std::size_t, handle<configuration_table::shard<Key>>>;

    template <typename Key>
    configuration_table::shard<Key>& writableShard(
        writable_shards<Key>& shards, configuration_table::shard_cells<Key>& cells, const Key& key);
    template <typename Key>
    handle<const stored_resource> lookup(const writable_shards<Key>& shards,
        const configuration_table::shard_cells<Key>& cells, const Key& key) const;
    void removeFromIndices(const stored_resource& replaced);
    void addToIndices(const handle<const stored_resource>& next);

    configuration_table& m_table;
    writable_shards<resource_name> m_byName;
    writable_shards<digest> m_byKey;
    writable_shards<std::string> m_byHost;
};

} // namespace pomelohub
