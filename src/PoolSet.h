/// @file The pools of an entry, as the declaration in force names them.
#pragma once

#include "PoolShard.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Camphor {

/// Finds the shard of a service and passes on what concerns all shards. Thread-safe.
class PoolSet
{
public:
    PoolSet(DispatcherSettings settings, const ShardServices &services);

    /// Puts a declaration in force. The caller makes sure that versions only grow.
    void apply(const std::shared_ptr<const Declaration> &declaration);
    /// The declaration in force; nullptr before the first one.
    [[nodiscard]] std::shared_ptr<const Declaration> declaration() const;

    /// The shard of a declared service, or nullptr.
    [[nodiscard]] std::shared_ptr<PoolShard> shardOf(const std::string &service) const;
    [[nodiscard]] std::shared_ptr<PoolShard> shardOfPool(const std::string &pool) const;
    [[nodiscard]] std::vector<std::shared_ptr<PoolShard>> shards() const;

    /// Gives each pool the services of the announcement that belong to it.
    void targetAnnounced(const TargetAnnouncement &announcement) const;

    [[nodiscard]] std::size_t liveTasks() const;

private:
    const DispatcherSettings m_settings;
    const ShardServices m_services;
    mutable std::mutex m_mutex;
    std::shared_ptr<const Declaration> m_declaration;
    std::map<std::string, std::shared_ptr<PoolShard>> m_shards;
};

} // namespace Camphor
