/// @file Generated schedules of lost disks, replaced machines, partitions, crashes and pauses,
/// applied to the membership decisions together with the replicated log.
#include "GroupMembership.h"
#include "RaftSimulation.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace Camphor;
using namespace Camphor::Testing;

namespace {

constexpr FaultRates LossyNetwork{0.02, 0.02, 40, 0, 0, 0, 0};
constexpr int SupervisePeriodMs = 100;

/// A group whose leader changes members as a control instance does. Each machine has a fixed
/// address; a member whose disk was lost comes back there under another name.
class SupervisedGroup
{
public:
    SupervisedGroup(std::uint64_t seed, std::size_t voters, int spares)
        : m_random(seed)
        , m_sim(seed, static_cast<int>(voters), LossyNetwork)
    {
        m_settings.voters = voters;
        for (const auto &name : m_sim.names())
            m_addresses[name] = name;
        for (int n = 0; n < spares; ++n)
            startAt("spare-" + std::to_string(n));
    }

    void run(int durationMs)
    {
        for (int n = 0; n < durationMs; ++n) {
            m_sim.step();
            if (n % SupervisePeriodMs == 0)
                supervise();
            const auto leader = m_sim.leader();
            if (n % 50 == 0 && !leader.empty())
                (void)m_sim.proposeAt(leader);
        }
    }

    /// Injects a random fault into the group, and reverts it if it is temporary.
    void injectFault()
    {
        const auto victim = pickMember();
        if (victim.empty())
            return run(500);
        const int duration = 200 + below(5'000);
        switch (below(6)) {
        case 0:
            m_sim.crash(victim);
            run(duration);
            return restart(victim);
        case 1:
            m_sim.pause(victim, duration);
            return run(duration);
        case 2:
            m_sim.isolate(victim);
            run(duration);
            return m_sim.reconnect();
        case 3:
            return crashAll(duration);
        case 4:
            return loseDisk(victim, m_addresses.at(victim), duration);
        default:
            return loseDisk(victim, "machine-" + std::to_string(++m_machines), duration);
        }
    }

    /// Pauses several machines at overlapping times, and lets one member lose its disk meanwhile.
    /// All are back at the end.
    void overlapLosses()
    {
        constexpr int StartMs = 6'000;
        std::multimap<int, std::function<void()>> events;
        for (const auto &address : pickAddresses(2 + below(2))) {
            const int duration = 1'000 + below(7'000);
            events.emplace(below(StartMs), [=, this] { m_sim.pause(nameAt(address), duration); });
        }
        const auto victim = pickAddresses(1).front();
        const int wipedAt = 2'000 + below(StartMs);
        events.emplace(wipedAt, [=, this] {
            ++m_disksLost;
            const auto name = nameAt(victim);
            m_sim.destroy(name);
            m_candidates.erase(name);
        });
        events.emplace(wipedAt + 500 + below(2'500), [=, this] { startAt(victim); });
        int elapsed = 0;
        for (const auto &[time, event] : events) {
            run(time - elapsed);
            elapsed = time;
            event();
        }
        constexpr int LongestPauseMs = 8'000;
        run(LongestPauseMs);
    }

    /// A follower is silent until the leader proposes its removal. At that moment the leader is cut
    /// off from all others but this follower, and loses its disk some time later.
    void interruptRemoval()
    {
        const auto leader = m_sim.leader();
        const auto removedCount = [&] { return m_sim.core(leader).configuration().removed.size(); };
        const auto before = removedCount();
        const auto silent = pickFollower();
        constexpr int MaxSilenceMs = 20'000;
        m_sim.pause(silent, MaxSilenceMs);
        for (int n = 0; n < MaxSilenceMs && removedCount() == before; ++n)
            run(1);
        REQUIRE(removedCount() > before);
        CHECK_FALSE(m_sim.core(leader).isRemoved(silent));
        auto others = m_sim.names();
        std::erase_if(others, [&](const auto &it) { return it == leader || it == silent; });
        m_sim.isolate(others);
        m_sim.resume(silent);
        run(200 + below(2'000));
        const auto address = m_addresses.at(leader);
        m_sim.destroy(leader);
        m_candidates.erase(leader);
        ++m_disksLost;
        run(500 + below(2'000));
        m_sim.reconnect();
        startAt(address);
    }

    /// Every member is a voter and up, and has almost everything that was committed.
    [[nodiscard]] bool isHealthy()
    {
        const auto leader = m_sim.leader();
        if (leader.empty())
            return false;
        const auto &members = m_sim.core(leader).configuration().members;
        return members.size() == m_settings.voters
            && std::ranges::all_of(members, [&](const RaftMember &it) {
                   return it.isVoter && m_sim.isUp(it.instance)
                       && m_sim.core(it.instance).commitIndex() + 5
                       >= m_sim.core(leader).commitIndex();
               });
    }

    void awaitHealthy()
    {
        constexpr int MaxRecoverySeconds = 60;
        for (int n = 0; n < MaxRecoverySeconds && !isHealthy(); ++n)
            run(1'000);
        CHECK(isHealthy());
    }

    RaftSimulation &sim() { return m_sim; }
    [[nodiscard]] int disksLost() const { return m_disksLost; }

private:
    int below(int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(m_random); }

    std::string pickMember()
    {
        const auto leader = m_sim.leader();
        if (leader.empty())
            return {};
        const auto &members = m_sim.core(leader).configuration().members;
        return members[static_cast<std::size_t>(below(static_cast<int>(members.size())))].instance;
    }

    /// Addresses of different machines that have a disk, in a random order.
    std::vector<std::string> pickAddresses(int count)
    {
        std::vector<std::string> addresses;
        for (const auto &[name, address] : m_addresses) {
            if (!m_sim.isRetired(name))
                addresses.push_back(address);
        }
        std::ranges::shuffle(addresses, m_random);
        addresses.resize(static_cast<std::size_t>(count));
        return addresses;
    }

    /// The present name of the machine at an address; the former one while it is down.
    [[nodiscard]] std::string nameAt(const std::string &address) const
    {
        std::string name;
        for (const auto &[it, itsAddress] : m_addresses) {
            if (itsAddress == address && (name.empty() || !m_sim.isRetired(it)))
                name = it;
        }
        return name;
    }

    std::string pickFollower()
    {
        const auto leader = m_sim.leader();
        std::string name;
        do
            name = pickMember();
        while (name == leader);
        return name;
    }

    void startAt(const std::string &address) { m_addresses[m_sim.startWithoutState()] = address; }

    void restart(const std::string &name)
    {
        if (!m_sim.isRetired(name))
            m_sim.restart(name);
    }

    void crashAll(int duration)
    {
        std::vector<std::string> crashed;
        for (const auto &name : m_sim.names()) {
            if (!m_sim.isRetired(name)) {
                m_sim.crash(name);
                crashed.push_back(name);
            }
        }
        run(duration / 10);
        for (const auto &name : crashed)
            restart(name);
    }

    /// Only one disk may be lost at a time, but the next one right after the recovery.
    void loseDisk(const std::string &victim, const std::string &address, int duration)
    {
        awaitHealthy();
        if (m_sim.isRetired(victim))
            return;
        ++m_disksLost;
        m_sim.destroy(victim);
        m_candidates.erase(victim);
        run(duration / 4);
        startAt(address);
        awaitHealthy();
    }

    /// Whether a process asks the others for its membership: it has no contact with a leader.
    [[nodiscard]] bool isAsking(const std::string &name)
    {
        if (m_sim.isRetired(name) || !m_sim.isUp(name))
            return false;
        constexpr Milliseconds LeaderContactTimeout{2'000};
        const auto &core = m_sim.core(name);
        const bool hasContact =
            core.isLeader() || m_sim.now() - core.lastLeaderContact() < LeaderContactTimeout;
        return core.configuration().find(name) == nullptr || !hasContact;
    }

    /// Whether another process, leader or not, says that the group has removed a member.
    [[nodiscard]] bool isToldOfRemoval(const std::string &name)
    {
        return std::ranges::any_of(m_sim.names(), [&](const std::string &it) {
            return it != name && !m_sim.isRetired(it) && m_sim.isUp(it)
                && m_sim.canCommunicate(it, name) && m_sim.core(it).isRemoved(name);
        });
    }

    /// Members that are told of their removal erase their data and ask under another name.
    void restartRemoved()
    {
        for (const auto &name : m_sim.names()) {
            if (!isAsking(name) || !isToldOfRemoval(name))
                continue;
            m_sim.destroy(name);
            m_candidates.erase(name);
            startAt(m_addresses.at(name));
        }
    }

    /// What the timers do: members ask for their membership, and the leader changes it.
    void supervise()
    {
        restartRemoved();
        const auto leader = m_sim.leader();
        if (leader.empty())
            return;
        auto &core = m_sim.core(leader);
        for (const auto &name : m_sim.names()) {
            if (isAsking(name) && m_sim.canCommunicate(leader, name)
                && core.configuration().find(name) == nullptr)
                m_candidates[name] = {memberOf(name), m_sim.now()};
        }
        const auto step = nextMembershipStep(
            addressed(core.configuration()), leader, m_candidates,
            [&](const std::string &name) { return core.lastReply(name); }, m_sim.now(), m_settings);
        if (step.kind == MembershipStep::Kind::Add)
            (void)core.addMember(memberOf(step.member.instance), m_sim.now());
        else if (step.kind == MembershipStep::Kind::Remove)
            (void)core.removeMember(step.member.instance, m_sim.now());
        m_sim.executeActions(leader);
    }

    [[nodiscard]] RaftMember memberOf(const std::string &name) const
    {
        const auto &address = m_addresses.at(name);
        return {name, address, address, true};
    }

    /// Replaces the addresses that the simulation made up by those of this test's machines.
    [[nodiscard]] RaftConfiguration addressed(RaftConfiguration configuration) const
    {
        for (auto &member : configuration.members)
            member.address = m_addresses.at(member.instance);
        return configuration;
    }

    std::mt19937_64 m_random;
    RaftSimulation m_sim;
    GroupMembershipSettings m_settings;
    std::map<std::string, std::string> m_addresses; ///< By name.
    std::map<std::string, MemberCandidate> m_candidates;
    int m_machines = 0;
    int m_disksLost = 0;
};

} // namespace

TEST_CASE("a group retains accepted changes through generated losses of members",
          "[membership][generated]")
{
    // Guards against a second group, a vote that was lost with its disk, a change that is lost with
    // a replaced member, and a group that does not recover.
    const auto voters = GENERATE(std::size_t{3}, std::size_t{5});
    const auto spares = GENERATE(0, 1);
    const auto seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{9}));
    CAPTURE(voters, spares, seed);
    SupervisedGroup group(seed, voters, spares);
    group.run(3'000);
    for (int n = 0; n < 12; ++n)
        group.injectFault();
    group.sim().reconnect();
    group.awaitHealthy();
    CHECK(group.sim().accepted().size() > 20);
    CHECK_NOTHROW(group.sim().heal());
}

TEST_CASE("a group survives overlapping pauses and the loss of one disk", "[membership][generated]")
{
    // Guards against a voter that is removed, and erases its disk, before its successor has a vote:
    // the loss of one more disk then leaves no majority, though all machines are back.
    const auto seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{61}));
    CAPTURE(seed);
    constexpr std::size_t Voters = 3;
    SupervisedGroup group(seed, Voters, 1);
    group.run(3'000);
    for (int n = 0; n < 4; ++n) {
        group.overlapLosses();
        group.awaitHealthy();
    }
    CHECK_NOTHROW(group.sim().heal());
}

TEST_CASE("a removal that is never committed erases no disk", "[membership][generated]")
{
    // Guards against a member that is told of a removal which only one log contains: it erases its
    // disk, the removal is undone, and with one more lost disk the group has no majority.
    const auto seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{21}));
    CAPTURE(seed);
    constexpr std::size_t Voters = 3;
    SupervisedGroup group(seed, Voters, 1);
    group.run(3'000);
    group.awaitHealthy();
    group.interruptRemoval();
    group.awaitHealthy();
    CHECK_NOTHROW(group.sim().heal());
}
