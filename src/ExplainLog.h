/// @file Stores the decisions about the most recent requests, for GET /v1/explain/{requestId}.
#pragma once

#include "Time.h"

#include <array>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace Camphor {

/// Bounded in the number of requests and of lines per request; the oldest request is evicted first.
/// Thread-safe, sharded by request id.
class ExplainLog
{
public:
    struct Line
    {
        Milliseconds time;
        std::string text;
    };

    explicit ExplainLog(const Clock &clock)
        : m_clock(clock)
    {
    }

    void add(const std::string &requestId, std::string text);
    [[nodiscard]] std::vector<Line> lines(const std::string &requestId) const;

    static constexpr std::size_t ShardCount = 8;
    static constexpr std::size_t MaxRequestsPerShard = 256;
    static constexpr std::size_t MaxLinesPerRequest = 64;

private:
    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::string, std::vector<Line>> requests;
        std::deque<std::string> insertionOrder;
    };

    [[nodiscard]] std::size_t shardOf(const std::string &requestId) const
    {
        return std::hash<std::string>{}(requestId) % ShardCount;
    }

    const Clock &m_clock;
    std::array<Shard, ShardCount> m_shards;
};

} // namespace Camphor
