/// @file The known load of the peers of this entry.
#pragma once

#include "DispatchTypes.h"
#include "FlowQueue.h"
#include "PoolRules.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Camphor {

/// Free slots and queues of peers according to their digests, adjusted for the tasks sent since.
class PeerTable
{
public:
    /// Minimum time between two pulls from the same peer.
    static constexpr Milliseconds PullInterval{100};

    struct Service
    {
        double free = 0;
        double slots = 0;
        double queued = 0; ///< Queued tasks.
        Milliseconds runTime;
    };

    struct Peer
    {
        std::string domain;
        Milliseconds pulledAt{-1e9};
        double queuedTasks = 0;
        double slots = 0;
        double sentMs = 0; ///< Slot time sent beyond the free slots since the last digest.
        std::vector<Service> services; ///< By service index of the pool.
        std::vector<std::pair<FlowId, Milliseconds>> waiting;
        std::vector<std::string> usableServices; ///< Services with slots, in all pools.
    };

    void digestReceived(const Digest &digest, const std::string &pool, const PoolRules &rules);
    void peerUnusable(const std::string &instance);
    /// A task was sent to the peer.
    void taskSent(const std::string &instance, std::uint32_t service, double estimateMs);
    /// A reply of the peer stated its free slots.
    void freeSlotsReported(const std::string &instance, std::uint32_t service, double free);
    void pullSent(const std::string &instance, Milliseconds now);

    [[nodiscard]] const std::map<std::string, Peer> &peers() const { return m_peers; }
    [[nodiscard]] const Peer *find(const std::string &instance) const;
    /// Slots of the usable peers of a domain for a service.
    [[nodiscard]] double slots(std::uint32_t service, const std::string &domain) const;
    /// Free slots of the usable peers of a domain for a service. Cached between changes, because it
    /// is queried on each event while the local slots are in use.
    [[nodiscard]] double freeSlots(std::uint32_t service, const std::string &domain) const;
    [[nodiscard]] bool hasTarget(std::string_view service) const;
    /// Expected queueing time of a task of the flow at the peer; nothing if the peer has no slots
    /// for its service.
    [[nodiscard]] static std::optional<Milliseconds> expectedWait(const Peer &peer, FlowId flow);

private:
    std::map<std::string, Peer> m_peers;
    mutable std::string m_cachedDomain;
    mutable std::vector<double> m_cachedFree; ///< By service; negative if not cached.
};

} // namespace Camphor
