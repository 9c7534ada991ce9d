/// @file Scheduling of the tasks of one pool of one entry.
#pragma once

#include "DispatchTypes.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Camphor {

/// Placement policy. All but Owner are baselines for comparison.
enum class PlacementKind { Owner, Random, RoundRobin, ProbeTwo };

/// Order of queued tasks. Fifo is a baseline for comparison.
enum class QueueKind { Fair, Fifo };

/// Parses the values of `dispatch.placement` and `dispatch.queue`.
[[nodiscard]] Result<PlacementKind> parsePlacementKind(std::string_view text);
[[nodiscard]] Result<QueueKind> parseQueueKind(std::string_view text);

struct DispatcherSettings
{
    std::string instance; ///< This entry.
    std::string domain;
    std::string pool = "default";
    PlacementKind placement = PlacementKind::Owner;
    QueueKind queue = QueueKind::Fair;
    std::uint64_t seed = 1; ///< For random choices.
    std::uint32_t maxQueuedTasks = 100'000;
    /// See FlowQueueSettings.
    Milliseconds urgencyStep{2'000};
    bool isHedging = true;

    auto operator<=>(const DispatcherSettings &) const = default;
};

/// The dispatcher of one pool. It has no payloads, sockets, threads or clock: the caller reports
/// events, executes the returned actions in order and reports their results. It is not thread-safe;
/// the caller serialises all calls.
///
/// Every submitted task ends with exactly one FinishTask. The outcome NotRun means that every
/// attempt, if there was any, is proven not to have started. A task that belongs to a job or is not
/// repeatable is never sent again after an attempt, unless that attempt is proven NotStarted.
class Dispatcher
{
public:
    Dispatcher(DispatcherSettings settings, const Declaration &declaration, Milliseconds now);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;
    Dispatcher(Dispatcher &&) = delete;
    Dispatcher &operator=(Dispatcher &&) = delete;

    /// Whether a request of this many tasks may be submitted now as a whole. Does not change state.
    [[nodiscard]] AdmissionDecision admit(std::string_view service, std::string_view team,
                                          std::uint32_t taskCount, Milliseconds deadline,
                                          Milliseconds now) const;

    /// Accepts tasks. All tasks of a job must be passed in one call.
    [[nodiscard]] Actions submit(const std::vector<TaskSpec> &tasks, Milliseconds now);
    /// Cancels a task. A queued task ends as NotRun, or with the outcome of its earlier attempts
    /// if it had any; a running one is stopped and ends with the report of its attempt. A handle
    /// that has already ended is ignored.
    [[nodiscard]] Actions cancel(TaskHandle handle, Milliseconds now);
    [[nodiscard]] Actions cancelRequest(const std::string &requestId, Milliseconds now);

    /// An announcement or heartbeat of a target that this entry owns.
    [[nodiscard]] Actions targetAnnounced(const TargetAnnouncement &announcement, Milliseconds now);
    /// The target accepts no new work; attempts in flight continue.
    [[nodiscard]] Actions targetLeft(const std::string &id, Milliseconds now);
    /// Another entry owns the target now; attempts in flight continue.
    [[nodiscard]] Actions targetReleased(const std::string &id, Milliseconds now);

    /// Reports the end of an attempt. Exactly one report must follow each StartAttempt.
    [[nodiscard]] Actions attemptFinished(TaskHandle handle, const AttemptReport &report,
                                          Milliseconds now);
    /// Reports the end of a forwarded task. Exactly one report must follow each ForwardTask,
    /// including those that forwardToPeer() returned.
    [[nodiscard]] Actions forwardFinished(TaskHandle handle, const AttemptReport &report,
                                          Milliseconds now);

    /// Load of a usable peer. Digests of suspected or draining peers must not be passed.
    [[nodiscard]] Actions peerDigest(const Digest &digest, Milliseconds now);
    /// The peer is suspected, draining, dead or restarted: it gets no tasks until its next digest.
    /// Tasks that were forwarded to it still need their reports.
    [[nodiscard]] Actions peerUnusable(const std::string &instance, Milliseconds now);
    /// Forwards queued tasks to a peer that pulls them because it has free slots.
    [[nodiscard]] Actions forwardToPeer(const std::string &instance, std::uint32_t slots,
                                        Milliseconds now);

    /// Load of other pools, for dependencies on their services.
    void setOtherPools(const std::vector<PoolDigest> &pools);

    /// Must be called every 10 to 100 ms: handles deadlines, heartbeat timeouts, hedges and
    /// forwards.
    [[nodiscard]] Actions tick(Milliseconds now);
    [[nodiscard]] Actions applyDeclaration(const Declaration &declaration, Milliseconds now);
    /// Rejects new requests and forwards queued tasks to peers; tasks that no peer can run still
    /// run here.
    [[nodiscard]] Actions startDraining(Milliseconds now);

    /// Load of this pool for the digest of the entry.
    [[nodiscard]] PoolDigest digest(Milliseconds now) const;
    [[nodiscard]] DispatcherStats stats() const;
    /// The unfinished and recently finished tasks of a request.
    [[nodiscard]] std::vector<TaskExplanation> explain(const std::string &requestId) const;
    /// Ids of the attempts in flight on a target, for the handover to its new owner.
    [[nodiscard]] std::vector<std::string> runningAttempts(const std::string &targetId) const;

private:
    class Core;
    std::unique_ptr<Core> m_core;
};

} // namespace Camphor
