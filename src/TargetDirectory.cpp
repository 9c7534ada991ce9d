#include "TargetDirectory.h"

#include "Log.h"

#include <algorithm>
#include <utility>

namespace Camphor {

namespace {

constexpr Milliseconds HeartbeatPeriod{1'000};
/// Time until the next announcement if this entry does not own the target, or if its view of the
/// other entries is not complete yet.
constexpr Milliseconds RedirectPeriod{200};
/// Limit of retained handovers, since a target may never announce itself here.
constexpr std::size_t MaxHandovers = 10'000;

} // namespace

TargetDirectory::TargetDirectory(ClusterView &cluster, PoolSet &pools, PeerLink &peers)
    : m_cluster(cluster)
    , m_pools(pools)
    , m_peers(peers)
{
}

TargetDirectory::Reply TargetDirectory::announce(TargetAnnouncement announcement)
{
    const auto &self = m_cluster.self().instance;
    // If no entry of the domain accepts targets (this one is draining and the only one), this entry
    // remains the owner and its work continues.
    auto owner = m_cluster.owner(announcement.id);
    if (owner.empty())
        owner = self;
    if (owner != self) {
        release(announcement.id, owner);
        return {m_cluster.listenAddress(owner), RedirectPeriod};
    }
    if (!m_cluster.isViewComplete())
        return {m_cluster.listenAddress(self), RedirectPeriod};
    if (announcement.isLeaving) {
        leave(announcement.id);
        return {m_cluster.listenAddress(self), HeartbeatPeriod};
    }
    {
        const std::lock_guard lock(m_mutex);
        if (auto node = m_handovers.extract(announcement.id)) {
            std::ranges::move(node.mapped(), std::back_inserter(announcement.running));
            std::ranges::sort(announcement.running);
            const auto rest = std::ranges::unique(announcement.running);
            announcement.running.erase(rest.begin(), rest.end());
        }
        const auto [it, isNew] = m_owned.insert_or_assign(announcement.id, announcement);
        if (isNew)
            Log::info(LogEvent::TargetOwned).kv("target", announcement.id);
    }
    m_pools.targetAnnounced(announcement);
    return {m_cluster.listenAddress(self), HeartbeatPeriod};
}

void TargetDirectory::leave(const std::string &id)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_owned.erase(id) == 0)
            return;
    }
    Log::info(LogEvent::TargetLeft).kv("target", id);
    for (const auto &shard : m_pools.shards())
        shard->targetLeft(id);
}

void TargetDirectory::ownershipChanged()
{
    const auto &self = m_cluster.self().instance;
    std::vector<std::pair<std::string, std::string>> lost;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[id, announcement] : m_owned) {
            auto owner = m_cluster.owner(id);
            if (!owner.empty() && owner != self)
                lost.emplace_back(id, std::move(owner));
        }
    }
    for (const auto &[id, owner] : lost)
        release(id, owner);
}

void TargetDirectory::release(const std::string &id, const std::string &owner)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_owned.erase(id) == 0)
            return;
    }
    Log::info(LogEvent::TargetReleased).kv("target", id).kv("owner", owner);
    OwnerHandover message{id, {}};
    for (const auto &shard : m_pools.shards())
        std::ranges::move(shard->targetReleased(id), std::back_inserter(message.running));
    m_peers.handOver(owner, message);
}

void TargetDirectory::handoverReceived(const std::string &id, std::vector<std::string> running)
{
    const std::lock_guard lock(m_mutex);
    if (m_handovers.size() < MaxHandovers)
        m_handovers[id] = std::move(running);
}

std::size_t TargetDirectory::ownedTargets() const
{
    const std::lock_guard lock(m_mutex);
    return m_owned.size();
}

} // namespace Camphor
