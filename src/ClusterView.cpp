#include "ClusterView.h"

#include <algorithm>

namespace Camphor {

namespace {

MembershipSettings makeMembershipSettings(const EntrySettings &settings)
{
    MembershipSettings membership;
    membership.instance = settings.instance;
    membership.domain = settings.domain;
    std::ranges::transform(settings.peers, std::back_inserter(membership.peers),
                           [](const PeerSettings &it) { return Peer{it.instance, it.domain}; });
    return membership;
}

} // namespace

ClusterView::ClusterView(const EntrySettings &settings, std::uint64_t incarnation,
                         const Clock &clock)
    : m_self{settings.instance, incarnation}
    , m_clock(clock)
    , m_membership(makeMembershipSettings(settings), clock.now())
    , m_ownership(Ownership::make(m_membership.owners()))
{
    m_addresses[settings.instance] = settings.listen;
    for (const auto &peer : settings.peers) {
        m_addresses[peer.instance] = peer.listen;
        m_domains[peer.instance] = peer.domain;
    }
}

void ClusterView::updateOwnership() { m_ownership = Ownership::make(m_membership.owners()); }

std::vector<MembershipEvent> ClusterView::digestReceived(const Digest &digest)
{
    const std::lock_guard lock(m_mutex);
    auto events = m_membership.digestReceived(digest, m_clock.now());
    if (!events.empty())
        updateOwnership();
    return events;
}

std::vector<MembershipEvent> ClusterView::tick()
{
    const std::lock_guard lock(m_mutex);
    auto events = m_membership.tick(m_clock.now());
    if (!events.empty())
        updateOwnership();
    return events;
}

void ClusterView::startDraining()
{
    const std::lock_guard lock(m_mutex);
    m_membership.startDraining();
    updateOwnership();
}

std::string ClusterView::owner(const std::string &targetId) const
{
    const std::lock_guard lock(m_mutex);
    return m_ownership.owner(targetId);
}

Address ClusterView::listenAddress(const std::string &instance) const
{
    const auto it = m_addresses.find(instance);
    return it == m_addresses.end() ? Address{} : it->second;
}

bool ClusterView::isViewComplete() const
{
    const std::lock_guard lock(m_mutex);
    return m_membership.isViewComplete(m_clock.now());
}

bool ClusterView::isUsable(const std::string &instance) const
{
    const auto domain = m_domains.find(instance);
    if (domain == m_domains.end())
        return false;
    const std::lock_guard lock(m_mutex);
    return std::ranges::count(m_membership.usablePeers(domain->second), instance) > 0;
}

PeerState ClusterView::state(const std::string &instance) const
{
    const std::lock_guard lock(m_mutex);
    return m_membership.state(instance);
}

std::uint64_t ClusterView::incarnation(const std::string &instance) const
{
    const std::lock_guard lock(m_mutex);
    return m_membership.incarnation(instance);
}

bool ClusterView::hasTerminated(const Executor &executor) const
{
    if (executor.instance == m_self.instance)
        return executor.incarnation != m_self.incarnation;
    const std::lock_guard lock(m_mutex);
    switch (m_membership.state(executor.instance)) {
    case PeerState::Dead:
        return true;
    case PeerState::NoContact:
        // An entry without contact since this process started counts as terminated once all
        // live peers should have sent a digest.
        return m_membership.isViewComplete(m_clock.now());
    case PeerState::Alive:
    case PeerState::Suspected:
        return m_membership.incarnation(executor.instance) > executor.incarnation;
    }
    return false;
}

} // namespace Camphor
