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

/// A Membership and the target ownership derived from it. Thread-safe.
class ClusterView
{
public:
    ClusterView(const EntrySettings &settings, std::uint64_t incarnation, const Clock &clock);

    [[nodiscard]] std::vector<MembershipEvent> digestReceived(const Digest &digest);
    [[nodiscard]] std::vector<MembershipEvent> tick();
    void startDraining();

    /// The instance that owns a target; empty if no entry of the domain accepts targets.
    [[nodiscard]] std::string owner(const std::string &targetId) const;
    /// The address to which targets of an owner send their announcements.
    [[nodiscard]] Address listenAddress(const std::string &instance) const;
    [[nodiscard]] bool isViewComplete() const;
    /// Whether the instance is a peer according to the settings.
    [[nodiscard]] bool isPeer(const std::string &instance) const
    {
        return m_domains.contains(instance);
    }
    /// Whether the peer may receive tasks: alive and not draining.
    [[nodiscard]] bool isUsable(const std::string &instance) const;
    [[nodiscard]] PeerState state(const std::string &instance) const;
    [[nodiscard]] std::uint64_t incarnation(const std::string &instance) const;
    /// Whether an executor is known to have terminated, so that its executions will never complete.
    [[nodiscard]] bool hasTerminated(const Executor &executor) const;

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
