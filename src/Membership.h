/// @file Failure detection over the digests that entries send each other.
#pragma once

#include "DispatchTypes.h"

#include <map>
#include <string>
#include <vector>

namespace Camphor {

/// What an entry knows of a peer.
enum class PeerState {
    Unheard, ///< No digest since this process started.
    Alive,
    Suspected, ///< Keeps its targets, but gets no tasks.
    Dead, ///< Its targets get new owners.
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
    std::vector<Peer> peers; ///< Without this entry.
    Milliseconds suspectAfter{2'000}; ///< Without a digest.
    Milliseconds deadAfter{3'000};

    auto operator<=>(const MembershipSettings &) const = default;
};

/// A change in a peer's state.
struct MembershipEvent
{
    enum class Kind {
        Changed, ///< The state is another one.
        Restarted, ///< A higher incarnation: what the old one ran is lost.
        Draining, ///< It began or ended to drain.
    };
    Kind kind = Kind::Changed;
    std::string instance;
    PeerState state = PeerState::Unheard;
    std::uint64_t incarnation = 0;

    auto operator<=>(const MembershipEvent &) const = default;
};

/// The peers of an entry as their digests show them.
class Membership
{
public:
    Membership(MembershipSettings settings, Milliseconds now);

    /// Takes a digest of a peer. One of an unknown instance, a lower incarnation, or an older
    /// sequence is ignored.
    [[nodiscard]] std::vector<MembershipEvent> digestReceived(const Digest &digest,
                                                              Milliseconds now);
    /// Suspects and buries peers that were silent; to be called every 100 ms or so.
    [[nodiscard]] std::vector<MembershipEvent> tick(Milliseconds now);

    /// Makes this entry own no targets any more.
    void startDraining() { m_isDraining = true; }

    [[nodiscard]] PeerState state(const std::string &instance) const;
    /// The last incarnation seen, 0 when unheard. Messages of a lower one are to be rejected.
    [[nodiscard]] std::uint64_t incarnation(const std::string &instance) const;

    /// The entries of this domain that own targets: alive or suspected, not draining, and this
    /// entry itself unless it drains. Sorted.
    [[nodiscard]] std::vector<std::string> owners() const;
    /// Peers of the domain that may be given tasks: alive and not draining. Sorted.
    [[nodiscard]] std::vector<std::string> usablePeers(const std::string &domain) const;

    /// Whether every peer of this domain was heard, or the time to suspect has passed since the
    /// start. Before that an entry must not take targets, because it would take those of peers
    /// that it has not heard yet.
    [[nodiscard]] bool isSettled(Milliseconds now) const;

private:
    struct PeerRecord
    {
        std::string domain;
        PeerState state = PeerState::Unheard;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        bool isDraining = false;
        Milliseconds lastHeard;
    };

    MembershipSettings m_settings;
    Milliseconds m_startedAt;
    bool m_isDraining = false;
    std::map<std::string, PeerRecord> m_peers;
};

} // namespace Camphor
