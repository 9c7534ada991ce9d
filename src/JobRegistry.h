/// @file The submissions that this entry executes or follows, by key.
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

/// Takes the answer of a submission; called without a lock.
using AnswerCallback = std::function<void(const JobAnswer &)>;

/// One submission from its acceptance to its recorded end. Thread-safe.
class Execution
{
public:
    Execution(Submission request, std::string ledgerKey, bool needsClaim, Milliseconds limit);

    const Submission submission;
    const std::string key; ///< In the ledger; the request id when the ledger is not used.
    const bool isClaimed; ///< Whether the ledger decides and remembers.
    const std::string nonce; ///< Of the claim.
    const Milliseconds deadline; ///< Instant of the monotonic clock.
    JobAssembler assembler;

    [[nodiscard]] bool hasCallerKey() const { return !submission.key.empty(); }

    /// Calls back with the answer, at once if it is known.
    void addWaiter(AnswerCallback waiter);
    /// Releases the answer to all waiters. A second answer is ignored. @return whether it was the
    /// first.
    bool release(const JobAnswer &answer);
    [[nodiscard]] std::optional<JobAnswer> answer() const;

    /// Asks for the end of the execution. @return whether its tasks were already submitted.
    bool requestCancel();
    /// Marks the tasks as submitted. @return false when the submission was cancelled before.
    bool beginSubmit();
    [[nodiscard]] bool isCancelled() const;

private:
    mutable std::mutex m_mutex;
    std::vector<AnswerCallback> m_waiters;
    std::optional<JobAnswer> m_answer;
    bool m_isCancelled = false;
    bool m_isSubmitted = false;
};

/// Live executions by key, sharded, each shard under its own lock.
class JobRegistry
{
public:
    /// The execution of a key. The given one is added if there is none.
    struct Found
    {
        std::shared_ptr<Execution> execution;
        bool isNew = false;
    };
    Found findOrAdd(const std::shared_ptr<Execution> &execution);
    /// Makes the execution the one of its key, in place of another one if need be.
    void put(const std::shared_ptr<Execution> &execution);
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
