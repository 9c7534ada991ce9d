#include "MemoryLedger.h"

namespace Camphor {

MemoryLedger::MemoryLedger(const Clock &clock, const MemoryLedgerSettings &settings)
    : m_clock(clock)
    , m_settings(settings)
{
}

MemoryLedger::Shard &MemoryLedger::shardOf(const std::string &key)
{
    return m_shards[std::hash<std::string>{}(key) % ShardCount];
}

void MemoryLedger::evictExpired(Shard &shard) const
{
    const auto oldest = m_clock.now() - m_settings.retention;
    while (!shard.byAge.empty() && shard.byAge.front().first < oldest) {
        const auto &[claimedAt, key] = shard.byAge.front();
        const auto it = shard.records.find(key);
        // The record of a key that was released and claimed again is younger.
        if (it != shard.records.end() && it->second.claimedAt == claimedAt)
            shard.records.erase(it);
        shard.byAge.pop_front();
    }
}

ClaimReply MemoryLedger::replyFor(const Record &record)
{
    ClaimReply reply;
    reply.state = record.isFinished ? ClaimState::Stored : ClaimState::Running;
    reply.executor = record.claim.executor;
    reply.taskCount = record.claim.taskCount;
    if (record.isFinished) {
        reply.outcome = record.end.outcome;
        reply.started = record.end.started;
        reply.response = record.end.response;
        reply.hasResponse = true;
    }
    return reply;
}

void MemoryLedger::claim(ClaimRequest request, Milliseconds /*timeout*/, ClaimCallback callback)
{
    ClaimReply reply;
    {
        auto &shard = shardOf(request.key);
        const std::lock_guard lock(shard.mutex);
        evictExpired(shard);
        const auto it = shard.records.find(request.key);
        if (it == shard.records.end()) {
            if (shard.byAge.size() >= m_settings.maxClaims / ShardCount) {
                reply.state = ClaimState::Full;
            } else {
                const auto now = m_clock.now();
                auto key = request.key;
                shard.byAge.emplace_back(now, key);
                shard.records.emplace(std::move(key), Record{std::move(request), false, {}, now});
                reply.state = ClaimState::Granted;
            }
        } else if (it->second.claim.payloadHash != request.payloadHash) {
            reply.state = ClaimState::PayloadMismatch;
        } else if (!it->second.isFinished && it->second.claim.nonce == request.nonce) {
            reply.state = ClaimState::Granted;
        } else {
            reply = replyFor(it->second);
        }
    }
    callback(std::move(reply));
}

void MemoryLedger::finish(FinishRequest request, Milliseconds /*timeout*/, FinishCallback callback)
{
    bool isRecorded = false;
    {
        auto &shard = shardOf(request.key);
        const std::lock_guard lock(shard.mutex);
        const auto it = shard.records.find(request.key);
        if (it == shard.records.end() || it->second.claim.nonce != request.nonce) {
            // The claim was already released, or its record was evicted.
            isRecorded = request.outcome == Outcome::NotRun;
        } else if (request.outcome == Outcome::NotRun) {
            shard.records.erase(it);
            isRecorded = true;
        } else {
            it->second.isFinished = true;
            it->second.end = std::move(request);
            isRecorded = true;
        }
    }
    callback(isRecorded);
}

void MemoryLedger::query(std::string key, Milliseconds /*timeout*/, ClaimCallback callback)
{
    ClaimReply reply;
    {
        auto &shard = shardOf(key);
        const std::lock_guard lock(shard.mutex);
        const auto it = shard.records.find(key);
        if (it == shard.records.end())
            reply.state = ClaimState::Absent;
        else
            reply = replyFor(it->second);
    }
    callback(std::move(reply));
}

} // namespace Camphor
