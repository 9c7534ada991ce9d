/// @file The targets that announce here, and which of them this entry owns.
#pragma once

#include "ClusterView.h"
#include "PeerLink.h"
#include "PoolSet.h"

#include <map>
#include <mutex>
#include <string>

namespace Camphor {

/// Routes announcements to the pools of this entry or to the owner. Thread-safe.
class TargetDirectory
{
public:
    TargetDirectory(ClusterView &cluster, PoolSet &pools, PeerLink &peers);

    /// What a target is answered.
    struct Reply
    {
        Address owner;
        Milliseconds heartbeat; ///< Until the next announcement, to the owner.
    };

    Reply announce(TargetAnnouncement announcement);
    void leave(const std::string &id);
    /// Gives up the targets that this entry does not own any more.
    void ownershipChanged();
    /// The old owner's attempts on a target; they count as busy until the second heartbeat.
    void inherit(const std::string &id, std::vector<std::string> running);
    [[nodiscard]] std::size_t ownedTargets() const;

private:
    void release(const std::string &id, const std::string &owner);

    ClusterView &m_cluster;
    PoolSet &m_pools;
    PeerLink &m_peers;
    mutable std::mutex m_mutex;
    std::map<std::string, TargetAnnouncement> m_owned;
    std::map<std::string, std::vector<std::string>> m_inherited;
};

} // namespace Camphor
