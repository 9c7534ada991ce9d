#include "GroupMembership.h"

#include <algorithm>
#include <ranges>
#include <vector>

namespace Camphor {

namespace {

using Kind = MembershipStep::Kind;

bool isSilentFor(const MembershipView &view, const RaftMember &member, Milliseconds time)
{
    return member.instance != view.leader && view.now - view.lastReply(member.instance) > time;
}

bool isRemoved(const RaftConfiguration &group, const std::string &instance)
{
    return std::ranges::find(group.removed, instance) != group.removed.end();
}

std::vector<RaftMember> availableCandidates(const MembershipView &view,
                                            const GroupMembershipSettings &settings)
{
    std::vector<RaftMember> available;
    for (const auto &[name, candidate] : view.candidates) {
        const bool isRecent = view.now - candidate.lastContactAt <= settings.candidateTimeout;
        if (isRecent && view.group.find(name) == nullptr && !isRemoved(view.group, name))
            available.push_back(candidate.member);
    }
    return available;
}

/// A member that does not reply, and at whose address a candidate with another name asks: it has
/// lost its disk, and its votes with it.
const RaftMember *findMemberWithoutDisk(const MembershipView &view,
                                        const std::vector<RaftMember> &candidates,
                                        const GroupMembershipSettings &settings)
{
    const auto it = std::ranges::find_if(view.group.members, [&](const RaftMember &member) {
        return isSilentFor(view, member, settings.lostDiskTimeout)
            && std::ranges::find(candidates, member.address, &RaftMember::address)
            != candidates.end();
    });
    return it == view.group.members.end() ? nullptr : &*it;
}

const RaftMember *findLearner(const RaftConfiguration &group)
{
    const auto it = std::ranges::find(group.members, false, &RaftMember::isVoter);
    return it == group.members.end() ? nullptr : &*it;
}

/// A voter whose process waits for its removal before it ends. The leader comes last, because it
/// makes the changes.
const RaftMember *findLeavingVoter(const MembershipView &view)
{
    const RaftMember *found = nullptr;
    for (const auto &member : view.group.members) {
        if (!member.isVoter || !view.leaving.contains(member.instance))
            continue;
        if (found == nullptr || found->instance == view.leader)
            found = &member;
    }
    return found;
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

/// The removal that brings a group with too many voters back to its size.
MembershipStep removeSurplusVoter(const MembershipView &view)
{
    if (const auto *leaving = findLeavingVoter(view))
        return {Kind::Remove, *leaving, "leaving"};
    return {Kind::Remove, *findLongestSilentVoter(view), "replaced"};
}

/// Why a member should be replaced, or nothing.
std::optional<std::string> replacementReason(const MembershipView &view,
                                             const GroupMembershipSettings &settings)
{
    if (findLeavingVoter(view) != nullptr)
        return "member-leaving";
    const bool hasSilent = std::ranges::any_of(view.group.members, [&](const RaftMember &it) {
        return isSilentFor(view, it, settings.memberTimeout);
    });
    return hasSilent ? std::optional<std::string>("member-silent") : std::nullopt;
}

} // namespace

MembershipStep nextMembershipStep(const MembershipView &view,
                                  const GroupMembershipSettings &settings)
{
    const auto available = availableCandidates(view, settings);
    if (const auto *member = findMemberWithoutDisk(view, available, settings))
        return {Kind::Remove, *member, "disk-lost"};
    if (view.group.voterCount() > settings.voters)
        return removeSurplusVoter(view);
    const auto *learner = findLearner(view.group);
    if (learner != nullptr && view.leaving.contains(learner->instance))
        return {Kind::Remove, *learner, "learner-leaving"};
    if (available.empty())
        return {};
    if (view.group.members.size() < settings.voters)
        return {Kind::Add, available.front(), "too-few-members"};
    const auto reason = replacementReason(view, settings);
    if (!reason)
        return {};
    // A voter that is silent may return with its disk, and one that leaves may end before it is
    // replaced. Without its vote the loss of another disk could leave no majority, so its successor
    // has a vote before it loses its own.
    if (learner == nullptr)
        return {Kind::Add, available.front(), *reason};
    if (isSilentFor(view, *learner, settings.memberTimeout))
        return {Kind::Remove, *learner, "learner-silent"};
    return {};
}

bool mayLeave(const MembershipView &view, const std::string &leaving,
              const GroupMembershipSettings &settings)
{
    const auto *member = view.group.find(leaving);
    if (member == nullptr)
        return true;
    // A leader that has just started may not know a candidate yet.
    if (view.now - view.observedSince < settings.candidateTimeout)
        return false;
    return member->isVoter && view.group.voterCount() <= settings.voters
        && findLearner(view.group) == nullptr && availableCandidates(view, settings).empty();
}

} // namespace Camphor
