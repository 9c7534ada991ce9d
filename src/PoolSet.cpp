#include "PoolSet.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Camphor {

PoolSet::PoolSet(DispatcherSettings settings, const ShardServices &services)
    : m_settings(std::move(settings))
    , m_services(services)
{
}

void PoolSet::apply(const std::shared_ptr<const Declaration> &declaration)
{
    std::vector<std::shared_ptr<PoolShard>> existing;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[pool, shard] : m_shards)
            existing.push_back(shard);
        for (const auto &service : declaration->services()) {
            auto &shard = m_shards[service.pool];
            if (shard)
                continue;
            auto settings = m_settings;
            settings.pool = service.pool;
            shard = std::make_shared<PoolShard>(std::move(settings), *declaration, m_services);
        }
        m_declaration = declaration;
    }
    for (const auto &shard : existing)
        shard->applyDeclaration(*declaration);
}

std::shared_ptr<const Declaration> PoolSet::declaration() const
{
    const std::lock_guard lock(m_mutex);
    return m_declaration;
}

std::shared_ptr<PoolShard> PoolSet::shardOf(const std::string &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto *declared = m_declaration ? m_declaration->service(service) : nullptr;
    return declared == nullptr ? nullptr : m_shards.at(declared->pool);
}

std::shared_ptr<PoolShard> PoolSet::shardOfPool(const std::string &pool) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_shards.find(pool);
    return it == m_shards.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<PoolShard>> PoolSet::shards() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<PoolShard>> all;
    std::ranges::transform(m_shards, std::back_inserter(all),
                           [](const auto &it) { return it.second; });
    return all;
}

void PoolSet::targetAnnounced(const TargetAnnouncement &announcement) const
{
    const auto current = declaration();
    if (!current)
        return;
    for (const auto &shard : shards()) {
        auto part = announcement;
        std::erase_if(part.services, [&](const ServiceSlots &it) {
            const auto *service = current->service(it.service);
            return service == nullptr || service->pool != shard->pool();
        });
        if (!part.services.empty())
            shard->targetAnnounced(part);
    }
}

std::size_t PoolSet::liveTasks() const
{
    const auto all = shards();
    return std::accumulate(all.begin(), all.end(), std::size_t{0},
                           [](std::size_t sum, const auto &it) { return sum + it->liveTasks(); });
}

} // namespace Camphor
