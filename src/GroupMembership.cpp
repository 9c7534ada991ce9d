#include "GroupMembership.h"

#include <algorithm>
#include <ranges>
#include <vector>

namespace Camphor {

namespace {

using Kind = MembershipStep::Kind;

/// What one decision about the members is based on.
struct MembershipView
{
    const RaftConfiguration &group;
    const std::string &leader;
    const std::function<Milliseconds(const std::string &)> &lastReply;
    Milliseconds now;
    const GroupMembershipSettings &settings;

    [[nodiscard]] bool isSilentFor(const RaftMember &member, Milliseconds time) const
    {
        return member.instance != leader && now - lastReply(member.instance) > time;
    }
    [[nodiscard]] bool isSilent(const RaftMember &member) const
    {
        return isSilentFor(member, settings.memberTimeout);
    }
};

bool isRemoved(const RaftConfiguration &group, const std::string &instance)
{
    return std::ranges::find(group.removed, instance) != group.removed.end();
}

std::vector<RaftMember>
availableCandidates(const MembershipView &view,
                    const std::map<std::string, MemberCandidate> &candidates)
{
    std::vector<RaftMember> available;
    for (const auto &[name, candidate] : candidates) {
        const bool isRecent = view.now - candidate.lastContactAt <= view.settings.candidateTimeout;
        if (isRecent && view.group.find(name) == nullptr && !isRemoved(view.group, name))
            available.push_back(candidate.member);
    }
    return available;
}

/// A member that does not reply, and at whose address a candidate with another name asks: it has
/// lost its disk, and its votes with it.
const RaftMember *findMemberWithoutDisk(const MembershipView &view,
                                        const std::vector<RaftMember> &candidates)
{
    const auto it = std::ranges::find_if(view.group.members, [&](const RaftMember &member) {
        return view.isSilentFor(member, view.settings.lostDiskTimeout)
            && std::ranges::find(candidates, member.address, &RaftMember::address)
            != candidates.end();
    });
    return it == view.group.members.end() ? nullptr : &*it;
}

/// The voter other than the leader whose last reply is the oldest.
const RaftMember *findLongestSilentVoter(const MembershipView &view)
{
    auto others = view.group.members | std::views::filter([&](const RaftMember &it) {
                      return it.isVoter && it.instance != view.leader;
                  });
    const auto it = std::ranges::min_element(
        others, {}, [&](const RaftMember &member) { return view.lastReply(member.instance); });
    return it == others.end() ? nullptr : &*it;
}

} // namespace

MembershipStep nextMembershipStep(const RaftConfiguration &group, const std::string &leader,
                                  const std::map<std::string, MemberCandidate> &candidates,
                                  const std::function<Milliseconds(const std::string &)> &lastReply,
                                  Milliseconds now, const GroupMembershipSettings &settings)
{
    const MembershipView view{group, leader, lastReply, now, settings};
    const auto available = availableCandidates(view, candidates);
    if (const auto *member = findMemberWithoutDisk(view, available))
        return {Kind::Remove, *member, "disk-lost"};
    if (group.voterCount() > settings.voters)
        return {Kind::Remove, *findLongestSilentVoter(view), "replaced"};
    if (available.empty())
        return {};
    if (group.members.size() < settings.voters)
        return {Kind::Add, available.front(), "too-few-members"};
    const auto silent = std::ranges::find_if(
        group.members, [&](const RaftMember &it) { return view.isSilent(it); });
    if (silent == group.members.end())
        return {};
    // A silent voter may return with its disk, and without it the loss of another disk could leave
    // no majority. So its successor has a vote before it loses its own.
    const auto learner = std::ranges::find(group.members, false, &RaftMember::isVoter);
    if (learner == group.members.end())
        return {Kind::Add, available.front(), "member-silent"};
    if (view.isSilent(*learner))
        return {Kind::Remove, *learner, "learner-silent"};
    return {};
}

} // namespace Camphor
