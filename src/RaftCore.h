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
    bool isVoter = true; ///< A learner receives the log but does not count towards any majority.

    auto operator<=>(const RaftMember &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, address, operatorAddress, isVoter);
    }
};

/// The group membership that takes effect at one log index.
struct RaftConfiguration
{
    std::vector<RaftMember> members;
    /// Names of removed members, which must not be reused: an instance that lost its disk no longer
    /// knows which votes it cast, so its replacement needs a new name.
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

/// The current term and vote. It must be on disk before any reply that depends on it is sent.
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

/// Requests a vote or, as a pre-vote, asks whether a vote would be granted.
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
    std::uint64_t term = 0; ///< The requested term if granted, otherwise the voter's own.
    bool isGranted = false;

    auto operator<=>(const RaftVoteReply &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(isPreVote, term, isGranted);
    }
};

/// Carries log entries and the commit index; without entries it is the heartbeat.
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

/// Reply to a RaftAppendRequest or a RaftSnapshotRequest.
struct RaftAppendReply
{
    std::uint64_t term = 0;
    bool isMatch = false;
    /// With isMatch, the last index at which both logs are equal; otherwise the index that the
    /// leader should probe next.
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

/// A message and its destination instance.
struct RaftOutgoingMessage
{
    std::string to;
    RaftMessage message;
};

/// The result of a linearizable read: either the applied state may now be read, or leadership was
/// lost.
struct RaftReadResult
{
    std::uint64_t id = 0;
    bool isConfirmed = false;

    auto operator<=>(const RaftReadResult &) const = default;
};

/// What the node that drives a RaftCore has to do, in the order of these fields: write and sync
/// first, then send, then apply. After the sync it calls RaftCore::onSynced().
struct RaftActions
{
    std::optional<RaftVote> vote; ///< Vote to write.
    std::optional<RaftSnapshot> snapshot; ///< Received snapshot that replaces the state machine's
                                          ///< state and the log.
    std::uint64_t truncateFrom = 0; ///< Remove log entries from this index on; 0 for none.
    std::vector<RaftEntry> append; ///< Entries to write after truncating.
    std::vector<RaftOutgoingMessage> messages;
    std::vector<RaftEntry> committed; ///< Entries to apply in order.
    std::vector<RaftReadResult> reads; ///< Reads to complete after applying.

    [[nodiscard]] bool needsSync() const
    {
        return vote || snapshot || truncateFrom != 0 || !append.empty();
    }
    [[nodiscard]] bool isEmpty() const
    {
        return !needsSync() && messages.empty() && committed.empty() && reads.empty();
    }
};

/// Timeouts and limits of the protocol.
struct RaftSettings
{
    std::string instance;
    std::uint64_t seed = 1; ///< Seed of the random election timeouts.
    Milliseconds heartbeat{200};
    /// A member starts an election after a random time between one and two election timeouts
    /// without contact with a leader. A leader without contact with a majority for one election
    /// timeout steps down.
    Milliseconds electionTimeout{1'000};
    /// The election timeout of a member that has had no contact with a leader since its start; 0
    /// for electionTimeout. It can be shorter because, when all members were killed, there is no
    /// leader to wait for, and members that do have a leader reject the pre-vote. It must be longer
    /// than a round of votes.
    Milliseconds startElectionTimeout{0};
    std::size_t maxAppendBytes = std::size_t{1} * 1024 * 1024;
    Milliseconds resendAfter{400}; ///< Entries without a reply for this long are resent.
    Milliseconds resendSnapshotAfter{3'000};

    auto operator<=>(const RaftSettings &) const = default;
};

/// The durable state that a member restarts from.
struct RaftDiskState
{
    RaftVote vote;
    RaftSnapshot snapshot;
    std::vector<RaftEntry> entries; ///< Entries after the snapshot.

    auto operator<=>(const RaftDiskState &) const = default;
};

enum class RaftRole : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

/// The protocol state of one member. It uses no socket, disk, thread or clock: events and the
/// current time are passed in, and takeActions() returns what has to be done.
class RaftCore
{
public:
    /// @param disk the durable state of an earlier run. A state without a configuration belongs to
    /// a member that waits to be added; such a member never votes or stands for election.
    RaftCore(RaftSettings settings, RaftDiskState disk, Milliseconds now);

    /// The initial state of a new group, which must be equal on all its members.
    [[nodiscard]] static RaftDiskState initialState(std::vector<RaftMember> members);

    void tick(Milliseconds now);
    void receive(const std::string &from, const RaftMessage &message, Milliseconds now);
    /// Appends a command to the log. @return its index, or nothing if this member is not the
    /// leader.
    std::optional<std::uint64_t> propose(std::string command, Milliseconds now);
    /// Starts a linearizable read. @return false if this member can't confirm reads now.
    bool read(std::uint64_t id, Milliseconds now);
    /// Whether a membership change may be proposed: this member leads, and the last change is
    /// committed.
    [[nodiscard]] bool canChangeMembers() const;
    /// Adds a learner, which becomes a voter once its log has caught up.
    Status addMember(RaftMember member, Milliseconds now);
    Status removeMember(const std::string &instance, Milliseconds now);
    /// Replaces the log up to an applied index by a snapshot of the state machine.
    RaftSnapshot compact(std::uint64_t index, std::string data);

    /// Returns all pending actions and clears them.
    [[nodiscard]] RaftActions takeActions();
    /// Reports that the writes of the actions taken last are synced. No other event may be passed
    /// in between the two calls.
    void onSynced(Milliseconds now);

    [[nodiscard]] RaftRole role() const { return m_role; }
    [[nodiscard]] bool isLeader() const { return m_role == RaftRole::Leader; }
    [[nodiscard]] std::uint64_t term() const { return m_vote.term; }
    /// The known leader, or an empty string.
    [[nodiscard]] const std::string &leader() const { return m_leader; }
    [[nodiscard]] std::uint64_t commitIndex() const { return m_commitIndex; }
    [[nodiscard]] std::uint64_t appliedIndex() const { return m_appliedIndex; }
    [[nodiscard]] std::uint64_t lastIndex() const;
    [[nodiscard]] std::uint64_t snapshotIndex() const { return m_snapshot.index; }
    [[nodiscard]] std::size_t logBytes() const { return m_logBytes; }
    /// The newest configuration in the log, which is in force whether it is committed or not.
    [[nodiscard]] const RaftConfiguration &configuration() const;
    /// Whether the group has removed a name for good. False while the removal is not known to be
    /// committed, because another leader may undo it.
    [[nodiscard]] bool isRemoved(const std::string &instance) const;
    [[nodiscard]] const RaftSnapshot &snapshot() const { return m_snapshot; }
    /// Time of the last contact with a leader. On a leader, the time at which it last had contact
    /// with a majority.
    [[nodiscard]] Milliseconds lastLeaderContact() const { return m_lastContact; }
    [[nodiscard]] Milliseconds nextDeadline() const;
    /// True if this member started without a disk state but is a voter of the group. Its earlier
    /// votes are lost, so it takes no part in the protocol and must be replaced under another name.
    [[nodiscard]] bool hasLostDisk() const { return m_hasLostDisk; }
    /// Index up to which a member's log is known to match; valid on the leader only.
    [[nodiscard]] std::uint64_t matchIndex(const std::string &instance) const;
    /// Time of a member's last reply or, before its first one, the time since which this leader
    /// has known the member; valid on the leader only. Far in the past for an unknown member.
    [[nodiscard]] Milliseconds lastReply(const std::string &instance) const;
    /// The durable state in full, for rewriting the file.
    [[nodiscard]] RaftDiskState diskState() const;

private:
    struct Progress
    {
        std::uint64_t nextIndex = 1;
        std::uint64_t matchIndex = 0;
        bool isMatched = false; ///< Both logs are known to be equal up to nextIndex - 1.
        std::uint64_t ackedRound = 0;
        Milliseconds lastReply{0};
        /// Set while entries or a snapshot up to sentIndex are in flight. Nothing more is sent
        /// until they are acknowledged or this time has passed.
        std::optional<Milliseconds> resendAt;
        std::uint64_t sentIndex = 0;
        std::uint64_t sentCommitIndex = 0; ///< Highest commit index that the follower can derive
                                           ///< from what was sent to it.
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
    /// Accepts the sender as the leader of its term. @return false if the term is outdated.
    bool acceptLeader(const std::string &from, std::uint64_t term, std::uint64_t round);
    void storeEntries(const std::vector<RaftEntry> &entries);
    void installSnapshot(const RaftSnapshot &snapshot);

    void startPreVote();
    void startElection();
    void countVotes();
    void becomeLeader();
    void becomeFollower(std::uint64_t term);
    void resetElectionTimer();
    void armPreVoteTimer();
    /// Sets the timer to a random time between two multiples of the timeout.
    void armElectionTimer(Milliseconds timeout, double minFactor, double maxFactor);

    std::uint64_t append(RaftEntryKind kind, std::string data);
    void truncate(std::uint64_t from);
    /// Sends entries or a snapshot if the member lacks some and none are in flight. @return true if
    /// entries were sent.
    bool sendEntries(const std::string &to, Progress &progress);
    void sendHeartbeat(const std::string &to, Progress &progress);
    void broadcast();
    void checkQuorum();
    void advanceCommit();
    void confirmReads();
    void failReads();
    void promoteLearner();
    Status proposeConfiguration(const RaftConfiguration &next);
    void updateProgressMembers();
    void send(const std::string &to, RaftMessage message);

    [[nodiscard]] std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    [[nodiscard]] const RaftEntry &entryAt(std::uint64_t index) const;
    [[nodiscard]] bool isUpToDate(std::uint64_t lastIndex, std::uint64_t lastTerm) const;
    [[nodiscard]] bool hasCommittedInTerm() const;
    [[nodiscard]] bool hasNoConfiguration() const { return configuration().members.empty(); }
    /// The index that a leader should probe next if this log differs from its own at the given
    /// index.
    [[nodiscard]] std::uint64_t nextProbeIndex(std::uint64_t index) const;

    RaftSettings m_settings;
    std::mt19937_64 m_random;
    RaftVote m_vote;
    RaftSnapshot m_snapshot;
    std::deque<RaftEntry> m_log; ///< Entries after m_snapshot.index.
    std::size_t m_logBytes = 0;
    /// Configurations by the index of their log entry; the last one is in effect.
    std::map<std::uint64_t, RaftConfiguration> m_configurations;

    RaftRole m_role = RaftRole::Follower;
    std::string m_leader;
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_appliedIndex = 0; ///< Committed entries up to this index were returned for
                                      ///< applying.
    std::uint64_t m_syncedIndex = 0; ///< The own log is on disk up to this index.
    Milliseconds m_now;
    Milliseconds m_electionAt;
    /// No contact with a leader since the start, and no member has rejected a pre-vote.
    bool m_isStarting = false;
    int m_startPreVotes = 0; ///< Pre-votes while m_isStarting.
    Milliseconds m_heartbeatAt;
    Milliseconds m_lastContact{-1e18};
    std::map<std::string, bool> m_votes;
    std::map<std::string, Progress> m_progress;
    std::uint64_t m_heartbeatRound = 0;
    bool m_needsHeartbeat = false; ///< Send a heartbeat to all members with the next actions.
    bool m_hasLostDisk = false;
    std::vector<PendingRead> m_pendingReads;
    RaftActions m_actions;
    std::uint64_t m_writtenIndex = 0; ///< Entries up to this index were returned for writing.
};

} // namespace Camphor
