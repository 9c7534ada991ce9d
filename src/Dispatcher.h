/// @file Decides which task starts when and where, for one pool of one entry.
#pragma once

#include "DispatchTypes.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Camphor {

/// How a target is chosen. All but Owner are baselines for comparison.
enum class PlacementKind { Owner, Random, RoundRobin, ProbeTwo };

/// How waiting tasks are ordered. Fifo is a baseline for comparison.
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
    std::uint64_t seed = 1; ///< For placement among equals.
    std::uint32_t maxQueuedTasks = 100'000;
    /// See FlowQueueSettings.
    Milliseconds urgencyStep{2'000};
    bool isHedging = true;

    auto operator<=>(const DispatcherSettings &) const = default;
};

/// The dispatcher of one pool. It holds no payload, socket, thread or clock: the shell tells it
/// what happened, carries out the returned actions in their order and reports how they ended. It
/// is not thread-safe; the shell calls it under one lock.
///
/// Every submitted task ends with exactly one FinishTask. A NotRun outcome means that each send of
/// the task, if there was any, is proven to have started nothing. A task of a job and a task that
/// is not repeatable are never sent again after a send, unless its end is a proven NotStarted.
class Dispatcher
{
public:
    Dispatcher(DispatcherSettings settings, const Declaration &declaration, Milliseconds now);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;
    Dispatcher(Dispatcher &&) = delete;
    Dispatcher &operator=(Dispatcher &&) = delete;

    /// Whether a request of so many tasks may be submitted now, as a whole. Changes nothing.
    [[nodiscard]] AdmissionDecision admit(std::string_view service, std::string_view team,
                                          std::uint32_t taskCount, Milliseconds deadline,
                                          Milliseconds now) const;

    /// Takes tasks. Tasks of one job are to be given in one call.
    [[nodiscard]] Actions submit(const std::vector<TaskSpec> &tasks, Milliseconds now);
    /// Ends a task. A queued one is NotRun; a running one is told to stop and ends with its
    /// report. A handle that has already ended is ignored.
    [[nodiscard]] Actions cancel(TaskHandle handle, Milliseconds now);
    [[nodiscard]] Actions cancelRequest(const std::string &requestId, Milliseconds now);

    /// An announcement or heartbeat of a target that this entry owns.
    [[nodiscard]] Actions targetAnnounced(const TargetAnnouncement &announcement, Milliseconds now);
    /// The target takes no new work; attempts in flight go on.
    [[nodiscard]] Actions targetLeft(const std::string &id, Milliseconds now);
    /// Another entry owns the target now; attempts in flight go on.
    [[nodiscard]] Actions targetReleased(const std::string &id, Milliseconds now);

    /// How an attempt ended. Exactly one report follows each StartAttempt.
    [[nodiscard]] Actions attemptFinished(TaskHandle handle, const AttemptReport &report,
                                          Milliseconds now);
    /// How a forwarded task ended. Exactly one report follows each ForwardTask, also for those
    /// that takeForPeer() returned.
    [[nodiscard]] Actions forwardFinished(TaskHandle handle, const AttemptReport &report,
                                          Milliseconds now);

    /// Load of a usable peer. Digests of suspected or draining peers must not be given.
    [[nodiscard]] Actions peerDigest(const Digest &digest, Milliseconds now);
    /// The peer is suspected, draining, dead or restarted: it gets no tasks. Tasks that were
    /// forwarded to it still need their reports.
    [[nodiscard]] Actions peerLost(const std::string &instance, Milliseconds now);
    /// Queued tasks for a peer that has free slots, as ForwardTask actions for the reply.
    [[nodiscard]] Actions takeForPeer(const std::string &instance, std::uint32_t slots,
                                      Milliseconds now);

    /// Load of the other pools of this entry, for dependencies on their services.
    void otherPools(const std::vector<PoolDigest> &pools);

    /// To be called every 10 to 100 ms: deadlines, heartbeats, hedges, forwards.
    [[nodiscard]] Actions tick(Milliseconds now);
    [[nodiscard]] Actions applyDeclaration(const Declaration &declaration, Milliseconds now);
    /// Refuses new requests and gives queued tasks to peers; what no peer takes still runs here.
    [[nodiscard]] Actions startDraining(Milliseconds now);

    /// Load of this pool for the digest of the entry.
    [[nodiscard]] PoolDigest digest(Milliseconds now) const;
    [[nodiscard]] DispatcherStats stats() const;
    /// The live and the recently ended tasks of a request.
    [[nodiscard]] std::vector<TaskExplanation> explain(const std::string &requestId) const;
    /// Attempt ids in flight on a target, for the hand-over to its new owner.
    [[nodiscard]] std::vector<std::string> runningAttempts(const std::string &targetId) const;

private:
    class Core;
    std::unique_ptr<Core> m_core;
};

} // namespace Camphor
