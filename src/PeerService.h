/// @file Requests from peer entries to this one.
#pragma once

#include "AttemptFence.h"
#include "ClusterView.h"
#include "PoolSet.h"
#include "RpcServer.h"
#include "SubmissionFlow.h"
#include "TargetDirectory.h"

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace Camphor {

/// Handles PlaceTask, CancelTask, PullTasks and OwnerHandover. Thread-safe.
class PeerService
{
public:
    PeerService(const Clock &clock, ClusterView &cluster, PoolSet &pools,
                TargetDirectory &directory, SubmissionFlow &flow);

    void handle(const Hello &peer, MessageKind kind, const std::string &payload,
                const RpcReply &reply);
    /// Replies NotStarted to all further PlaceTask messages.
    void startDraining() { m_isDraining = true; }

private:
    struct PlacedAttempt
    {
        std::shared_ptr<PoolShard> shard;
        TaskHandle handle = 0;
    };

    void placeTask(const Hello &peer, PlaceTask message, const RpcReply &reply);
    void cancelTask(const Hello &peer, const CancelTask &message);
    [[nodiscard]] std::uint32_t pullTasks(const Hello &peer, const PullTasks &message) const;
    [[nodiscard]] bool isCurrent(const Hello &peer) const;
    [[nodiscard]] AttemptFence::Verdict admit(const Hello &peer, const std::string &attempt,
                                              Milliseconds deadline);

    const Clock &m_clock;
    ClusterView &m_cluster;
    PoolSet &m_pools;
    TargetDirectory &m_directory;
    SubmissionFlow &m_flow;
    std::atomic<bool> m_isDraining{false};
    std::mutex m_mutex;
    AttemptFence m_fence;
    /// Unfinished placed attempts, by sender and attempt id.
    std::unordered_map<std::string, PlacedAttempt> m_placed;
};

} // namespace Camphor
