#include "Membership.h"

#include <algorithm>

namespace Camphor {

const char *peerStateName(PeerState state)
{
    switch (state) {
    case PeerState::NoContact:
        return "unheard";
    case PeerState::Alive:
        return "alive";
    case PeerState::Suspected:
        return "suspected";
    case PeerState::Dead:
        return "dead";
    }
    return "unheard";
}

Membership::Membership(MembershipSettings settings, Milliseconds now)
    : m_settings(std::move(settings))
    , m_startedAt(now)
{
    for (const auto &it : m_settings.peers)
        m_peers[it.instance].domain = it.domain;
    m_peers.erase(m_settings.instance);
}

std::vector<MembershipEvent> Membership::digestReceived(const Digest &digest, Milliseconds now)
{
    std::vector<MembershipEvent> events;
    const auto it = m_peers.find(digest.instance);
    if (it == m_peers.end() || digest.incarnation < it->second.incarnation)
        return events;
    auto &peer = it->second;
    const auto isRestart = peer.incarnation != 0 && digest.incarnation > peer.incarnation;
    if (!isRestart && peer.incarnation != 0 && digest.sequence <= peer.sequence)
        return events;
    if (isRestart)
        events.push_back({MembershipEvent::Kind::Restarted, digest.instance, PeerState::Alive,
                          digest.incarnation});
    if (peer.state != PeerState::Alive)
        events.push_back({MembershipEvent::Kind::Changed, digest.instance, PeerState::Alive,
                          digest.incarnation});
    if (peer.isDraining != digest.isDraining)
        events.push_back({MembershipEvent::Kind::Draining, digest.instance, PeerState::Alive,
                          digest.incarnation});
    peer.state = PeerState::Alive;
    peer.incarnation = digest.incarnation;
    peer.sequence = digest.sequence;
    peer.isDraining = digest.isDraining;
    peer.lastContact = now;
    return events;
}

std::vector<MembershipEvent> Membership::tick(Milliseconds now)
{
    std::vector<MembershipEvent> events;
    for (auto &[instance, peer] : m_peers) {
        if (peer.state == PeerState::NoContact || peer.state == PeerState::Dead)
            continue;
        const auto sinceContact = now - peer.lastContact;
        const auto state = sinceContact >= m_settings.deadAfter ? PeerState::Dead
            : sinceContact >= m_settings.suspectAfter           ? PeerState::Suspected
                                                                : PeerState::Alive;
        if (state == peer.state)
            continue;
        peer.state = state;
        events.push_back({MembershipEvent::Kind::Changed, instance, state, peer.incarnation});
    }
    return events;
}

PeerState Membership::state(const std::string &instance) const
{
    const auto it = m_peers.find(instance);
    return it == m_peers.end() ? PeerState::NoContact : it->second.state;
}

std::uint64_t Membership::incarnation(const std::string &instance) const
{
    const auto it = m_peers.find(instance);
    return it == m_peers.end() ? 0 : it->second.incarnation;
}

std::vector<std::string> Membership::owners() const
{
    std::vector<std::string> owners;
    if (!m_isDraining)
        owners.push_back(m_settings.instance);
    for (const auto &[instance, peer] : m_peers) {
        const auto isUp = peer.state == PeerState::Alive || peer.state == PeerState::Suspected;
        if (peer.domain == m_settings.domain && isUp && !peer.isDraining)
            owners.push_back(instance);
    }
    std::ranges::sort(owners);
    return owners;
}

std::vector<std::string> Membership::usablePeers(const std::string &domain) const
{
    std::vector<std::string> peers;
    for (const auto &[instance, peer] : m_peers)
        if (peer.domain == domain && peer.state == PeerState::Alive && !peer.isDraining)
            peers.push_back(instance);
    return peers;
}

bool Membership::isViewComplete(Milliseconds now) const
{
    return now - m_startedAt >= m_settings.suspectAfter
        || std::ranges::none_of(m_peers, [this](const auto &it) {
               return it.second.domain == m_settings.domain
                   && it.second.state == PeerState::NoContact;
           });
}

} // namespace Camphor
