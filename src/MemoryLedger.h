/// @file An in-process submission ledger, for tests and for entries without ledger servers.
#pragma once

#include "SubmissionLedger.h"

#include <array>
#include <deque>
#include <mutex>
#include <unordered_map>

namespace Camphor {

/// Limits of a MemoryLedger.
struct MemoryLedgerSettings
{
    std::size_t maxClaims = 200'000; ///< Further claims are refused as Full.
    Milliseconds retention{900'000}; ///< Of a claim, counted from its grant.

    auto operator<=>(const MemoryLedgerSettings &) const = default;
};

/// Holds claims in memory only; a restart of the process loses them. Thread-safe.
class MemoryLedger : public SubmissionLedger
{
public:
    explicit MemoryLedger(const Clock &clock, const MemoryLedgerSettings &settings = {});

    void claim(ClaimRequest request, Milliseconds timeout, ClaimCallback callback) override;
    void finish(FinishRequest request, Milliseconds timeout, FinishCallback callback) override;
    void query(std::string key, Milliseconds timeout, ClaimCallback callback) override;

private:
    struct Record
    {
        ClaimRequest claim;
        bool isFinished = false;
        FinishRequest end;
        Milliseconds claimedAt;
    };
    struct Shard
    {
        std::mutex mutex;
        std::unordered_map<std::string, Record> records;
        std::deque<std::pair<Milliseconds, std::string>> byAge;
    };

    static constexpr std::size_t ShardCount = 16;

    Shard &shardOf(const std::string &key);
    void evictExpired(Shard &shard) const;
    [[nodiscard]] static ClaimReply replyFor(const Record &record);

    const Clock &m_clock;
    const MemoryLedgerSettings m_settings;
    std::array<Shard, ShardCount> m_shards;
};

} // namespace Camphor
