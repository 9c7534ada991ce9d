/// @file Inputs and outputs of the dispatch modules. All instants are local monotonic time.
#pragma once

#include "Declaration.h"
#include "Outcome.h"
#include "Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Camphor {

/// Identifies a task within this process. The caller of the Dispatcher chooses it and never reuses
/// it.
using TaskHandle = std::uint64_t;

/// One task to be placed. The payload stays with the caller of the Dispatcher.
struct TaskSpec
{
    TaskHandle handle = 0;
    std::string requestId; ///< Of the request or job; shared by all tasks of a job.
    std::string service;
    std::string team;
    Urgency urgency = Urgency::Normal;
    Milliseconds deadline; ///< Instant after which a response is of no use.
    /// Whether the task may be started again after an attempt whose outcome is unknown. Ignored for
    /// a task of a job, which is never started again.
    bool isRepeatable = false;
    bool isJobTask = false;
    std::uint32_t taskIndex = 0; ///< Within the job; 0 for a single request.
    /// The entry that accepted the task, if it was forwarded or pulled from a peer; empty if local.
    std::string origin;
    std::uint64_t originIncarnation = 0; ///< Of origin, from the handshake of the connection.
    /// Number of the next attempt. A forwarded task carries the number from ForwardTask, and the
    /// receiver starts only that attempt.
    std::uint32_t attempt = 1;

    auto operator<=>(const TaskSpec &) const = default;
};

/// The attempt id on the wire: "<requestId>.<taskIndex>.<attempt>".
[[nodiscard]] std::string attemptId(std::string_view requestId, std::uint32_t taskIndex,
                                    std::uint32_t attempt);

/// How one attempt, or one forwarded task, ended.
enum class AttemptOutcome {
    Completed,
    Failed, ///< It ran and ended without a complete result.
    Unknown, ///< It was sent, and its outcome is not known.
    /// Proven not to have started and never to start: no connection, nothing written, or the
    /// target (or peer) replied so.
    NotStarted,
};

/// The result of an attempt or a forwarded task, as reported to the Dispatcher.
struct AttemptReport
{
    std::uint32_t attempt = 1; ///< From StartAttempt or ForwardTask.
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    Milliseconds runTime; ///< From send to response; used only for Completed.
    std::string reason; ///< For the caller, the log and explain(); words joined by '-'.
    /// Free slots of the peer for the task's service, from its reply; negative if not reported.
    long peerFreeSlots = -1;

    auto operator<=>(const AttemptReport &) const = default;
};

/// How many tasks of a service a target runs concurrently.
struct ServiceSlots
{
    std::string service;
    std::uint32_t slots = 0;

    auto operator<=>(const ServiceSlots &) const = default;
};

/// A target's announcement or heartbeat.
struct TargetAnnouncement
{
    std::string id;
    Address address;
    std::vector<ServiceSlots> services;
    /// Slots of the target over all services; 0 means the largest count of a service.
    std::uint32_t slots = 0;
    std::string worker;
    std::string rack;
    std::string domain;
    bool isLeaving = false;
    std::vector<std::string> running; ///< Attempt ids.

    auto operator<=>(const TargetAnnouncement &) const = default;
};

/// Capacity and queue of one entry for one service.
struct ServiceDigest
{
    std::string service;
    std::uint32_t freeSlots = 0; ///< On usable targets that the entry owns.
    std::uint32_t slots = 0; ///< On usable targets that the entry owns.
    std::uint32_t queuedTasks = 0;
    double runTimeMs = 0; ///< Estimated mean run time.

    auto operator<=>(const ServiceDigest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, freeSlots, slots, queuedTasks, runTimeMs);
    }
};

/// A flow with queued tasks at an entry. Tasks of flows that are not listed get the next free slot.
struct FlowDigest
{
    std::string service;
    std::string team;
    double waitMs = 0; ///< Estimated queueing time of a new task of the flow.

    auto operator<=>(const FlowDigest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, team, waitMs);
    }
};

/// The load of one pool of an entry.
struct PoolDigest
{
    std::string pool;
    std::uint32_t freeSlots = 0;
    std::uint32_t slots = 0;
    std::uint32_t targets = 0;
    std::uint32_t queuedTasks = 0;
    double queuedSlotMs = 0; ///< Estimated queued work in slot-milliseconds.
    std::vector<ServiceDigest> services;
    std::vector<FlowDigest> waiting; ///< The flows with the longest waits.

    auto operator<=>(const PoolDigest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(pool, freeSlots, slots, targets, queuedTasks, queuedSlotMs, services, waiting);
    }
};

/// State that an entry sends to its peers in each UDP datagram.
struct Digest
{
    std::string instance;
    /// Wall clock at the start of the process in ms; increases with each restart of an instance.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Increases with each digest; an older digest is ignored.
    std::string domain;
    std::uint64_t declarationVersion = 0;
    bool isDraining = false;
    std::vector<PoolDigest> pools;

    auto operator<=>(const Digest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation, sequence, domain, declarationVersion, isDraining, pools);
    }
};

/// Send the task to a target now. Each action is followed by exactly one attemptFinished().
struct StartAttempt
{
    TaskHandle handle = 0;
    std::uint32_t attempt = 1;
    std::string target;
    Address address;
    std::string_view reason; ///< Has static storage duration, as in all action types.
    bool isHedge = false; ///< Another attempt of the task is still in flight.

    auto operator<=>(const StartAttempt &) const = default;
};

/// Send the task to a peer entry. Each action is followed by exactly one forwardFinished().
struct ForwardTask
{
    TaskHandle handle = 0;
    std::uint32_t attempt = 1; ///< The only attempt that the peer may start.
    std::string peer;
    std::string_view reason;

    auto operator<=>(const ForwardTask &) const = default;
};

/// Ask a peer for tasks. The peer calls forwardToPeer() and sends tasks, which go to submit() here.
struct PullFromPeer
{
    std::string peer;
    std::uint32_t slots = 0;
    std::string_view reason;

    auto operator<=>(const PullFromPeer &) const = default;
};

/// Request that the target (or the peer, if peer is not empty) stops an attempt. A report of the
/// attempt must still follow.
struct StopAttempt
{
    TaskHandle handle = 0;
    std::uint32_t attempt = 1;
    std::string target;
    Address address;
    std::string peer;
    std::string_view reason;

    auto operator<=>(const StopAttempt &) const = default;
};

/// The task has ended. Exactly one of these follows each submitted task, and the handle is released
/// with it; reports of attempts that arrive later only free slots.
struct FinishTask
{
    TaskHandle handle = 0;
    Outcome outcome = Outcome::Unknown;
    std::uint32_t attempt = 0; ///< The attempt that gave the response; 0 without a response.
    std::string reason;
    std::uint32_t started = 0; ///< Attempts that started or may have started.

    auto operator<=>(const FinishTask &) const = default;
};

using Action = std::variant<StartAttempt, ForwardTask, PullFromPeer, StopAttempt, FinishTask>;
using Actions = std::vector<Action>;

/// Whether a request may be submitted.
struct AdmissionDecision
{
    bool isAdmitted = true;
    std::string reason; ///< Of a rejection; words joined by '-', with a name after ": " if any.
    Milliseconds retryAfter; ///< 0 if a later retry does not help.
    Milliseconds expectedWait;

    auto operator<=>(const AdmissionDecision &) const = default;
};

/// Counters and gauges of one Dispatcher, for metrics and status.
struct DispatcherStats
{
    std::uint64_t submitted = 0;
    std::uint64_t finished = 0;
    std::uint64_t starts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t forwards = 0;
    std::uint64_t pulls = 0;
    std::uint64_t expired = 0;
    std::uint32_t queuedTasks = 0;
    std::uint32_t runningTasks = 0;
    std::uint32_t targets = 0;
    std::uint32_t targetsOnProbation = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t slots = 0;
    double queuedSlotMs = 0;

    auto operator<=>(const DispatcherStats &) const = default;
};

/// State and last decision of one task, for an operator.
struct TaskExplanation
{
    std::uint32_t taskIndex = 0;
    std::string state; ///< "queued", "running", "forwarded", "stopping" or an outcome.
    std::string reason; ///< Of the last decision.
    std::string place; ///< Target or peer of the last attempt.
    std::uint32_t attempts = 0;
    Milliseconds since; ///< When the task entered this state.

    auto operator<=>(const TaskExplanation &) const = default;
};

} // namespace Camphor
