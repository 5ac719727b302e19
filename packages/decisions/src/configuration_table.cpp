#include "configuration_table.h"

#include <vector>

namespace pomelohub {

template <typename Key> std::size_t configuration_table::shardOf(const Key& key)
{
    return std::hash<Key> {}(key) % shardCount;
}

template <typename Key>
handle<const stored_resource> configuration_table::lookup(const shard_cells<Key>& cells, const Key& key)
{
    return cells[shardOf(key)].read([&](const shard<Key>* current) -> handle<const stored_resource> {
        if (!current)
            return nullptr;
        auto found = current->entries.find(key);
        return found == current->entries.end() ? nullptr : found->second;
    });
}

configuration_table::configuration_table() = default;

handle<const stored_resource> configuration_table::find(const resource_name& name) const
{
    return lookup(m_byName, name);
}

handle<const stored_resource> configuration_table::findByKey(const digest& key) const
{
    return lookup(m_byKey, key);
}

handle<const stored_resource> configuration_table::findByHost(const std::string& host) const
{
    return lookup(m_byHost, host);
}

bool configuration_table::isInService(const data_centre_id& dataCentre) const
{
    auto stored = find({ resource_kind::dataCentre, dataCentre.text() });
    const auto* content = stored ? stored->as<data_centre>() : nullptr;
    return !content || content->isInService;
}

std::uint32_t configuration_table::capacityFloorOf(const service_id& service) const
{
    auto stored = find({ resource_kind::capacityFloor, service.text() });
    const auto* content = stored ? stored->as<capacity_floor>() : nullptr;
    return content ? content->minimum : 0;
}

void configuration_table::forEach(const std::function<void(const stored_resource&)>& use) const
{
    for (std::size_t shard = 0; shard < shardCount; ++shard)
        forEachInShard(shard, use);
}

void configuration_table::forEachInShard(
    std::size_t shard, const std::function<void(const stored_resource&)>& use) const
{
    auto current = m_byName.at(shard).load();
    if (!current)
        return;
    for (const auto& [name, stored] : current->entries)
        use(*stored);
}

configuration_batch::configuration_batch(configuration_table& table)
    : m_table(table)
{
}

template <typename Key>
configuration_table::shard<Key>& configuration_batch::writableShard(
    writable_shards<Key>& shards, configuration_table::shard_cells<Key>& cells, const Key& key)
{
    auto index = configuration_table::shardOf(key);
    auto& entry = shards[index];
    if (!entry) {
        auto current = cells[index].load();
        entry = current ? new configuration_table::shard<Key>(*current) : new configuration_table::shard<Key>;
    }
    return *entry;
}

template <typename Key>
handle<const stored_resource> configuration_batch::lookup(const writable_shards<Key>& shards,
    const configuration_table::shard_cells<Key>& cells, const Key& key) const
{
    auto modified = shards.find(configuration_table::shardOf(key));
    if (modified == shards.end())
        return configuration_table::lookup(cells, key);
    auto found = modified->second->entries.find(key);
    return found == modified->second->entries.end() ? nullptr : found->second;
}

handle<const stored_resource> configuration_batch::find(const resource_name& name) const
{
    return lookup(m_byName, m_table.m_byName, name);
}

handle<const stored_resource> configuration_batch::findByKey(const digest& key) const
{
    return lookup(m_byKey, m_table.m_byKey, key);
}

handle<const stored_resource> configuration_batch::findByHost(const std::string& host) const
{
    return lookup(m_byHost, m_table.m_byHost, host);
}

void configuration_batch::put(const handle<const stored_resource>& next)
{
    if (auto replaced = find(next->name))
        removeFromIndices(*replaced);
    writableShard(m_byName, m_table.m_byName, next->name).entries[next->name] = next;
    addToIndices(next);
}

namespace {

    /** Removes \p key unless another resource owns it by now. */
    template <typename Entries, typename Key>
    void eraseIfOwnedBy(Entries& entries, const Key& key, const resource_name& owner)
    {
        auto found = entries.find(key);
        if (found != entries.end() && found->second->name == owner)
            entries.erase(found);
    }

} // namespace

void configuration_batch::removeFromIndices(const stored_resource& replaced)
{
    if (const auto* content = replaced.as<organisation>()) {
        for (const auto& key : content->apiKeyDigests)
            eraseIfOwnedBy(writableShard(m_byKey, m_table.m_byKey, key).entries, key, replaced.name);
    }
    if (const auto* content = replaced.as<service>()) {
        for (const auto& host : content->hosts)
            eraseIfOwnedBy(writableShard(m_byHost, m_table.m_byHost, host).entries, host, replaced.name);
    }
}

void configuration_batch::addToIndices(const handle<const stored_resource>& next)
{
    if (const auto* content = next->as<organisation>()) {
        for (const auto& key : content->apiKeyDigests)
            writableShard(m_byKey, m_table.m_byKey, key).entries[key] = next;
    }
    if (const auto* content = next->as<service>()) {
        for (const auto& host : content->hosts)
            writableShard(m_byHost, m_table.m_byHost, host).entries[host] = next;
    }
}

namespace {

    template <typename Shards, typename Cells, typename Replaced>
    void publishShards(Shards& shards, Cells& cells, Replaced& replacedShards)
    {
        for (auto& [index, shard] : shards)
            replacedShards.push_back(cells[index].exchange(shard));
    }

} // namespace

void configuration_batch::publish()
{
    // Keeps the replaced shards alive until the grace period has ended.
    std::vector<handle<const configuration_table::shard<resource_name>>> names;
    std::vector<handle<const configuration_table::shard<digest>>> keys;
    std::vector<handle<const configuration_table::shard<std::string>>> hosts;
    publishShards(m_byName, m_table.m_byName, names);
    publishShards(m_byKey, m_table.m_byKey, keys);
    publishShards(m_byHost, m_table.m_byHost, hosts);
    rcuSynchronize();
}

} // namespace pomelohub
