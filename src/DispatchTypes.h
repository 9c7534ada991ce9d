/// @file Values that go into and out of the dispatch modules. All instants are of the local
/// monotonic clock.
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

/// Names a task inside this process. The shell chooses it and never uses it again.
using TaskHandle = std::uint64_t;

/// One task to be placed. The payload stays with the shell.
struct TaskSpec
{
    TaskHandle handle = 0;
    std::string requestId; ///< Of the request or job; the same for all tasks of a job.
    std::string service;
    std::string team;
    Urgency urgency = Urgency::Normal;
    Milliseconds deadline; ///< Instant after which an answer is of no use.
    /// Whether the task may be started again after a send whose end is not known. Ignored for a
    /// task of a job, which is never started again.
    bool isRepeatable = false;
    bool isJobTask = false;
    std::uint32_t taskIndex = 0; ///< Inside the job; 0 for a single request.
    /// The entry that accepted the task, when it was forwarded or pulled; empty when local.
    std::string origin;
    std::uint64_t originIncarnation = 0; ///< Of origin, from the connection's hello.
    /// Number of the next attempt. A forwarded task carries the number that ForwardTask named, and
    /// the receiver starts only that one.
    std::uint32_t attempt = 1;

    auto operator<=>(const TaskSpec &) const = default;
};

/// The attempt id on the wire: "<requestId>.<taskIndex>.<attempt>".
[[nodiscard]] std::string attemptId(std::string_view requestId, std::uint32_t taskIndex,
                                    std::uint32_t attempt);

/// How one attempt, or one forwarded task, ended.
enum class AttemptOutcome {
    Completed,
    Failed, ///< It ran and ended without a whole result.
    Unknown, ///< It was sent and its end is not known.
    /// Proven not to have started and never to start: no connection, nothing written, or the
    /// target's (or peer's) own answer.
    NotStarted,
};

/// What the shell saw of an attempt or a forwarded task.
struct AttemptReport
{
    std::uint32_t attempt = 1; ///< From StartAttempt or ForwardTask.
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    Milliseconds runTime; ///< From the send to the answer; used only for Completed.
    std::string reason; ///< For the caller, the log and explain(); short words joined by '-'.
    /// Free slots of the peer for the task's service, from its reply; negative when not stated.
    long peerFreeSlots = -1;

    auto operator<=>(const AttemptReport &) const = default;
};

/// How many tasks of a service a target runs at once.
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

/// What one entry has for one service.
struct ServiceDigest
{
    std::string service;
    std::uint32_t freeSlots = 0; ///< On targets that the entry owns.
    std::uint32_t slots = 0; ///< Of usable targets that the entry owns.
    std::uint32_t queuedTasks = 0;
    double runTimeMs = 0; ///< Learned median; 0 when nothing was learned.

    auto operator<=>(const ServiceDigest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, freeSlots, slots, queuedTasks, runTimeMs);
    }
};

/// A flow that waits at an entry. Flows that are not listed start with the next free slot.
struct FlowDigest
{
    std::string service;
    std::string team;
    double waitMs = 0; ///< How long a new task of the flow waits.

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
    double queuedSlotMs = 0; ///< Estimated work that waits, in slot-milliseconds.
    std::vector<ServiceDigest> services;
    std::vector<FlowDigest> waiting; ///< The flows with the longest waits.

    auto operator<=>(const PoolDigest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(pool, freeSlots, slots, targets, queuedTasks, queuedSlotMs, services, waiting);
    }
};

/// What an entry tells its peers in every UDP datagram.
struct Digest
{
    std::string instance;
    /// Wall clock at the start of the instance in ms; orders the restarts of one instance.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Grows with each digest; an older one is ignored.
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

/// Send the task to a target now. The shell answers every one with one attemptFinished().
struct StartAttempt
{
    TaskHandle handle = 0;
    std::uint32_t attempt = 1;
    std::string target;
    Address address;
    std::string_view reason; ///< Has static storage, as all reasons of this type do.
    bool isHedge = false; ///< Another attempt of the task is still running.

    auto operator<=>(const StartAttempt &) const = default;
};

/// Send the task to a peer entry. The shell answers every one with one forwardFinished().
struct ForwardTask
{
    TaskHandle handle = 0;
    std::uint32_t attempt = 1; ///< The only attempt that the peer may start.
    std::string peer;
    std::string_view reason;

    auto operator<=>(const ForwardTask &) const = default;
};

/// Ask a peer for tasks. The peer's shell calls takeForPeer(); the answer's tasks go to submit().
struct PullFromPeer
{
    std::string peer;
    std::uint32_t slots = 0;
    std::string_view reason;

    auto operator<=>(const PullFromPeer &) const = default;
};

/// Tell the target (or the peer, when peer is not empty) to stop an attempt. The report of the
/// attempt is still expected.
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

/// The task has ended. Exactly one of these follows each submitted task, and the handle is
/// forgotten with it; reports of attempts that come later only free slots.
struct FinishTask
{
    TaskHandle handle = 0;
    Outcome outcome = Outcome::Unknown;
    std::uint32_t attempt = 0; ///< The attempt whose answer this is; 0 without an answer.
    std::string reason;
    std::uint32_t started = 0; ///< Sends that were not proven to have started nothing.

    auto operator<=>(const FinishTask &) const = default;
};

using Action = std::variant<StartAttempt, ForwardTask, PullFromPeer, StopAttempt, FinishTask>;
using Actions = std::vector<Action>;

/// Whether a request may be submitted.
struct AdmissionDecision
{
    bool isAdmitted = true;
    std::string reason; ///< Why not; short words joined by '-', with a name after ": " if any.
    Milliseconds retryAfter; ///< 0 when waiting does not help.
    Milliseconds expectedWait;

    auto operator<=>(const AdmissionDecision &) const = default;
};

/// Counts and gauges of one Dispatcher, for metrics and status.
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

/// What is known about one task, for an operator.
struct TaskExplanation
{
    std::uint32_t taskIndex = 0;
    std::string state; ///< "queued", "running", "forwarded", "stopping" or an outcome.
    std::string reason; ///< Of the last decision.
    std::string place; ///< Target or peer of the last attempt.
    std::uint32_t attempts = 0;
    Milliseconds since; ///< When the task came into this state.

    auto operator<=>(const TaskExplanation &) const = default;
};

} // namespace Camphor
