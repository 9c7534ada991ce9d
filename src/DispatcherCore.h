/// @file Implementation class of the Dispatcher; included by its implementation files only.
#pragma once

#include "Admission.h"
#include "Dispatcher.h"
#include "FlowQueue.h"
#include "Hedging.h"
#include "PeerTable.h"
#include "PlacementPolicy.h"
#include "PoolRules.h"
#include "RetryBudget.h"
#include "RunTimeEstimator.h"
#include "TargetHealth.h"
#include "TargetRegistry.h"
#include "TimerQueue.h"

#include <deque>
#include <map>
#include <memory_resource>
#include <random>
#include <unordered_map>
#include <unordered_set>

namespace Camphor {

class Dispatcher::Core
{
public:
    Core(DispatcherSettings settings, const Declaration &declaration);

    [[nodiscard]] AdmissionDecision admit(std::string_view service, std::string_view team,
                                          std::uint32_t taskCount, Milliseconds deadline,
                                          Milliseconds now) const;
    void submit(const TaskSpec &spec, Milliseconds now);
    void cancel(TaskHandle handle, std::string_view reason);
    void cancelRequest(const std::string &requestId, std::string_view reason)
    {
        cancelAll(attemptKey(requestId), reason);
    }
    void targetAnnounced(const TargetAnnouncement &announcement, Milliseconds now);
    void targetRemoved(const std::string &id);
    void attemptFinished(TaskHandle handle, const AttemptReport &report, Milliseconds now);
    void forwardFinished(TaskHandle handle, const AttemptReport &report, Milliseconds now);
    void peerDigest(const Digest &digest, Milliseconds now);
    void peerUnusable(const std::string &instance);
    void forwardToPeer(const std::string &instance, std::uint32_t slots, Milliseconds now);
    void tick(Milliseconds now);
    void applyDeclaration(const Declaration &declaration);
    void startDraining(Milliseconds now);
    void setOtherPools(const std::vector<PoolDigest> &pools);

    /// Cancels failed jobs, starts and forwards queued tasks where possible, and returns the
    /// actions collected since the last call.
    [[nodiscard]] Actions finishStep(Milliseconds now);

    [[nodiscard]] PoolDigest digest(Milliseconds now) const;
    [[nodiscard]] DispatcherStats stats() const;
    [[nodiscard]] std::vector<TaskExplanation> explain(const std::string &requestId) const;
    [[nodiscard]] std::vector<std::string> runningAttempts(const std::string &targetId) const;

private:
    /// Hash of the request id; a lookup by hash is cheaper than by string.
    using RequestKey = std::uint64_t;

    /// One attempt of a task, sent to a target or to a peer.
    struct Attempt
    {
        std::uint32_t number = 0;
        TargetIndex target = 0;
        AttemptKey key = 0;
        std::string peer; ///< Not empty if the task was forwarded.
        Milliseconds startedAt;
        double chargedMs = 0;
        bool isStopped = false;
        bool isTrial = false;
    };

    struct Task;

    struct Request
    {
        RequestKey key = 0;
        std::string id;
        Task *first = nullptr; ///< Head of the list of tasks that are not erased yet.
        std::vector<std::uint16_t> racks; ///< Started tasks of a job, by rack.
        std::vector<std::uint16_t> targets; ///< Started tasks of a job, by target.
        bool isFailing = false;
        TargetIndex failedTarget = 0;
        /// Increase of the score of failedTarget by the first failure; -1 once it was reverted,
        /// because the request failed on another target as well.
        double scoreIncrease = 0;
    };

    struct Task
    {
        TaskHandle handle = 0;
        Milliseconds deadline;
        Urgency urgency = Urgency::Normal;
        bool isRepeatable = false;
        bool isJobTask = false;
        bool isFromPeer = false; ///< Received from a peer, which set the only attempt number.
        std::uint32_t taskIndex = 0;
        std::uint32_t nextAttempt = 1;
        FlowId flow;
        Request *request = nullptr;
        Task *previousInRequest = nullptr;
        Task *nextInRequest = nullptr;
        std::optional<QueueTicket> ticket; ///< Set while queued.
        std::vector<Attempt> attempts; ///< Those in flight; at most two.
        std::vector<TargetIndex> avoid; ///< Targets that were already tried.
        std::uint32_t started = 0; ///< Attempts that started or may have started.
        std::uint32_t attemptCount = 0;
        Milliseconds enqueuedAt;
        Milliseconds since;
        bool hasUnknown = false; ///< An attempt ended with an unknown outcome.
        bool isFinished = false; ///< Only reports of stopped attempts are still pending.
        std::string_view cancelReason; ///< Not empty if it was cancelled while running.
        std::string_view lastDecision;
        std::unique_ptr<std::string> lastPeer; ///< Set if the last attempt went to a peer.
    };

    struct Finished
    {
        RequestKey request = 0;
        TaskExplanation explanation;
    };

    struct ServiceState
    {
        RunTimeEstimator runTimes;
        RetryBudget retries;
    };

    /// Attempts of one task, including those that provably started nothing.
    static constexpr std::uint32_t MaxAttempts = 8;
    /// Tasks that one step may skip if no target is found for them, for example because each free
    /// target has already been tried.
    static constexpr int MaxSkippedTasks = 16;
    static constexpr std::size_t MaxFinishedTasks = 1024;
    static constexpr std::size_t ListedFlows = 16;
    /// Retention of a forwarded attempt id after its deadline, to detect duplicates.
    static constexpr Milliseconds DuplicateRetention{60'000};
    /// How long after its deadline a forwarded task waits for the report of the peer.
    static constexpr Milliseconds ForwardGrace{250};

    // Task life cycle (DispatcherCore.cpp).
    [[nodiscard]] bool isDuplicate(const TaskSpec &spec, Milliseconds now);
    void enqueue(Task &task, bool isFirst);
    void dequeue(Task &task);
    [[nodiscard]] bool mayResend(const Task &task) const;
    [[nodiscard]] bool tryRetry(Task &task, AttemptOutcome outcome);
    void closeAttempt(Task &task, std::size_t position, const AttemptReport &report,
                      Milliseconds now);
    void updateTargetHealth(Task &task, const Attempt &attempt, const AttemptReport &report,
                            Milliseconds now);
    void recordTargetFailure(Task &task, const Attempt &attempt, Milliseconds now);
    void afterReport(Task &task, const AttemptReport &report);
    void cancelAll(RequestKey key, std::string_view reason);
    void stopAttempts(Task &task, std::string_view reason);
    void finish(Task &task, Outcome outcome, std::uint32_t attempt, std::string reason);
    void finishWithoutReport(Task &task, std::string_view reason);
    void eraseIfDone(Task &task);
    void cancelFailedJobs();
    [[nodiscard]] std::string placeOf(const Task &task) const;
    void recordFinished(const Task &task, Outcome outcome, const std::string &reason);
    void deadlinePassed(Task &task, Milliseconds now);
    void runTimers(Milliseconds now);
    void updateCap(TargetIndex target, Milliseconds now);
    [[nodiscard]] ServiceState &service(std::uint32_t index) { return m_serviceStates[index]; }
    [[nodiscard]] double estimateMs(std::uint32_t index) const
    {
        return m_serviceStates[index].runTimes.mean().count();
    }

    // Selection of the next task and its target or peer (DispatcherPlacement.cpp).
    void startLocal(Milliseconds now);
    [[nodiscard]] bool isServiceOpen(std::uint32_t service, Milliseconds now) const;
    [[nodiscard]] bool isWithinQuota(FlowId flow) const;
    [[nodiscard]] std::optional<TargetIndex> trialTarget(std::uint32_t service, const Task &task,
                                                         Milliseconds now) const;
    [[nodiscard]] std::optional<TargetIndex> chooseTarget(const Task &task);
    void startAttempt(Task &task, TargetIndex target, double chargedMs, bool isTrial,
                      std::string_view reason, Milliseconds now, bool isHedge = false);
    void scheduleHedge(const Task &task, std::uint32_t attempt, Milliseconds now);
    void tryHedge(Task &task, std::uint32_t attempt, Milliseconds now);
    void forwardToFreePeers(Milliseconds now);
    void forwardToShorterQueues(Milliseconds now);
    void forward(Task &task, const std::string &peer, std::string_view reason, Milliseconds now);
    [[nodiscard]] const std::string *peerWithFreeSlot(std::uint32_t service);
    [[nodiscard]] const std::string *peerWithShorterWait(FlowId flow) const;
    [[nodiscard]] Milliseconds localWait(FlowId flow) const;
    void pullTasks(Milliseconds now);
    void updateQuotas();
    [[nodiscard]] std::uint32_t quotaShare(const TeamDeclaration &team,
                                           const std::string &instance) const;
    [[nodiscard]] bool isInSameDomain(const PeerTable::Peer &peer) const
    {
        return peer.domain == m_settings.domain;
    }

    DispatcherSettings m_settings;
    PoolRules m_rules;
    FlowQueue m_queue;
    TargetRegistry m_registry;
    TargetHealth m_health;
    Hedging m_hedging;
    PeerTable m_peers;
    std::unique_ptr<PlacementPolicy> m_policy;
    TimerQueue m_timers;
    std::mt19937_64 m_random;
    std::vector<ServiceState> m_serviceStates;
    std::vector<std::uint32_t> m_quotas; ///< By team: slots of this entry; 0 without a quota.
    std::vector<bool> m_hasQuota;
    /// Pool for records of one size. The general allocator is much slower when many tasks are
    /// cancelled in another order than they arrived in.
    std::pmr::unsynchronized_pool_resource m_memory;
    std::pmr::unordered_map<TaskHandle, Task> m_tasks{&m_memory};
    std::pmr::unordered_map<RequestKey, Request> m_requests{&m_memory};
    std::vector<RequestKey> m_failedJobs;
    std::unordered_set<AttemptKey> m_receivedAttempts;
    std::map<std::int64_t, std::vector<AttemptKey>> m_receivedExpiry; ///< By second.
    std::vector<std::string> m_usableOtherServices; ///< Services with usable slots in other pools.
    std::vector<std::string> m_declaredOtherServices; ///< Services declared in other pools.
    std::vector<Finished> m_finished;
    std::size_t m_nextFinished = 0;
    std::uint32_t m_running = 0; ///< Unfinished tasks with an attempt in flight.
    bool m_isDraining = false;
    DispatcherStats m_stats;
    Actions m_actions;
};

} // namespace Camphor
