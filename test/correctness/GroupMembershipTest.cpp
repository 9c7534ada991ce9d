/// @file Membership of control instances in the group when disks and machines are lost.
#include "GroupMembership.h"

#include "ControlState.h"
#include "Wire.h"

#include <catch2/catch.hpp>

using namespace Camphor;

namespace {

using Kind = MembershipStep::Kind;

RaftMember makeMember(const std::string &name, const std::string &address)
{
    return {name, address, address, true};
}

struct Group
{
    RaftConfiguration group{{makeMember("a", "10.0.0.1:1"), makeMember("b", "10.0.0.2:1"),
                             makeMember("c", "10.0.0.3:1")},
                            {}};
    std::string leader = "a";
    std::map<std::string, MemberCandidate> candidates;
    std::set<std::string> leaving;
    std::map<std::string, Milliseconds> replies;
    Milliseconds startedAt{0};
    Milliseconds now{20'000};

    Group()
    {
        for (const auto &member : group.members)
            replies[member.instance] = now;
    }

    [[nodiscard]] MembershipView view() const
    {
        return {group,
                leader,
                candidates,
                leaving,
                [this](const std::string &name) {
                    const auto it = replies.find(name);
                    return it == replies.end() ? Milliseconds{-1e18} : it->second;
                },
                startedAt,
                now};
    }
    [[nodiscard]] MembershipStep next() const { return nextMembershipStep(view(), {}); }
    [[nodiscard]] bool mayLeave(const std::string &name) const
    {
        return Camphor::mayLeave(view(), name, {});
    }
    void addCandidate(const std::string &name, const std::string &address)
    {
        candidates[name] = {makeMember(name, address), now};
    }
    void addMember(const std::string &name, const std::string &address, bool isVoter)
    {
        group.members.push_back(makeMember(name, address));
        group.members.back().isVoter = isVoter;
        replies[name] = now;
    }
};

} // namespace

TEST_CASE("steps of the membership", "[membership]")
{
    Group world;
    SECTION("a complete group without candidates does not change")
    {
        CHECK(world.next().kind == Kind::None);
    }
    SECTION("a candidate waits while all members reply")
    {
        world.candidates["d"] = {makeMember("d", "10.0.0.4:1"), world.now};
        CHECK(world.next().kind == Kind::None);
    }
    SECTION("an unreachable member stays while there is no candidate")
    {
        world.replies["c"] = world.now - Milliseconds{60'000};
        CHECK(world.next().kind == Kind::None);
    }
    SECTION("an unreachable voter keeps its vote until its successor has one")
    {
        // Guards against the loss of the majority with one more disk: the voter is only silent, and
        // its successor may fall silent, too, before it has a vote.
        world.candidates["d"] = {makeMember("d", "10.0.0.4:1"), world.now};
        world.replies["c"] = world.now - Milliseconds{4'500};
        CHECK(world.next().kind == Kind::Add);
        CHECK(world.next().member.instance == "d");
        world.replies["d"] = world.now;
        world.group.members.push_back(makeMember("d", "10.0.0.4:1"));
        world.group.members.back().isVoter = false;
        CHECK(world.next().kind == Kind::None);
        world.group.members.back().isVoter = true;
        CHECK(world.next().kind == Kind::Remove);
        CHECK(world.next().member.instance == "c");
    }
    SECTION("the voter that has been silent for longest leaves a group with too many")
    {
        world.group.members.push_back(makeMember("d", "10.0.0.4:1"));
        world.replies["d"] = world.now - Milliseconds{300};
        world.replies["b"] = world.now - Milliseconds{200};
        CHECK(world.next().kind == Kind::Remove);
        CHECK(world.next().member.instance == "d");
    }
    SECTION("a learner that falls silent makes room for the next candidate")
    {
        world.replies["c"] = world.now - Milliseconds{9'000};
        world.group.members.push_back(makeMember("d", "10.0.0.4:1"));
        world.group.members.back().isVoter = false;
        world.replies["d"] = world.now - Milliseconds{4'500};
        CHECK(world.next().kind == Kind::None);
        world.candidates["e"] = {makeMember("e", "10.0.0.5:1"), world.now};
        CHECK(world.next().kind == Kind::Remove);
        CHECK(world.next().member.instance == "d");
    }
    SECTION("a name that was removed is no candidate")
    {
        // Guards against a later member at the same address that is taken for one without a disk,
        // and against an addition that fails again and again.
        world.group.removed = {"b-earlier"};
        world.candidates["b-earlier"] = {makeMember("b-earlier", "10.0.0.2:1"), world.now};
        CHECK(world.next().kind == Kind::None);
        std::erase_if(world.group.members, [](const auto &it) { return it.instance == "c"; });
        CHECK(world.next().kind == Kind::None);
    }
    SECTION("another name at a member's address means that its disk was lost")
    {
        // Guards against a healthy member that loses its vote because a request of an earlier
        // process at its address has waited on its way.
        world.candidates["b#7"] = {makeMember("b#7", "10.0.0.2:1"), world.now};
        world.replies["b"] = world.now - Milliseconds{100};
        CHECK(world.next().kind == Kind::None);
        world.replies["b"] = world.now - Milliseconds{600};
        CHECK(world.next().kind == Kind::Remove);
        CHECK(world.next().member.instance == "b");
    }
    SECTION("a candidate without recent contact is not added")
    {
        world.candidates["d"] = {makeMember("d", "10.0.0.4:1"), world.now - Milliseconds{3'000}};
        std::erase_if(world.group.members, [](const auto &it) { return it.instance == "c"; });
        CHECK(world.next().kind == Kind::None);
    }
}

// Guards against a member that ends as planned and counts as a voter until its silence is noticed:
// the loss of as many disks as the group tolerates then leaves no majority.
TEST_CASE("a leaving voter is replaced before its process ends", "[membership]")
{
    Group world;
    SECTION("its successor gets a vote before it loses its own")
    {
        world.leaving = {"c"};
        world.addCandidate("d", "10.0.0.4:1");
        CHECK(world.next().kind == Kind::Add);
        CHECK(world.next().member.instance == "d");
        CHECK_FALSE(world.mayLeave("c"));
        world.addMember("d", "10.0.0.4:1", false);
        CHECK(world.next().kind == Kind::None);
        CHECK_FALSE(world.mayLeave("c"));
        world.group.members.back().isVoter = true;
        CHECK(world.next().kind == Kind::Remove);
        CHECK(world.next().member.instance == "c");
        CHECK_FALSE(world.mayLeave("c"));
    }
    SECTION("it is removed rather than a voter that has been silent for longer")
    {
        world.leaving = {"c"};
        world.addMember("d", "10.0.0.4:1", true);
        world.replies["b"] = world.now - Milliseconds{9'000};
        CHECK(world.next().member.instance == "c");
    }
    SECTION("a leader that leaves replaces itself, after the others that leave")
    {
        world.leaving = {"a"};
        world.addCandidate("d", "10.0.0.4:1");
        CHECK(world.next().kind == Kind::Add);
        world.addMember("d", "10.0.0.4:1", true);
        CHECK(world.next().kind == Kind::Remove);
        CHECK(world.next().member.instance == "a");
        world.leaving = {"a", "c"};
        CHECK(world.next().member.instance == "c");
    }
    SECTION("a learner that leaves makes room for the next candidate")
    {
        world.leaving = {"c", "d"};
        world.addMember("d", "10.0.0.4:1", false);
        CHECK(world.next().kind == Kind::Remove);
        CHECK(world.next().member.instance == "d");
    }
    SECTION("it does not wait while no candidate is available")
    {
        world.leaving = {"c"};
        CHECK(world.next().kind == Kind::None);
        CHECK(world.mayLeave("c"));
        world.addCandidate("d", "10.0.0.4:1");
        world.now += Milliseconds{3'000};
        CHECK(world.mayLeave("c"));
    }
    SECTION("it waits while a leader that has just started may not know the candidates")
    {
        world.leaving = {"c"};
        world.startedAt = world.now - Milliseconds{300};
        CHECK_FALSE(world.mayLeave("c"));
        CHECK(world.mayLeave("d"));
    }
    SECTION("a candidate does not wait, but a learner is removed first")
    {
        // Guards against a learner that has ended and keeps the next candidate waiting.
        world.addCandidate("d", "10.0.0.4:1");
        CHECK(world.mayLeave("e"));
        world.addMember("e", "10.0.0.5:1", false);
        CHECK_FALSE(world.mayLeave("e"));
        world.candidates.clear();
        CHECK_FALSE(world.mayLeave("e"));
    }
}

TEST_CASE("the highest version of a document wins", "[control]")
{
    struct Row
    {
        std::uint64_t version;
        const char *text;
        std::uint64_t expectedVersion;
        const char *expectedText;
    };
    const std::vector<Row> rows{
        {7, "seven", 7, "seven"},
        {5, "five", 7, "seven"},
        {7, "other text under the same version", 7, "seven"},
        {19, "nineteen", 19, "nineteen"},
        {7, "seven", 19, "nineteen"},
    };
    ControlState state;
    for (const auto &row : rows) {
        CAPTURE(row.version, row.text);
        const auto reply = state.apply(StoreDocumentCommand{{row.version, row.text, {}}});
        CHECK(reply.outcome == ControlOutcome::Accepted);
        CHECK(reply.currentVersion == row.expectedVersion);
        CHECK(state.document().text == row.expectedText);
    }
    const auto restored = ControlState::decode(state.encode());
    REQUIRE(restored);
    CHECK(restored.value().document() == state.document());
}

TEST_CASE("a cell's token only grows, and a grant needs the token that it replaces", "[control]")
{
    ControlState state;
    const CellGrant first{"north", 0, 2, "entry-1", "10.0.0.1:1", 1, 0};
    const CellGrant second{"north", 1, 2, "entry-2", "10.0.0.2:1", 1, 0};
    CHECK(state.apply(GrantCellCommand{first, 0}).current.token == 1);
    CHECK(state.apply(GrantCellCommand{second, 0}).current.token == 2);
    auto moved = first;
    moved.holder = "entry-3";
    CHECK(state.apply(GrantCellCommand{moved, 0}).outcome == ControlOutcome::Conflict);
    CHECK(state.apply(GrantCellCommand{moved, 1}).current.token == 3);
    const auto restored = ControlState::decode(state.encode());
    REQUIRE(restored);
    CHECK(restored.value().grants() == state.grants());
    CHECK(restored.value().lastToken() == 3);
}
