#include "GroupMembership.h"

#include <algorithm>

namespace Camphor {

MembershipStep nextMembershipStep(const RaftConfiguration &group, const std::string &leader,
                                  const std::map<std::string, MemberCandidate> &candidates,
                                  const std::function<Milliseconds(const std::string &)> &lastReply,
                                  Milliseconds now, const GroupMembershipSettings &settings)
{
    using Kind = MembershipStep::Kind;
    const MemberCandidate *waiting = nullptr;
    for (const auto &[name, candidate] : candidates) {
        if (now - candidate.lastContactAt > settings.candidateTimeout
            || group.find(name) != nullptr)
            continue;
        // Another name at a member's address: the member has lost its disk, and its votes with it.
        const auto former = std::ranges::find_if(group.members, [&](const RaftMember &it) {
            return it.address == candidate.member.address && it.instance != leader;
        });
        if (former != group.members.end())
            return {Kind::Remove, *former, "disk-lost"};
        if (waiting == nullptr)
            waiting = &candidate;
    }
    if (waiting == nullptr)
        return {};
    if (group.members.size() < settings.voters)
        return {Kind::Add, waiting->member, "too-few-members"};
    const auto unreachable = std::ranges::find_if(group.members, [&](const RaftMember &it) {
        return it.instance != leader && now - lastReply(it.instance) > settings.memberTimeout;
    });
    if (unreachable != group.members.end())
        return {Kind::Remove, *unreachable, "silent"};
    return {};
}

} // namespace Camphor
