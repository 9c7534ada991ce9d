/// @file The replicated log of the control group: Raft as published by Ongaro and Ousterhout
/// (2014), with pre-vote, check-quorum, leader stickiness, snapshots and single-server membership
/// changes.
#pragma once

#include "Result.h"
#include "Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace Camphor {

/// One member of the control group.
struct RaftMember
{
    std::string instance;
    std::string address; ///< RPC, "IP:PORT".
    std::string operatorAddress; ///< HTTP, "IP:PORT".
    bool isVoter = true; ///< A learner receives the log and counts for nothing.

    auto operator<=>(const RaftMember &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, address, operatorAddress, isVoter);
    }
};

/// The members of the group at one place of the log.
struct RaftConfiguration
{
    std::vector<RaftMember> members;
    /// Names that must not come back: an instance that lost its disk has forgotten its votes, so
    /// its replacement needs another name.
    std::vector<std::string> removed;

    auto operator<=>(const RaftConfiguration &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(members, removed);
    }

    [[nodiscard]] const RaftMember *find(std::string_view instance) const;
    [[nodiscard]] std::size_t voterCount() const;
    [[nodiscard]] std::size_t majority() const { return voterCount() / 2 + 1; }
    [[nodiscard]] bool isVoter(std::string_view instance) const;
};

enum class RaftEntryKind : std::uint8_t { Noop, Command, Configuration };

/// One entry of the log.
struct RaftEntry
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    RaftEntryKind kind = RaftEntryKind::Noop;
    std::string data; ///< A command, or an encoded RaftConfiguration.

    auto operator<=>(const RaftEntry &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(index, term, kind, data);
    }
};

/// What must be on disk before any answer that depends on it.
struct RaftVote
{
    std::uint64_t term = 0;
    std::string votedFor;

    auto operator<=>(const RaftVote &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(term, votedFor);
    }
};

/// The state machine's state after an entry, which replaces the log up to that entry.
struct RaftSnapshot
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    RaftConfiguration configuration;
    std::string data;

    auto operator<=>(const RaftSnapshot &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(index, term, configuration, data);
    }
};

/// Asks for a vote, or before that whether one would be given.
struct RaftVoteRequest
{
    bool isPreVote = false;
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;

    auto operator<=>(const RaftVoteRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(isPreVote, term, lastIndex, lastTerm);
    }
};

struct RaftVoteReply
{
    bool isPreVote = false;
    std::uint64_t term = 0; ///< The asked term if granted, else the voter's own.
    bool isGranted = false;

    auto operator<=>(const RaftVoteReply &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(isPreVote, term, isGranted);
    }
};

/// Carries entries, the commit index and, without entries, the heartbeat.
struct RaftAppendRequest
{
    std::uint64_t term = 0;
    std::uint64_t previousIndex = 0;
    std::uint64_t previousTerm = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t round = 0; ///< Repeated in the reply; confirms leadership for reads.
    std::vector<RaftEntry> entries;

    auto operator<=>(const RaftAppendRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(term, previousIndex, previousTerm, commitIndex, round, entries);
    }
};

/// Also answers a RaftSnapshotRequest.
struct RaftAppendReply
{
    std::uint64_t term = 0;
    bool isMatch = false;
    /// With isMatch: the last index that equals the leader's log. Otherwise: where to try next.
    std::uint64_t index = 0;
    std::uint64_t round = 0;

    auto operator<=>(const RaftAppendReply &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(term, isMatch, index, round);
    }
};

struct RaftSnapshotRequest
{
    std::uint64_t term = 0;
    std::uint64_t round = 0;
    RaftSnapshot snapshot;

    auto operator<=>(const RaftSnapshotRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(term, round, snapshot);
    }
};

using RaftMessage = std::variant<RaftVoteRequest, RaftVoteReply, RaftAppendRequest, RaftAppendReply,
                                 RaftSnapshotRequest>;

/// A message and the instance that it goes to.
struct RaftOutgoing
{
    std::string to;
    RaftMessage message;
};

/// A read that may be answered from the applied state, or that failed because leadership was lost.
struct RaftReadResult
{
    std::uint64_t id = 0;
    bool isConfirmed = false;

    auto operator<=>(const RaftReadResult &) const = default;
};

/// What the shell has to do, in the order of the members: write and sync first, then send, then
/// apply. After the sync the shell calls RaftCore::persisted().
struct RaftActions
{
    std::optional<RaftVote> vote; ///< Write this.
    std::optional<RaftSnapshot> snapshot; ///< Replace state and log by this received snapshot.
    std::uint64_t truncateFrom = 0; ///< Drop entries from this index on; 0 for none.
    std::vector<RaftEntry> append; ///< Write these after truncating.
    std::vector<RaftOutgoing> messages;
    std::vector<RaftEntry> committed; ///< Apply these in order.
    std::vector<RaftReadResult> reads; ///< Answer these after applying.

    [[nodiscard]] bool needsSync() const
    {
        return vote || snapshot || truncateFrom != 0 || !append.empty();
    }
    [[nodiscard]] bool isEmpty() const
    {
        return !needsSync() && messages.empty() && committed.empty() && reads.empty();
    }
};

/// Times and bounds of the protocol.
struct RaftSettings
{
    std::string instance;
    std::uint64_t seed = 1; ///< For the election timeouts.
    Milliseconds heartbeat{200};
    /// Elections start after a random time from one to two of these. A leader that has heard from
    /// no majority for one of these steps down.
    Milliseconds electionTimeout{1'000};
    /// The same for the first election after a start; 0 for electionTimeout. When all members were
    /// killed there is nobody to wait for, and a group that has a leader answers the pre-vote with
    /// no. It must be longer than two heartbeats.
    Milliseconds startElectionTimeout{0};
    std::size_t maxAppendBytes = std::size_t{1} * 1024 * 1024;
    Milliseconds resendAfter{400}; ///< For entries whose answer is missing.
    Milliseconds resendSnapshotAfter{3'000};

    auto operator<=>(const RaftSettings &) const = default;
};

/// What a restart finds on disk.
struct RaftDiskState
{
    RaftVote vote;
    RaftSnapshot snapshot;
    std::vector<RaftEntry> entries; ///< Those after the snapshot.

    auto operator<=>(const RaftDiskState &) const = default;
};

enum class RaftRole : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// One member's protocol state. It has no socket, disk, thread or clock: events and the current
/// time go in, and takeActions() says what to do.
class RaftCore
{
public:
    /// @param disk the state of an earlier run. A state without configuration belongs to a member
    /// that waits to be added; it never votes or stands for election.
    RaftCore(RaftSettings settings, RaftDiskState disk, Milliseconds now);

    /// The state of a member of a new group, equal on all its members.
    [[nodiscard]] static RaftDiskState initialState(std::vector<RaftMember> members);

    void tick(Milliseconds now);
    void receive(const std::string &from, const RaftMessage &message, Milliseconds now);
    /// Appends a command. @return its index, or nothing if this member is not the leader.
    std::optional<std::uint64_t> propose(std::string command, Milliseconds now);
    /// Starts a linearizable read. @return false if this member can't confirm reads.
    bool read(std::uint64_t id, Milliseconds now);
    /// Adds a learner, which becomes a voter when it has caught up.
    Status addMember(RaftMember member, Milliseconds now);
    Status removeMember(const std::string &instance, Milliseconds now);
    /// Replaces the log up to an applied index by the state machine's state.
    RaftSnapshot compact(std::uint64_t index, std::string data);

    /// Takes all pending actions.
    [[nodiscard]] RaftActions takeActions();
    /// The writes of the actions taken last are synced. No event may come in between.
    void persisted(Milliseconds now);

    [[nodiscard]] RaftRole role() const { return m_role; }
    [[nodiscard]] bool isLeader() const { return m_role == RaftRole::Leader; }
    [[nodiscard]] std::uint64_t term() const { return m_vote.term; }
    /// The known leader, or an empty string.
    [[nodiscard]] const std::string &leader() const { return m_leader; }
    [[nodiscard]] std::uint64_t commitIndex() const { return m_commitIndex; }
    [[nodiscard]] std::uint64_t appliedIndex() const { return m_handedOut; }
    [[nodiscard]] std::uint64_t lastIndex() const;
    [[nodiscard]] std::uint64_t snapshotIndex() const { return m_snapshot.index; }
    [[nodiscard]] std::size_t logBytes() const { return m_logBytes; }
    [[nodiscard]] const RaftConfiguration &configuration() const;
    [[nodiscard]] const RaftSnapshot &snapshot() const { return m_snapshot; }
    /// When a leader was last heard from; the current time of a leader with a majority.
    [[nodiscard]] Milliseconds lastLeaderContact() const { return m_lastContact; }
    [[nodiscard]] Milliseconds nextDeadline() const;
    /// True when this member started without a disk state but is a voter of the group: it has
    /// forgotten its votes, takes no part, and must come back under another name.
    [[nodiscard]] bool hasLostDisk() const { return m_hasLostDisk; }
    /// Index up to which a member's log is known to match; leader only.
    [[nodiscard]] std::uint64_t matchIndex(const std::string &instance) const;
    /// When a member last answered; leader only, and before everything for an unknown member.
    [[nodiscard]] Milliseconds lastReply(const std::string &instance) const;
    /// The vote and log as they must be on disk, for rewriting the file.
    [[nodiscard]] RaftDiskState diskState() const;

private:
    struct Progress
    {
        std::uint64_t nextIndex = 1;
        std::uint64_t matchIndex = 0;
        bool isMatched = false; ///< The follower's log equals this one up to nextIndex - 1.
        std::uint64_t ackedRound = 0;
        Milliseconds lastReply{0};
        /// Entries or a snapshot up to sentTo wait for an answer; nothing more is sent until then.
        std::optional<Milliseconds> resendAt;
        std::uint64_t sentTo = 0;
        std::uint64_t sentCommit = 0; ///< Commit index that the follower could take over.
    };

    struct PendingRead
    {
        std::uint64_t id = 0;
        std::uint64_t round = 0;
        std::uint64_t index = 0;
    };

    void onMessage(const std::string &from, const RaftVoteRequest &request);
    void onMessage(const std::string &from, const RaftVoteReply &reply);
    void onMessage(const std::string &from, const RaftAppendRequest &request);
    void onMessage(const std::string &from, const RaftAppendReply &reply);
    void onMessage(const std::string &from, const RaftSnapshotRequest &request);
    /// Accepts the sender as the leader of its term. @return false if the term is old.
    bool acceptLeader(const std::string &from, std::uint64_t term, std::uint64_t round);
    void storeEntries(const std::vector<RaftEntry> &entries);
    void install(const RaftSnapshot &snapshot);

    void startPreVote();
    void startElection();
    void countVotes();
    void becomeLeader();
    void becomeFollower(std::uint64_t term);
    void resetElectionTimer();
    void armElectionTimer(Milliseconds timeout);

    std::uint64_t append(RaftEntryKind kind, std::string data);
    void truncate(std::uint64_t from);
    /// Sends entries or a snapshot if the member lacks some and none wait for an answer.
    bool sendEntries(const std::string &to, Progress &progress);
    void sendHeartbeat(const std::string &to, Progress &progress);
    void broadcast();
    void checkQuorum();
    void advanceCommit();
    void confirmReads();
    void failReads();
    void promoteLearner();
    Status proposeConfiguration(const RaftConfiguration &next);
    void syncProgress();
    void send(const std::string &to, RaftMessage message);

    [[nodiscard]] std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    [[nodiscard]] const RaftEntry &entryAt(std::uint64_t index) const;
    [[nodiscard]] bool isUpToDate(std::uint64_t lastIndex, std::uint64_t lastTerm) const;
    [[nodiscard]] bool hasCommittedInTerm() const;
    [[nodiscard]] bool isBlank() const { return configuration().members.empty(); }
    /// Where a follower whose log differs at the index should be probed next.
    [[nodiscard]] std::uint64_t probeBefore(std::uint64_t index) const;

    RaftSettings m_settings;
    std::mt19937_64 m_random;
    RaftVote m_vote;
    RaftSnapshot m_snapshot;
    std::deque<RaftEntry> m_log; ///< Entries after m_snapshot.index.
    std::size_t m_logBytes = 0;
    /// Configurations by the index of their entry; the last one is in force.
    std::map<std::uint64_t, RaftConfiguration> m_configurations;

    RaftRole m_role = RaftRole::Follower;
    std::string m_leader;
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_handedOut = 0; ///< Committed entries up to here were given to the shell.
    std::uint64_t m_synced = 0; ///< Own log up to here is on disk.
    Milliseconds m_now;
    Milliseconds m_electionAt;
    Milliseconds m_heartbeatAt;
    Milliseconds m_lastContact{-1e18};
    std::map<std::string, bool> m_votes;
    std::map<std::string, Progress> m_progress;
    std::uint64_t m_round = 0;
    bool m_needsHeartbeat = false; ///< Send one to all with the next actions.
    bool m_hasLostDisk = false;
    std::vector<PendingRead> m_reads;
    RaftActions m_actions;
    std::uint64_t m_written = 0; ///< Entries up to here were given to the shell for writing.
};

} // namespace Camphor
