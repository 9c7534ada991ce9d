/// @file What this entry believes about the load of its peers.
#pragma once

#include "DispatchTypes.h"
#include "FlowQueue.h"
#include "PoolRules.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Camphor {

/// Free slots and queues of peers from their digests, corrected by what was sent since.
class PeerTable
{
public:
    /// After a pull the peer is asked again no earlier than this.
    static constexpr Milliseconds PullInterval{100};

    struct Service
    {
        double free = 0;
        double slots = 0;
        double queued = 0; ///< Tasks.
        Milliseconds runTime;
    };

    struct Peer
    {
        std::string domain;
        Milliseconds pulledAt{-1e9};
        double queuedTasks = 0;
        double slots = 0;
        double sentMs = 0; ///< Slot time sent since the digest beyond the free slots.
        std::vector<Service> services; ///< By service index of the pool.
        std::vector<std::pair<FlowId, Milliseconds>> waiting;
        std::vector<std::string> usableServices; ///< Of all pools.
    };

    void digestReceived(const Digest &digest, const std::string &pool, const PoolRules &rules);
    void lost(const std::string &instance);
    /// A task was sent to the peer.
    void sent(const std::string &instance, std::uint32_t service, double estimateMs);
    /// A reply of the peer named its free slots.
    void corrected(const std::string &instance, std::uint32_t service, double free);
    void pulled(const std::string &instance, Milliseconds now);

    [[nodiscard]] const std::map<std::string, Peer> &peers() const { return m_peers; }
    [[nodiscard]] const Peer *find(const std::string &instance) const;
    /// Slots that the usable peers of a domain have for a service.
    [[nodiscard]] double slots(std::uint32_t service, const std::string &domain) const;
    /// Free slots of the usable peers of a domain for a service. Cached between changes, because
    /// it is asked for each event while the local slots are full.
    [[nodiscard]] double freeSlots(std::uint32_t service, const std::string &domain) const;
    [[nodiscard]] bool hasTarget(std::string_view service) const;
    /// How long a task of the flow waits at the peer; nothing when the peer has no slots for it.
    [[nodiscard]] static std::optional<Milliseconds> expectedWait(const Peer &peer, FlowId flow);

private:
    std::map<std::string, Peer> m_peers;
    mutable std::string m_cachedDomain;
    mutable std::vector<double> m_cachedFree; ///< By service; negative is not known.
};

} // namespace Camphor
