/// @file Failure detection based on the digests that entries send to each other.
#pragma once

#include "DispatchTypes.h"

#include <map>
#include <string>
#include <vector>

namespace Camphor {

/// State of a peer as seen by this entry.
enum class PeerState {
    NoContact, ///< No digest received since this process started.
    Alive,
    Suspected, ///< Gets no tasks, but remains the owner of its targets.
    Dead, ///< Its targets are assigned to other owners.
};

/// The name of a state for logs and status.
[[nodiscard]] const char *peerStateName(PeerState state);

/// A peer of the static list in the settings.
struct Peer
{
    std::string instance;
    std::string domain;

    auto operator<=>(const Peer &) const = default;
};

struct MembershipSettings
{
    std::string instance; ///< This entry.
    std::string domain;
    std::vector<Peer> peers; ///< Excluding this entry.
    Milliseconds suspectAfter{2'000}; ///< Time without a digest.
    Milliseconds deadAfter{3'000}; ///< Time without a digest.

    auto operator<=>(const MembershipSettings &) const = default;
};

/// A change in the state of a peer.
struct MembershipEvent
{
    enum class Kind {
        Changed, ///< The state changed.
        Restarted, ///< A higher incarnation: tasks of the previous one are lost.
        Draining, ///< The peer started or stopped draining.
    };
    Kind kind = Kind::Changed;
    std::string instance;
    PeerState state = PeerState::NoContact;
    std::uint64_t incarnation = 0;

    auto operator<=>(const MembershipEvent &) const = default;
};

/// The state of the peers of an entry according to their digests.
class Membership
{
public:
    Membership(MembershipSettings settings, Milliseconds now);

    /// Applies a digest. A digest from an unknown instance, of a lower incarnation, or with a
    /// sequence that is not higher than the last one, is ignored.
    [[nodiscard]] std::vector<MembershipEvent> digestReceived(const Digest &digest,
                                                              Milliseconds now);
    /// Marks peers without recent digests as suspected or dead. Must be called about every 100 ms.
    [[nodiscard]] std::vector<MembershipEvent> tick(Milliseconds now);

    /// From now on this entry owns no targets.
    void startDraining() { m_isDraining = true; }

    [[nodiscard]] PeerState state(const std::string &instance) const;
    /// The highest incarnation seen, 0 without contact. Messages of a lower one must be rejected.
    [[nodiscard]] std::uint64_t incarnation(const std::string &instance) const;

    /// The entries of this domain that own targets: alive or suspected, not draining, and this
    /// entry itself unless it drains. Sorted.
    [[nodiscard]] std::vector<std::string> owners() const;
    /// Peers of the domain that may receive tasks: alive and not draining. Sorted.
    [[nodiscard]] std::vector<std::string> usablePeers(const std::string &domain) const;

    /// Whether a digest was received from every peer of this domain, or suspectAfter has passed
    /// since the start. Before that, an entry must not claim targets, because it might claim those
    /// of peers whose digests have not arrived yet.
    [[nodiscard]] bool isViewComplete(Milliseconds now) const;

private:
    struct PeerRecord
    {
        std::string domain;
        PeerState state = PeerState::NoContact;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        bool isDraining = false;
        Milliseconds lastContact;
    };

    MembershipSettings m_settings;
    Milliseconds m_startedAt;
    bool m_isDraining = false;
    std::map<std::string, PeerRecord> m_peers;
};

} // namespace Camphor
