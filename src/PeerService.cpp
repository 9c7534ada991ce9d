#include "PeerService.h"

#include "Log.h"
#include "Wire.h"

#include <cmath>
#include <utility>

namespace Camphor {

namespace {

constexpr std::size_t MaxFencedAttempts = 200'000;
/// If a cancellation overtakes its PlaceTask, the attempt is rejected for this long.
constexpr Milliseconds CancelRetention{60'000};
constexpr double MaxTimeLeftMs = 86'400'000.0;

AttemptOutcome toAttemptOutcome(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return AttemptOutcome::NotStarted;
    case Outcome::Completed:
        return AttemptOutcome::Completed;
    case Outcome::Failed:
        return AttemptOutcome::Failed;
    case Outcome::Unknown:
        return AttemptOutcome::Unknown;
    }
    return AttemptOutcome::Unknown;
}

std::string encodeOutcome(AttemptOutcome outcome, std::string reason)
{
    return encodeMessage(
        TaskOutcome{static_cast<std::uint8_t>(outcome), {}, std::move(reason), 0, -1});
}

TaskSpec makeSpec(const Hello &peer, const PlaceTask &message, Milliseconds deadline)
{
    TaskSpec spec;
    spec.handle = nextTaskHandle();
    spec.requestId = message.requestId;
    spec.service = message.service;
    spec.team = message.team;
    spec.urgency = static_cast<Urgency>(std::min<std::uint8_t>(message.urgency, 2));
    spec.deadline = deadline;
    spec.isRepeatable = message.isRepeatable;
    spec.isJobTask = message.isJobTask;
    spec.taskIndex = message.taskIndex;
    spec.attempt = message.attempt;
    spec.origin = peer.instance;
    spec.originIncarnation = peer.incarnation;
    return spec;
}

std::string placedId(const Hello &peer, const std::string &attempt)
{
    return peer.instance + "/" + attempt;
}

} // namespace

PeerService::PeerService(const Clock &clock, ClusterView &cluster, PoolSet &pools,
                         TargetDirectory &directory, SubmissionFlow &flow)
    : m_clock(clock)
    , m_cluster(cluster)
    , m_pools(pools)
    , m_directory(directory)
    , m_flow(flow)
    , m_fence(MaxFencedAttempts)
{
}

bool PeerService::isCurrent(const Hello &peer) const
{
    return m_cluster.isPeer(peer.instance)
        && peer.incarnation >= m_cluster.incarnation(peer.instance);
}

AttemptFence::Verdict PeerService::admit(const Hello &peer, const std::string &attempt,
                                         Milliseconds deadline)
{
    if (!isCurrent(peer))
        return AttemptFence::Verdict::OldIncarnation;
    const std::lock_guard lock(m_mutex);
    return m_fence.admit(peer.instance, peer.incarnation, attempt, deadline, m_clock.now());
}

void PeerService::handle(const Hello &peer, MessageKind kind, const std::string &payload,
                         const RpcReply &reply)
{
    const auto invalid = [&reply] {
        reply(Error{ErrorCode::InvalidMessage, "message cannot be decoded"});
    };
    std::uint32_t count = 0;
    if (kind == MessageKind::PlaceTask) {
        auto message = decodeMessage<PlaceTask>(payload);
        if (message)
            placeTask(peer, std::move(message).value(), reply);
        else
            invalid();
        return;
    }
    if (kind == MessageKind::CancelTask) {
        const auto message = decodeMessage<CancelTask>(payload);
        if (!message) {
            invalid();
            return;
        }
        cancelTask(peer, message.value());
    } else if (kind == MessageKind::PullTasks) {
        const auto message = decodeMessage<PullTasks>(payload);
        if (!message) {
            invalid();
            return;
        }
        count = pullTasks(peer, message.value());
    } else if (kind == MessageKind::OwnerHandover) {
        auto message = decodeMessage<OwnerHandover>(payload);
        if (!message) {
            invalid();
            return;
        }
        auto handover = std::move(message).value();
        m_directory.handoverReceived(handover.target, std::move(handover.running));
    } else {
        reply(Error{ErrorCode::InvalidMessage, "entries do not handle this kind of message"});
        return;
    }
    reply(encodeMessage(PeerAck{count}));
}

void PeerService::placeTask(const Hello &peer, PlaceTask message, const RpcReply &reply)
{
    const auto attempt = attemptId(message.requestId, message.taskIndex, message.attempt);
    const bool isValidTime = std::isfinite(message.timeLeftMs) && message.timeLeftMs > 0
        && message.timeLeftMs <= MaxTimeLeftMs;
    const auto deadline =
        m_clock.now() + (isValidTime ? Milliseconds{message.timeLeftMs} : Milliseconds{});
    const auto verdict = admit(peer, attempt, deadline);
    if (verdict != AttemptFence::Verdict::Accepted) {
        Log::warning(LogEvent::PlacementRefused)
            .kv("attempt", attempt)
            .kv("peer", peer.instance)
            .kv("reason", fenceReason(verdict));
        // The first copy of a duplicate may have started. All other verdicts prove that nothing
        // started.
        const bool isProvenNotStarted = verdict != AttemptFence::Verdict::Duplicate;
        reply(
            encodeOutcome(isProvenNotStarted ? AttemptOutcome::NotStarted : AttemptOutcome::Unknown,
                          fenceReason(verdict)));
        return;
    }
    const auto shard = m_pools.shardOf(message.service);
    if (!shard || m_isDraining) {
        reply(encodeOutcome(AttemptOutcome::NotStarted, shard ? "draining" : "unknown-service"));
        return;
    }
    PlacedTask task;
    task.spec = makeSpec(peer, message, deadline);
    task.input = std::make_shared<const std::string>(std::move(message.input));
    const auto id = placedId(peer, attempt);
    task.onEnd = [this, id, shard, service = message.service, reply](TaskEnd end) {
        {
            const std::lock_guard lock(m_mutex);
            m_placed.erase(id);
        }
        reply(encodeMessage(TaskOutcome{static_cast<std::uint8_t>(toAttemptOutcome(end.outcome)),
                                        std::move(end.body), std::move(end.reason),
                                        end.runTime.count(), shard->freeSlots(service)}));
    };
    {
        const std::lock_guard lock(m_mutex);
        m_placed[id] = {shard, task.spec.handle};
    }
    std::vector<PlacedTask> tasks;
    tasks.push_back(std::move(task));
    shard->submit(std::move(tasks));
}

void PeerService::cancelTask(const Hello &peer, const CancelTask &message)
{
    if (message.attempt.empty()) {
        m_flow.cancel(message.key);
        return;
    }
    PlacedAttempt placed;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_placed.find(placedId(peer, message.attempt));
        if (it != m_placed.end())
            placed = it->second;
    }
    if (placed.shard)
        placed.shard->cancel(placed.handle);
    else
        (void)admit(peer, message.attempt, m_clock.now() + CancelRetention);
}

std::uint32_t PeerService::pullTasks(const Hello &peer, const PullTasks &message) const
{
    const auto shard = m_pools.shardOfPool(message.pool);
    if (!shard || !isCurrent(peer) || !m_cluster.isUsable(peer.instance))
        return 0;
    return shard->forwardToPeer(peer.instance, message.slots);
}

} // namespace Camphor
