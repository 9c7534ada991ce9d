/// @file Membership and target ownership, shared by the threads of an entry.
#pragma once

#include "EntrySettings.h"
#include "Membership.h"
#include "Ownership.h"
#include "SubmissionLedger.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Camphor {

/// A Membership under a lock. Thread-safe.
class ClusterView
{
public:
    ClusterView(const EntrySettings &settings, std::uint64_t incarnation, const Clock &clock);

    [[nodiscard]] std::vector<MembershipEvent> digestReceived(const Digest &digest);
    [[nodiscard]] std::vector<MembershipEvent> tick();
    void startDraining();

    /// The instance that owns a target; empty when no entry of the domain takes targets.
    [[nodiscard]] std::string owner(const std::string &targetId) const;
    /// The address that a target should announce to for an owner.
    [[nodiscard]] Address listenAddress(const std::string &instance) const;
    [[nodiscard]] bool isSettled() const;
    /// Whether the settings name the instance as a peer.
    [[nodiscard]] bool isPeer(const std::string &instance) const
    {
        return m_domains.contains(instance);
    }
    /// Whether tasks may be sent to the peer: alive and not draining.
    [[nodiscard]] bool isUsable(const std::string &instance) const;
    [[nodiscard]] PeerState state(const std::string &instance) const;
    [[nodiscard]] std::uint64_t incarnation(const std::string &instance) const;
    /// Whether an executor is known to have ended, so that its executions have no end any more.
    [[nodiscard]] bool isDead(const Executor &executor) const;

    [[nodiscard]] const Executor &self() const { return m_self; }

private:
    void updateOwnership();

    const Executor m_self;
    const Clock &m_clock;
    std::map<std::string, Address> m_addresses;
    std::map<std::string, std::string> m_domains;
    mutable std::mutex m_mutex;
    Membership m_membership;
    Ownership m_ownership;
};

} // namespace Camphor
