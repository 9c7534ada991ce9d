#include "ExplainLog.h"

#include <utility>

namespace Camphor {

void ExplainLog::add(const std::string &requestId, std::string text)
{
    const auto now = m_clock.now();
    auto &shard = m_shards[shardOf(requestId)];
    const std::lock_guard lock(shard.mutex);
    auto [it, isNew] = shard.requests.try_emplace(requestId);
    if (it->second.size() < MaxLinesPerRequest)
        it->second.push_back({now, std::move(text)});
    if (!isNew)
        return;
    shard.insertionOrder.push_back(requestId);
    if (shard.insertionOrder.size() > MaxRequestsPerShard) {
        shard.requests.erase(shard.insertionOrder.front());
        shard.insertionOrder.pop_front();
    }
}

std::vector<ExplainLog::Line> ExplainLog::lines(const std::string &requestId) const
{
    const auto &shard = m_shards[shardOf(requestId)];
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.requests.find(requestId);
    return it == shard.requests.end() ? std::vector<Line>{} : it->second;
}

} // namespace Camphor
