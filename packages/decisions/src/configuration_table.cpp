#include "configuration_table.h"

#include <vector>

namespace pomelohub {

template <typename Key> std::size_t configuration_table::shardOf(const Key& key)
{
    return std::hash<Key> {}(key) % shardCount;
}

template <typename Key>
handle<const stored_resource> configuration_table::lookUp(const shard_cells<Key>& cells, const Key& key)
{
    return cells[shardOf(key)].read([&](const shard<Key>* present) -> handle<const stored_resource> {
        if (!present)
            return nullptr;
        auto found = present->entries.find(key);
        return found == present->entries.end() ? nullptr : found->second;
    });
}

configuration_table::configuration_table() = default;

handle<const stored_resource> configuration_table::find(const resource_name& name) const
{
    return lookUp(m_byName, name);
}

handle<const stored_resource> configuration_table::findByKey(const digest& key) const
{
    return lookUp(m_byKey, key);
}

handle<const stored_resource> configuration_table::findByHost(const std::string& host) const
{
    return lookUp(m_byHost, host);
}

bool configuration_table::isInService(const data_centre_id& dataCentre) const
{
    auto stored = find({ resource_kind::dataCentre, dataCentre.text() });
    const auto* content = stored ? stored->as<data_centre>() : nullptr;
    return !content || content->inService;
}

std::uint32_t configuration_table::floorOf(const service_id& service) const
{
    auto stored = find({ resource_kind::capacityFloor, service.text() });
    const auto* content = stored ? stored->as<capacity_floor>() : nullptr;
    return content ? content->minimum : 0;
}

void configuration_table::forEach(const std::function<void(const stored_resource&)>& use) const
{
    for (std::size_t shard = 0; shard < shardCount; ++shard)
        forEachIn(shard, use);
}

void configuration_table::forEachIn(
    std::size_t shard, const std::function<void(const stored_resource&)>& use) const
{
    auto present = m_byName.at(shard).load();
    if (!present)
        return;
    for (const auto& [name, stored] : present->entries)
        use(*stored);
}

configuration_batch::configuration_batch(configuration_table& table)
    : m_table(table)
{
}

template <typename Key>
configuration_table::shard<Key>& configuration_batch::working(
    working_shards<Key>& shards, configuration_table::shard_cells<Key>& cells, const Key& key)
{
    auto index = configuration_table::shardOf(key);
    auto& entry = shards[index];
    if (!entry) {
        auto present = cells[index].load();
        entry = present ? new configuration_table::shard<Key>(*present) : new configuration_table::shard<Key>;
    }
    return *entry;
}

template <typename Key>
handle<const stored_resource> configuration_batch::lookUp(const working_shards<Key>& shards,
    const configuration_table::shard_cells<Key>& cells, const Key& key) const
{
    auto touched = shards.find(configuration_table::shardOf(key));
    if (touched == shards.end())
        return configuration_table::lookUp(cells, key);
    auto found = touched->second->entries.find(key);
    return found == touched->second->entries.end() ? nullptr : found->second;
}

handle<const stored_resource> configuration_batch::find(const resource_name& name) const
{
    return lookUp(m_byName, m_table.m_byName, name);
}

handle<const stored_resource> configuration_batch::findByKey(const digest& key) const
{
    return lookUp(m_byKey, m_table.m_byKey, key);
}

handle<const stored_resource> configuration_batch::findByHost(const std::string& host) const
{
    return lookUp(m_byHost, m_table.m_byHost, host);
}

void configuration_batch::put(const handle<const stored_resource>& next)
{
    if (auto former = find(next->name))
        dropIndices(*former);
    working(m_byName, m_table.m_byName, next->name).entries[next->name] = next;
    addIndices(next);
}

namespace {

    /** Removes \p key unless it passed to another resource in the meantime. */
    template <typename Entries, typename Key>
    void eraseIfHeldBy(Entries& entries, const Key& key, const resource_name& holder)
    {
        auto found = entries.find(key);
        if (found != entries.end() && found->second->name == holder)
            entries.erase(found);
    }

} // namespace

void configuration_batch::dropIndices(const stored_resource& former)
{
    if (const auto* content = former.as<organisation>()) {
        for (const auto& key : content->keys)
            eraseIfHeldBy(working(m_byKey, m_table.m_byKey, key).entries, key, former.name);
    }
    if (const auto* content = former.as<service>()) {
        for (const auto& host : content->hosts)
            eraseIfHeldBy(working(m_byHost, m_table.m_byHost, host).entries, host, former.name);
    }
}

void configuration_batch::addIndices(const handle<const stored_resource>& next)
{
    if (const auto* content = next->as<organisation>()) {
        for (const auto& key : content->keys)
            working(m_byKey, m_table.m_byKey, key).entries[key] = next;
    }
    if (const auto* content = next->as<service>()) {
        for (const auto& host : content->hosts)
            working(m_byHost, m_table.m_byHost, host).entries[host] = next;
    }
}

namespace {

    template <typename Shards, typename Cells, typename Formers>
    void publishShards(Shards& shards, Cells& cells, Formers& formers)
    {
        for (auto& [index, shard] : shards)
            formers.push_back(cells[index].exchange(shard));
    }

} // namespace

void configuration_batch::publish()
{
    std::vector<handle<const configuration_table::shard<resource_name>>> names;
    std::vector<handle<const configuration_table::shard<digest>>> keys;
    std::vector<handle<const configuration_table::shard<std::string>>> hosts;
    publishShards(m_byName, m_table.m_byName, names);
    publishShards(m_byKey, m_table.m_byKey, keys);
    publishShards(m_byHost, m_table.m_byHost, hosts);
    rcuSynchronize();
}

} // namespace pomelohub
