/// @file A group of RaftCores with simulated network, disks and clock, which checks invariants of
/// the protocol.
#pragma once

#include "RaftCore.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace Camphor::Testing {

/// The rate of each kind of fault.
struct FaultRates
{
    double loss = 0.05;
    double duplication = 0.05;
    double maxDelayMs = 60; ///< Differing delays reorder messages.
    double crashPerSecond = 0.15; ///< For each member.
    double pausePerSecond = 0.1; ///< For each member.
    double partitionPerSecond = 0.15; ///< For the group.
    double memberChangePerSecond = 0.2; ///< For the group.
};

/// Advances in steps of one millisecond. A violated invariant throws std::logic_error.
class RaftSimulation
{
public:
    /// @param settings of each member, but for its name and seed.
    RaftSimulation(std::uint64_t seed, int size, FaultRates rates, RaftSettings settings = {})
        : m_random(seed)
        , m_rates(rates)
        , m_settings(std::move(settings))
    {
        std::vector<RaftMember> members;
        members.reserve(static_cast<std::size_t>(size));
        for (int n = 0; n < size; ++n)
            members.push_back(makeMember());
        for (const auto &member : members) {
            m_nodes[member.instance].disk = RaftCore::initialState(members);
            boot(member.instance);
        }
    }

    /// Injects faults while proposing commands.
    void runWithFaults(int durationMs)
    {
        for (const int end = m_now + durationMs; m_now < end;) {
            injectFaults();
            if (chance(0.02))
                proposeAtLeaders();
            step();
        }
    }

    /// Ends all faults, and requires that commands are accepted again and all members agree.
    void heal(int limitMs = 30'000)
    {
        m_rates = {0, 0, 5, 0, 0, 0, 0};
        m_partitions.clear();
        for (auto &[name, node] : m_nodes) {
            node.pausedUntil = 0;
            if (!node.core && !node.isRetired)
                boot(name);
        }
        const auto before = m_accepted.size();
        for (const int end = m_now + limitMs; m_now < end; step()) {
            if (m_now % 200 == 0)
                proposeAtLeaders();
            if (m_accepted.size() > before + 3 && allAreCaughtUp())
                return;
        }
        throw std::logic_error(
            "the group made no progress within the time limit after the faults ended");
    }

    void step()
    {
        ++m_now;
        while (!m_network.empty() && m_network.top().deliverAt <= m_now) {
            auto packet = m_network.top();
            m_network.pop();
            receive(packet);
        }
        for (auto &[name, node] : m_nodes) {
            if (!isRunning(node))
                continue;
            if (now() >= node.core->nextDeadline()) {
                node.core->tick(now());
                executeActions(name);
            }
        }
    }

    std::string leader() const
    {
        std::string name;
        std::uint64_t term = 0;
        for (const auto &[it, node] : m_nodes) {
            if (isRunning(node) && node.core->isLeader() && node.core->term() > term) {
                name = it;
                term = node.core->term();
            }
        }
        return name;
    }

    std::optional<std::uint64_t> proposeAt(const std::string &name)
    {
        auto &node = m_nodes.at(name);
        const auto command = "c" + std::to_string(++m_lastCommand);
        const auto index = node.core->propose(command, now());
        if (index)
            node.proposals[*index] = {node.core->term(), command};
        executeActions(name);
        return index;
    }

    /// Partitions a member from all others.
    void isolate(const std::string &name) { m_partitions = {{name, 1}}; }
    /// Partitions some members, which can communicate with each other, from all others.
    void isolate(const std::vector<std::string> &names)
    {
        m_partitions.clear();
        for (const auto &name : names)
            m_partitions[name] = 1;
    }
    void reconnect() { m_partitions.clear(); }
    void crash(const std::string &name) { m_nodes.at(name).core.reset(); }
    /// Permanently removes a member's process and disk.
    void destroy(const std::string &name)
    {
        auto &node = m_nodes.at(name);
        node.core.reset();
        node.isRetired = true;
    }
    std::string startWithoutState()
    {
        const auto member = makeMember();
        m_nodes[member.instance];
        boot(member.instance);
        return member.instance;
    }
    [[nodiscard]] bool isUp(const std::string &name) const { return isRunning(m_nodes.at(name)); }
    [[nodiscard]] bool isRetired(const std::string &name) const
    {
        return m_nodes.at(name).isRetired;
    }
    [[nodiscard]] bool canCommunicate(const std::string &first, const std::string &second) const
    {
        const auto partitionOf = [this](const std::string &name) {
            const auto it = m_partitions.find(name);
            return it == m_partitions.end() ? 0 : it->second;
        };
        return partitionOf(first) == partitionOf(second);
    }
    void pause(const std::string &name, int durationMs)
    {
        m_nodes.at(name).pausedUntil = m_now + durationMs;
    }
    void resume(const std::string &name) { pause(name, 0); }
    void restart(const std::string &name) { boot(name); }
    RaftCore &core(const std::string &name) { return *m_nodes.at(name).core; }
    void executeActions(const std::string &name) { executeActions(name, m_nodes.at(name)); }
    [[nodiscard]] Milliseconds now() const { return Milliseconds{static_cast<double>(m_now)}; }
    [[nodiscard]] std::vector<std::string> names() const
    {
        std::vector<std::string> names;
        names.reserve(m_nodes.size());
        for (const auto &[name, node] : m_nodes)
            names.push_back(name);
        return names;
    }
    [[nodiscard]] const std::set<std::string> &accepted() const { return m_accepted; }
    [[nodiscard]] std::size_t terms() const { return m_leaders.size(); }
    [[nodiscard]] int crashes() const { return m_crashes; }

private:
    struct Node
    {
        RaftDiskState disk;
        std::unique_ptr<RaftCore> core; ///< Null while the process is down.
        std::vector<std::string> applied; ///< The state machine: all applied commands in order.
        std::map<std::uint64_t, std::pair<std::uint64_t, std::string>> proposals;
        int pausedUntil = 0;
        int downUntil = 0;
        bool isRetired = false;
    };

    struct Packet
    {
        int deliverAt = 0;
        std::uint64_t sequenceNumber = 0;
        std::string from;
        std::string to;
        RaftMessage message;

        bool operator<(const Packet &other) const
        {
            return std::pair(deliverAt, sequenceNumber)
                > std::pair(other.deliverAt, other.sequenceNumber);
        }
    };

    RaftMember makeMember()
    {
        const auto name = "m" + std::to_string(++m_lastMember);
        return {name, name + ":1", name + ":2", true};
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

    int randomBelow(int limit)
    {
        return std::uniform_int_distribution<int>(0, limit - 1)(m_random);
    }

    bool isRunning(const Node &node) const { return node.core && m_now >= node.pausedUntil; }

    void boot(const std::string &name)
    {
        auto &node = m_nodes.at(name);
        auto settings = m_settings;
        settings.instance = name;
        settings.seed = m_random();
        node.core = std::make_unique<RaftCore>(settings, node.disk, now());
        node.applied = split(node.disk.snapshot.data);
        node.proposals.clear();
    }

    static std::vector<std::string> split(const std::string &data)
    {
        std::vector<std::string> lines;
        for (std::size_t begin = 0; begin < data.size();) {
            const auto end = data.find('\n', begin);
            lines.push_back(data.substr(begin, end - begin));
            begin = end + 1;
        }
        return lines;
    }

    static std::string join(const std::vector<std::string> &lines)
    {
        std::string data;
        for (const auto &line : lines)
            data += line + "\n";
        return data;
    }

    void injectFaults()
    {
        for (auto &[name, node] : m_nodes) {
            if (node.isRetired)
                continue;
            if (!node.core && m_now >= node.downUntil)
                boot(name);
            if (chance(m_rates.crashPerSecond / 1000))
                crashFor(node, 200 + randomBelow(4'000));
            if (chance(m_rates.pausePerSecond / 1000))
                node.pausedUntil = m_now + 100 + randomBelow(4'000);
        }
        if (chance(m_rates.partitionPerSecond / 1000)) {
            m_partitions.clear();
            for (const auto &[name, node] : m_nodes)
                m_partitions[name] = randomBelow(2);
        }
        if (chance(m_rates.partitionPerSecond / 1000))
            m_partitions.clear();
        if (chance(m_rates.memberChangePerSecond / 1000))
            changeMembers();
    }

    void changeMembers()
    {
        const auto name = leader();
        if (name.empty())
            return;
        auto &core = *m_nodes.at(name).core;
        const auto &members = core.configuration().members;
        if (members.size() < 5 && chance(0.5)) {
            auto member = makeMember();
            if (core.addMember(member, now())) {
                m_nodes[member.instance];
                boot(member.instance);
            }
        } else if (members.size() > 3) {
            (void)core.removeMember(
                members[static_cast<std::size_t>(randomBelow(static_cast<int>(members.size())))]
                    .instance,
                now());
        }
        executeActions(name);
    }

    void crashFor(Node &node, int durationMs)
    {
        ++m_crashes;
        node.core.reset();
        node.downUntil = m_now + durationMs;
    }

    void proposeAtLeaders()
    {
        for (auto &[name, node] : m_nodes) {
            if (isRunning(node) && node.core->isLeader())
                (void)proposeAt(name);
        }
    }

    void sendPacket(const std::string &from, const RaftOutgoingMessage &outgoing)
    {
        if (chance(m_rates.loss))
            return;
        const int copies = chance(m_rates.duplication) ? 2 : 1;
        for (int n = 0; n < copies; ++n) {
            const int delay = 1 + randomBelow(static_cast<int>(m_rates.maxDelayMs));
            m_network.push({m_now + delay, ++m_lastPacket, from, outgoing.to, outgoing.message});
        }
    }

    void receive(const Packet &packet)
    {
        const auto it = m_nodes.find(packet.to);
        if (it == m_nodes.end() || !it->second.core || !canCommunicate(packet.from, packet.to))
            return;
        if (m_now < it->second.pausedUntil) {
            // A paused process receives its messages when it resumes.
            auto delayed = packet;
            delayed.deliverAt = it->second.pausedUntil;
            m_network.push(delayed);
            return;
        }
        it->second.core->receive(packet.from, packet.message, now());
        executeActions(packet.to);
    }

    void executeActions(const std::string &name, Node &node)
    {
        while (node.core) {
            const auto actions = node.core->takeActions();
            if (actions.isEmpty())
                break;
            const double crashChance = actions.needsSync() ? m_rates.crashPerSecond / 100 : 0;
            if (chance(crashChance)) { // A crash before the sync: no write is on disk.
                crashFor(node, 200 + randomBelow(2'000));
                return;
            }
            write(node, actions);
            if (chance(crashChance)) { // A crash after the sync: no message has been sent.
                crashFor(node, 200 + randomBelow(2'000));
                return;
            }
            if (actions.snapshot)
                node.applied = split(actions.snapshot->data);
            for (const auto &outgoing : actions.messages)
                sendPacket(name, outgoing);
            for (const auto &entry : actions.committed)
                apply(node, entry);
            node.core->onSynced(now());
        }
        checkLeader(name, node);
        compactSometimes(node);
    }

    static void write(Node &node, const RaftActions &actions)
    {
        if (actions.snapshot) {
            node.disk = node.core->diskState();
            return;
        }
        if (actions.vote)
            node.disk.vote = *actions.vote;
        if (actions.truncateFrom != 0) {
            std::erase_if(node.disk.entries,
                          [&](const auto &it) { return it.index >= actions.truncateFrom; });
        }
        node.disk.entries.insert(node.disk.entries.end(), actions.append.begin(),
                                 actions.append.end());
    }

    void apply(Node &node, const RaftEntry &entry)
    {
        const auto [it, isNew] = m_committed.emplace(entry.index, entry);
        if (!isNew && it->second != entry)
            throw std::logic_error("two different entries were committed at the same index");
        if (entry.kind == RaftEntryKind::Command) {
            node.applied.push_back(entry.data);
            const auto n = node.applied.size() - 1;
            if (n < m_committedCommands.size() ? m_committedCommands[n] != entry.data
                                               : n != m_committedCommands.size())
                throw std::logic_error("members applied different sequences of commands");
            if (n == m_committedCommands.size())
                m_committedCommands.push_back(entry.data);
        }
        const auto proposal = node.proposals.find(entry.index);
        if (proposal == node.proposals.end())
            return;
        const auto [term, command] = proposal->second;
        node.proposals.erase(proposal);
        // The commands that a control node would report to the operator as accepted.
        if (term == entry.term) {
            if (command != entry.data)
                throw std::logic_error(
                    "a command was reported as accepted although the log contains another one");
            m_accepted.insert(command);
        }
    }

    void checkLeader(const std::string &name, const Node &node)
    {
        if (!node.core || !node.core->isLeader())
            return;
        const auto [it, isNew] = m_leaders.emplace(node.core->term(), name);
        if (!isNew && it->second != name)
            throw std::logic_error("two leaders in term " + std::to_string(node.core->term()));
    }

    void compactSometimes(Node &node)
    {
        if (!node.core || node.core->lastIndex() - node.core->snapshotIndex() < 40
            || node.core->appliedIndex() == node.core->snapshotIndex())
            return;
        (void)node.core->compact(node.core->appliedIndex(), join(node.applied));
        node.disk = node.core->diskState();
    }

    bool allAreCaughtUp() const
    {
        const auto name = leader();
        if (name.empty())
            return false;
        for (const auto &member : m_nodes.at(name).core->configuration().members) {
            const auto &node = m_nodes.at(member.instance);
            if (!node.isRetired && node.applied.size() != m_committedCommands.size())
                return false;
        }
        for (const auto &command : m_accepted) {
            if (std::ranges::find(m_committedCommands, command) == m_committedCommands.end())
                throw std::logic_error("accepted command " + command + " was lost");
        }
        return true;
    }

    std::mt19937_64 m_random;
    FaultRates m_rates;
    RaftSettings m_settings;
    int m_now = 0;
    std::map<std::string, Node> m_nodes;
    std::priority_queue<Packet> m_network;
    std::map<std::string, int> m_partitions; ///< Partition of each member; different partitions
                                             ///< can't communicate.
    std::map<std::uint64_t, RaftEntry> m_committed;
    std::vector<std::string> m_committedCommands; ///< All committed commands in order.
    std::map<std::uint64_t, std::string> m_leaders; ///< By term.
    std::set<std::string> m_accepted;
    std::uint64_t m_lastPacket = 0;
    int m_lastCommand = 0;
    int m_lastMember = 0;
    int m_crashes = 0;
};

} // namespace Camphor::Testing
