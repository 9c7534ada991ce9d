/// @file The pools of an entry according to the current declaration.
#pragma once

#include "PoolShard.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Camphor {

/// Maps services to shards, and passes declarations and announcements to the shards. Thread-safe.
class PoolSet
{
public:
    PoolSet(DispatcherSettings settings, const ShardServices &services);

    /// Applies a declaration. The caller must ensure that versions only increase.
    void apply(const std::shared_ptr<const Declaration> &declaration);
    /// The current declaration; nullptr before the first one.
    [[nodiscard]] std::shared_ptr<const Declaration> declaration() const;

    /// The shard of a declared service, or nullptr.
    [[nodiscard]] std::shared_ptr<PoolShard> shardOf(const std::string &service) const;
    [[nodiscard]] std::shared_ptr<PoolShard> shardOfPool(const std::string &pool) const;
    [[nodiscard]] std::vector<std::shared_ptr<PoolShard>> shards() const;

    /// Passes the announcement to each pool, reduced to the services of that pool.
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
