/// @file Decides which control instances are members of the replicated group.
#pragma once

#include "RaftCore.h"
#include "Time.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace Camphor {

/// A control instance that asks to be a member.
struct MemberCandidate
{
    RaftMember member;
    Milliseconds lastContactAt;
};

struct GroupMembershipSettings
{
    std::size_t voters = 3; ///< Tolerates the loss of one disk.
    /// A member that has not replied for this long is replaced if a candidate is available.
    Milliseconds memberTimeout{4'000};
    /// A member that has replied within this time has its disk, whoever else asks from its address:
    /// a request of an earlier process there may have waited on its way.
    Milliseconds lostDiskTimeout{500};
    /// A candidate without contact for this long is not available.
    Milliseconds candidateTimeout{1'500};

    auto operator<=>(const GroupMembershipSettings &) const = default;
};

/// The next membership change; at most one is in progress at a time.
struct MembershipStep
{
    enum class Kind : std::uint8_t { None, Add, Remove };

    Kind kind = Kind::None;
    RaftMember member;
    std::string reason;

    auto operator<=>(const MembershipStep &) const = default;
};

/// What the leader knows about the members and candidates.
struct MembershipView
{
    const RaftConfiguration &group;
    const std::string &leader;
    const std::map<std::string, MemberCandidate> &candidates; ///< By name.
    /// Names of members whose processes are about to end and wait until they are replaced.
    const std::set<std::string> &leaving;
    /// Time of a member's last reply to the leader.
    std::function<Milliseconds(const std::string &)> lastReply;
    Milliseconds observedSince; ///< Start of this process: candidates may have called it since.
    Milliseconds now;
};

/// Returns the membership change that the leader should make next. Performs no I/O.
[[nodiscard]] MembershipStep nextMembershipStep(const MembershipView &view,
                                                const GroupMembershipSettings &settings);

/// Whether an instance that is leaving has nothing to wait for: it is no member, or it has a vote
/// that no other instance could get. A learner waits for its removal, because the next candidate
/// waits for it, too.
[[nodiscard]] bool mayLeave(const MembershipView &view, const std::string &leaving,
                            const GroupMembershipSettings &settings);

} // namespace Camphor
