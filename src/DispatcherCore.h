/// @file State and steps of the Dispatcher; included by its implementation files only.
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
    void targetGone(const std::string &id);
    void attemptFinished(TaskHandle handle, const AttemptReport &report, Milliseconds now);
    void forwardFinished(TaskHandle handle, const AttemptReport &report, Milliseconds now);
    void peerDigest(const Digest &digest, Milliseconds now);
    void peerLost(const std::string &instance);
    void takeForPeer(const std::string &instance, std::uint32_t slots, Milliseconds now);
    void tick(Milliseconds now);
    void applyDeclaration(const Declaration &declaration);
    void startDraining(Milliseconds now);
    void otherPools(const std::vector<PoolDigest> &pools);

    /// Starts and forwards what can be, ends the jobs that failed, and returns all actions.
    [[nodiscard]] Actions finishStep(Milliseconds now);

    [[nodiscard]] PoolDigest digest(Milliseconds now) const;
    [[nodiscard]] DispatcherStats stats() const;
    [[nodiscard]] std::vector<TaskExplanation> explain(const std::string &requestId) const;
    [[nodiscard]] std::vector<std::string> runningAttempts(const std::string &targetId) const;

private:
    /// A hash of the request id, which is cheaper to find than the text.
    using RequestKey = std::uint64_t;

    /// One send of a task, to a target or to a peer.
    struct Attempt
    {
        std::uint32_t number = 0;
        TargetIndex target = 0;
        AttemptKey key = 0;
        std::string peer; ///< Not empty when the task was forwarded.
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
        Task *first = nullptr; ///< List of the tasks that are still known.
        std::vector<std::uint16_t> racks; ///< Started tasks of a job by rack.
        std::vector<std::uint16_t> targets; ///< The same by target.
        bool isFailing = false;
        TargetIndex blamedTarget = 0;
        double blame = 0; ///< Of the first failure; taken back when another target fails too.
    };

    struct Task
    {
        TaskHandle handle = 0;
        Milliseconds deadline;
        Urgency urgency = Urgency::Normal;
        bool isRepeatable = false;
        bool isJobTask = false;
        bool isForeign = false; ///< Came from a peer, which named its only attempt number.
        std::uint32_t taskIndex = 0;
        std::uint32_t nextAttempt = 1;
        FlowId flow;
        Request *request = nullptr;
        Task *previousInRequest = nullptr;
        Task *nextInRequest = nullptr;
        std::optional<QueueTicket> ticket; ///< Set while queued.
        std::vector<Attempt> attempts; ///< Those without a report; at most two.
        std::vector<TargetIndex> avoid; ///< Targets that had an attempt.
        std::uint32_t started = 0; ///< Sends that were not proven to have started nothing.
        std::uint32_t sends = 0;
        Milliseconds enqueuedAt;
        Milliseconds since;
        bool hasUnknown = false; ///< An attempt ended with an unknown outcome.
        bool isFinished = false; ///< Only reports of stopped attempts are still expected.
        std::string_view cancelReason; ///< Not empty when it was cancelled while running.
        std::string_view lastDecision;
        std::unique_ptr<std::string> lastPeer; ///< Set while the last send was to a peer.
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

    /// Sends of one task, including those that provably started nothing.
    static constexpr std::uint32_t MaxSends = 8;
    /// Tasks that may be passed over in one step because their only free target is to be avoided.
    static constexpr int MaxPassedOver = 16;
    static constexpr std::size_t RememberedTasks = 1024;
    static constexpr std::size_t ListedFlows = 16;
    /// How long a forwarded attempt id is remembered after its deadline.
    static constexpr Milliseconds DuplicateWindow{60'000};
    /// How long after its deadline a forwarded task waits for the peer's report.
    static constexpr Milliseconds ForwardGrace{250};

    // Life of a task (DispatcherCore.cpp).
    [[nodiscard]] bool isDuplicate(const TaskSpec &spec, Milliseconds now);
    void enqueue(Task &task, bool isFirst);
    void dequeue(Task &task);
    [[nodiscard]] bool maySendAgain(const Task &task) const;
    [[nodiscard]] bool tryRetry(Task &task, AttemptOutcome outcome);
    void closeAttempt(Task &task, std::size_t position, const AttemptReport &report,
                      Milliseconds now);
    void judge(Task &task, const Attempt &attempt, const AttemptReport &report, Milliseconds now);
    void blame(Task &task, const Attempt &attempt, Milliseconds now);
    void afterReport(Task &task, const AttemptReport &report);
    void cancelAll(RequestKey key, std::string_view reason);
    void stopAttempts(Task &task, std::string_view reason);
    void finish(Task &task, Outcome outcome, std::uint32_t attempt, std::string reason);
    void finishUnsent(Task &task, std::string_view reason);
    void forgetIfDone(Task &task);
    void failJobs();
    [[nodiscard]] std::string placeOf(const Task &task) const;
    void remember(const Task &task, Outcome outcome, const std::string &reason);
    void deadlinePassed(Task &task, Milliseconds now);
    void runTimers(Milliseconds now);
    void updateCap(TargetIndex target, Milliseconds now);
    [[nodiscard]] ServiceState &service(std::uint32_t index) { return m_serviceStates[index]; }
    [[nodiscard]] double estimateMs(std::uint32_t index) const
    {
        return m_serviceStates[index].runTimes.mean().count();
    }

    // Choice of the next task and its place (DispatcherPlacement.cpp).
    void startLocal(Milliseconds now);
    [[nodiscard]] bool isServiceOpen(std::uint32_t service, Milliseconds now) const;
    [[nodiscard]] bool isWithinQuota(FlowId flow) const;
    [[nodiscard]] std::optional<TargetIndex> dueTrial(std::uint32_t service, const Task &task,
                                                      Milliseconds now) const;
    [[nodiscard]] std::optional<TargetIndex> chooseTarget(const Task &task);
    void startAttempt(Task &task, TargetIndex target, double chargedMs, bool isTrial,
                      std::string_view reason, Milliseconds now, bool isHedge = false);
    void planHedge(const Task &task, std::uint32_t attempt, Milliseconds now);
    void tryHedge(Task &task, std::uint32_t attempt, Milliseconds now);
    void forwardToFree(Milliseconds now);
    void forwardByWait(Milliseconds now);
    void forward(Task &task, const std::string &peer, std::string_view reason, Milliseconds now);
    [[nodiscard]] const std::string *freePeer(std::uint32_t service);
    [[nodiscard]] const std::string *shorterPeer(FlowId flow) const;
    [[nodiscard]] Milliseconds localWait(FlowId flow) const;
    void pullWork(Milliseconds now);
    void updateQuotas();
    [[nodiscard]] std::uint32_t quotaShare(const TeamDeclaration &team,
                                           const std::string &instance) const;
    [[nodiscard]] bool mayUsePeer(const PeerTable::Peer &peer) const
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
    std::vector<std::uint32_t> m_quotas; ///< By team: slots of this entry; 0 is no quota.
    std::vector<bool> m_hasQuota;
    /// Frees and allocates records of one size, which the general allocator does much slower when
    /// many tasks are cancelled in another order than they came in.
    std::pmr::unsynchronized_pool_resource m_memory;
    std::pmr::unordered_map<TaskHandle, Task> m_tasks{&m_memory};
    std::pmr::unordered_map<RequestKey, Request> m_requests{&m_memory};
    std::vector<RequestKey> m_failedJobs;
    std::unordered_set<AttemptKey> m_seenForeign;
    std::map<std::int64_t, std::vector<AttemptKey>> m_seenExpiry; ///< By second.
    std::vector<std::string> m_otherServices; ///< Usable services of the entry's other pools.
    std::vector<std::string> m_knownOtherServices;
    std::vector<Finished> m_finished;
    std::size_t m_nextFinished = 0;
    std::uint32_t m_running = 0; ///< Tasks with an attempt and without an end.
    bool m_isDraining = false;
    DispatcherStats m_stats;
    Actions m_actions;
};

} // namespace Camphor
