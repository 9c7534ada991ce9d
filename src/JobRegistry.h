/// @file The live submissions of this entry, by key: those that it executes, and those that wait
/// for another executor.
#pragma once

#include "CallerRequest.h"
#include "JobAssembler.h"

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Camphor {

/// Receives the response to a submission. Called without a lock held.
using ResponseCallback = std::function<void(const JobResponse &)>;

/// One submission, from its acceptance until its outcome is recorded. Thread-safe.
class Execution
{
public:
    Execution(Submission request, std::string ledgerKey, bool needsClaim, Milliseconds limit);

    const Submission submission;
    const std::string key; ///< Key in the ledger; the request id if the ledger is not used.
    const bool requiresClaim; ///< If false, it is executed without the ledger.
    const std::string nonce; ///< Nonce of the claim.
    const Milliseconds deadline; ///< Time of the monotonic clock.
    JobAssembler assembler;

    [[nodiscard]] bool hasCallerKey() const { return !submission.key.empty(); }

    /// Calls back with the response, at once if it is already known.
    void addWaiter(ResponseCallback waiter);
    /// Passes the response to all waiters. Later responses are ignored. @return whether this was
    /// the first one.
    bool setResponse(const JobResponse &response);
    [[nodiscard]] std::optional<JobResponse> response() const;

    /// Requests cancellation. @return whether the tasks were already submitted.
    bool requestCancel();
    /// Marks the tasks as submitted. @return false if the submission was cancelled before.
    bool beginSubmit();
    [[nodiscard]] bool isCancelled() const;

private:
    mutable std::mutex m_mutex;
    std::vector<ResponseCallback> m_waiters;
    std::optional<JobResponse> m_response;
    bool m_isCancelled = false;
    bool m_isSubmitted = false;
};

/// Live executions by key, sharded, each shard under its own lock.
class JobRegistry
{
public:
    /// The result of findOrAdd(): the execution of the key, which is the given one if there was
    /// none.
    struct Lookup
    {
        std::shared_ptr<Execution> execution;
        bool isNew = false;
    };
    Lookup findOrAdd(const std::shared_ptr<Execution> &execution);
    /// Adds the execution, replacing another one of the same key.
    void addOrReplace(const std::shared_ptr<Execution> &execution);
    [[nodiscard]] std::shared_ptr<Execution> find(const std::string &key) const;
    void remove(const std::shared_ptr<Execution> &execution);
    [[nodiscard]] std::vector<std::shared_ptr<Execution>> all() const;
    [[nodiscard]] std::size_t size() const { return m_size.load(); }

private:
    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::string, std::shared_ptr<Execution>> executions;
    };

    static constexpr std::size_t ShardCount = 16;

    [[nodiscard]] std::size_t shardOf(const std::string &key) const
    {
        return std::hash<std::string>{}(key) % ShardCount;
    }

    std::array<Shard, ShardCount> m_shards;
    std::atomic<std::size_t> m_size{0};
};

} // namespace Camphor
