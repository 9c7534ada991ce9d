/// @file A Dispatcher with its own lock, and the execution of its actions.
#pragma once

#include "Dispatcher.h"
#include "EntryMetrics.h"
#include "ExplainLog.h"
#include "JobAssembler.h"
#include "PeerMessages.h"
#include "TargetCaller.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace Camphor {

/// The result of a forwarded task, with the response body.
struct ForwardResult
{
    AttemptReport report;
    std::string body;
};

/// The calls to peer entries that a PoolShard makes.
class PeerCalls
{
public:
    virtual ~PeerCalls() = default;

    /// The callback is called exactly once.
    virtual void place(const std::string &peer, PlaceTask task,
                       std::function<void(ForwardResult)> callback) = 0;
    virtual void cancel(const std::string &peer, const std::string &attempt) = 0;
    virtual void pull(const std::string &peer, const std::string &pool, std::uint32_t slots) = 0;
};

/// A task with its payload and completion callback.
struct PlacedTask
{
    TaskSpec spec;
    std::shared_ptr<const std::string> input;
    std::function<void(TaskEnd)> onEnd; ///< Called exactly once, without a lock held.
};

/// Dependencies shared by all shards of an entry.
struct ShardServices
{
    const Clock &clock;
    TargetCaller &targets;
    PeerCalls &peers;
    EntryMetrics &metrics;
    ExplainLog &explain;
};

/// One pool of the entry. Thread-safe. Must outlive the calls that it has started.
class PoolShard
{
public:
    PoolShard(DispatcherSettings settings, const Declaration &declaration,
              const ShardServices &services);

    [[nodiscard]] const std::string &pool() const { return m_pool; }
    [[nodiscard]] AdmissionDecision admit(const std::string &service, const std::string &team,
                                          std::uint32_t taskCount, Milliseconds deadline) const;
    void submit(std::vector<PlacedTask> tasks);
    void cancel(TaskHandle handle);
    void cancelRequest(const std::string &requestId);
    void targetAnnounced(const TargetAnnouncement &announcement);
    void targetLeft(const std::string &id);
    /// @return the attempts in flight on the target, for the new owner.
    std::vector<std::string> targetReleased(const std::string &id);
    void peerDigest(const Digest &digest);
    void peerUnusable(const std::string &instance);
    /// Forwards up to 'slots' queued tasks to a peer with free slots. @return their number.
    std::uint32_t forwardToPeer(const std::string &instance, std::uint32_t slots);
    void tick();
    void applyDeclaration(const Declaration &declaration);
    void startDraining();

    [[nodiscard]] PoolDigest digest() const;
    [[nodiscard]] DispatcherStats stats() const;
    [[nodiscard]] std::vector<TaskExplanation> explain(const std::string &requestId) const;
    [[nodiscard]] std::int64_t freeSlots(const std::string &service) const;
    /// Tasks that have not ended or have an attempt in flight.
    [[nodiscard]] std::size_t liveTasks() const;

private:
    using Effect = std::function<void()>;

    /// The response body that came with the report of an attempt.
    struct AttemptResponse
    {
        TaskHandle handle = 0;
        std::uint32_t attempt = 0;
        std::string body;
        Milliseconds runTime;
    };

    /// A task, retained until it has ended and all its attempts were reported.
    struct LiveTask
    {
        PlacedTask task;
        std::uint32_t attemptsInFlight = 0;
        bool hasEnded = false;
    };

    /// Runs a step of the Dispatcher under the lock, then executes its actions in order without the
    /// lock.
    template <typename F>
    void runStep(F &&step, AttemptResponse response);
    template <typename F>
    void runStep(F &&step)
    {
        runStep(std::forward<F>(step), AttemptResponse{});
    }

    void prepareEffect(const StartAttempt &action, AttemptResponse &response,
                       std::vector<Effect> &effects);
    void prepareEffect(const ForwardTask &action, AttemptResponse &response,
                       std::vector<Effect> &effects);
    void prepareEffect(const PullFromPeer &action, AttemptResponse &response,
                       std::vector<Effect> &effects);
    void prepareEffect(const StopAttempt &action, AttemptResponse &response,
                       std::vector<Effect> &effects);
    void prepareEffect(const FinishTask &action, AttemptResponse &response,
                       std::vector<Effect> &effects);

    void onAttemptEnd(TaskHandle handle, std::uint32_t attempt, const std::string &attemptName,
                      AttemptResult result);
    void onForwardEnd(TaskHandle handle, std::uint32_t attempt, ForwardResult result);
    /// Records the report of an attempt. If the task has already ended, the report counts as a late
    /// response, and the task is erased once no attempt is in flight.
    void recordReport(TaskHandle handle, std::uint32_t attempt);
    void eraseIfDone(TaskHandle handle);

    const std::string m_pool;
    ShardServices m_services;
    mutable std::mutex m_mutex;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::unordered_map<TaskHandle, LiveTask> m_tasks;
};

/// @return a task handle that is unique in this process.
[[nodiscard]] TaskHandle nextTaskHandle();

} // namespace Camphor
