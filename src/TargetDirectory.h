/// @file The targets that announce themselves to this entry, and which of them it owns.
#pragma once

#include "ClusterView.h"
#include "PeerLink.h"
#include "PoolSet.h"

#include <map>
#include <mutex>
#include <string>

namespace Camphor {

/// Passes announcements to the pools of this entry, or redirects the target to its owner.
/// Thread-safe.
class TargetDirectory
{
public:
    TargetDirectory(ClusterView &cluster, PoolSet &pools, PeerLink &peers);

    /// The response to an announcement.
    struct Reply
    {
        Address owner;
        Milliseconds heartbeat; ///< Time until the next announcement, which goes to the owner.
    };

    Reply announce(TargetAnnouncement announcement);
    void leave(const std::string &id);
    /// Releases the targets that this entry no longer owns.
    void ownershipChanged();
    /// Attempts that the previous owner has in flight on a target. They occupy slots until the
    /// second heartbeat.
    void handoverReceived(const std::string &id, std::vector<std::string> running);
    [[nodiscard]] std::size_t ownedTargets() const;

private:
    void release(const std::string &id, const std::string &owner);

    ClusterView &m_cluster;
    PoolSet &m_pools;
    PeerLink &m_peers;
    mutable std::mutex m_mutex;
    std::map<std::string, TargetAnnouncement> m_owned;
    std::map<std::string, std::vector<std::string>> m_handovers;
};

} // namespace Camphor
