#include "PeerTable.h"

#include <algorithm>

namespace Camphor {

void PeerTable::digestReceived(const Digest &digest, const std::string &pool,
                               const PoolRules &rules)
{
    m_cachedFree.clear();
    auto &peer = m_peers[digest.instance];
    peer.domain = digest.domain;
    peer.services.assign(rules.serviceCount(), {});
    peer.waiting.clear();
    peer.usableServices.clear();
    peer.slots = peer.queuedTasks = peer.sentMs = 0;
    for (const auto &it : digest.pools) {
        for (const auto &service : it.services)
            if (service.slots > 0)
                peer.usableServices.push_back(service.service);
        if (it.pool != pool)
            continue;
        peer.slots = it.slots;
        peer.queuedTasks = it.queuedTasks;
        for (const auto &service : it.services)
            if (const auto index = rules.service(service.service))
                peer.services[*index] = {
                    static_cast<double>(service.freeSlots), static_cast<double>(service.slots),
                    static_cast<double>(service.queuedTasks), Milliseconds{service.runTimeMs}};
        for (const auto &flow : it.waiting) {
            const auto service = rules.service(flow.service);
            const auto team = rules.team(flow.team);
            if (service && team)
                peer.waiting.emplace_back(FlowId{*service, *team}, Milliseconds{flow.waitMs});
        }
    }
}

void PeerTable::peerUnusable(const std::string &instance)
{
    m_cachedFree.clear();
    m_peers.erase(instance);
}

void PeerTable::taskSent(const std::string &instance, std::uint32_t service, double estimateMs)
{
    const auto it = m_peers.find(instance);
    if (it == m_peers.end() || service >= it->second.services.size())
        return;
    m_cachedFree.clear();
    auto &peer = it->second;
    if (peer.services[service].free < 1)
        peer.sentMs += estimateMs;
    // Services share the slots of a target, so a task uses up a free slot of each service.
    for (auto &other : peer.services)
        other.free = std::max(other.free - 1, 0.0);
}

void PeerTable::freeSlotsReported(const std::string &instance, std::uint32_t service, double free)
{
    const auto it = m_peers.find(instance);
    if (it == m_peers.end() || service >= it->second.services.size())
        return;
    m_cachedFree.clear();
    it->second.services[service].free = free;
}

void PeerTable::pullSent(const std::string &instance, Milliseconds now)
{
    const auto it = m_peers.find(instance);
    if (it != m_peers.end())
        it->second.pulledAt = now;
}

const PeerTable::Peer *PeerTable::find(const std::string &instance) const
{
    const auto it = m_peers.find(instance);
    return it == m_peers.end() ? nullptr : &it->second;
}

double PeerTable::slots(std::uint32_t service, const std::string &domain) const
{
    double slots = 0;
    for (const auto &[instance, peer] : m_peers)
        if (peer.domain == domain && service < peer.services.size())
            slots += peer.services[service].slots;
    return slots;
}

double PeerTable::freeSlots(std::uint32_t service, const std::string &domain) const
{
    if (m_cachedDomain != domain || service >= m_cachedFree.size()) {
        if (m_cachedDomain != domain)
            m_cachedFree.clear();
        m_cachedDomain = domain;
        m_cachedFree.resize(std::max<std::size_t>(m_cachedFree.size(), service + 1), -1);
    }
    auto &cached = m_cachedFree[service];
    if (cached >= 0)
        return cached;
    cached = 0;
    for (const auto &[instance, peer] : m_peers)
        if (peer.domain == domain && service < peer.services.size())
            cached += peer.services[service].free;
    return cached;
}

bool PeerTable::hasTarget(std::string_view service) const
{
    return std::ranges::any_of(m_peers, [&](const auto &it) {
        return std::ranges::count(it.second.usableServices, service) > 0;
    });
}

std::optional<Milliseconds> PeerTable::expectedWait(const Peer &peer, FlowId flow)
{
    if (flow.service >= peer.services.size() || peer.services[flow.service].slots <= 0)
        return std::nullopt;
    const auto &service = peer.services[flow.service];
    if (service.free >= 1)
        return Milliseconds{0};
    const auto listed =
        std::ranges::find(peer.waiting, flow, [](const auto &it) { return it.first; });
    const auto base = listed == peer.waiting.end() ? Milliseconds{0} : listed->second;
    return base + (service.runTime + Milliseconds{peer.sentMs}) / service.slots;
}

} // namespace Camphor
