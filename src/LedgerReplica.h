/// @file Replication of one ledger: roles, epochs, leases and catch-up. A deterministic state
/// machine: events and the current time go in, actions come out. It does no I/O and reads no clock.
///
/// A record is committed once the primary and every replica that may be a member of the set store
/// it (synced, where there is a disk). Every possible successor therefore holds every committed
/// record. Only a compare-and-set changes the replica set. While the result of one is unknown, both
/// outcomes are assumed: the primary waits for replicas that may have been added, and keeps waiting
/// for those that may have been removed.
#pragma once

#include "LedgerLog.h"
#include "LedgerMessages.h"
#include "LogEvents.h"
#include "ReplicaSetStore.h"
#include "Time.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Camphor {

/// Timing of the replication. The grace period must exceed the lease by more than two monotonic
/// clocks can drift apart during one lease.
struct LedgerTiming
{
    /// Counted from the time when the primary sent the message that renews it.
    Milliseconds lease{1'000};
    /// A backup waits this long after the last accepted message before it takes over.
    Milliseconds grace{1'500};
    Milliseconds renewInterval{200};
    Milliseconds resendTimeout{300}; ///< Unacknowledged entries are resent after this time.
    /// An unresponsive backup is removed from the set after this time.
    Milliseconds removalTimeout{1'000};
    /// Minimum time between two calls to the replica set store.
    Milliseconds storeRetryInterval{400};
    /// A replica whose catch-up stalls for this long is removed.
    Milliseconds learnerTimeout{4'000};

    auto operator<=>(const LedgerTiming &) const = default;
};

/// Identity and configuration of a replica.
struct LedgerReplicaSettings
{
    std::string instance;
    std::string domain;
    std::string address; ///< "IP:PORT" under which other replicas and entries reach this one.
    std::uint64_t incarnation = 0; ///< Used if the log does not record one yet.
    bool hasDisk = false;
    LedgerTiming timing;
    RetentionDeclaration retention;

    auto operator<=>(const LedgerReplicaSettings &) const = default;
};

/// Identifies a received call that is replied to by an action.
using LedgerCallId = std::uint64_t;

namespace LedgerActions {

/// Append a record to the journal, and call journalSynced(position) once it is synced.
struct WriteJournal
{
    std::uint64_t position = 0;
    LedgerRecord record;
};
/// Send to another replica, and pass its reply, if any, to replicateReplied().
struct SendReplicate
{
    ReplicaMember to;
    ReplicateRequest request;
};
struct SendCatchup
{
    ReplicaMember to;
    CatchupRequest request;
};
/// Read the replica set and pass the result to setRead().
struct ReadSet
{
};
/// Call compareAndSet and pass the result to setChanged() with the same `next`.
struct ChangeSet
{
    std::uint64_t expectedEpoch = 0;
    ReplicaSet next;
};
struct ReplyToClaim
{
    LedgerCallId call = 0;
    ClaimRpcReply reply;
};
struct ReplyToFinish
{
    LedgerCallId call = 0;
    FinishRpcReply reply;
};
struct ReplyToReplicate
{
    LedgerCallId call = 0;
    ReplicateReply reply;
};
struct ReplyToCatchup
{
    LedgerCallId call = 0;
    CatchupReply reply;
};
/// Write an event to the process's log output.
struct Notice
{
    LogEvent event = LogEvent::LedgerSet;
    std::string detail;
    bool isWarning = false;
};

} // namespace LedgerActions

using LedgerAction = std::variant<LedgerActions::WriteJournal, LedgerActions::SendReplicate,
                                  LedgerActions::SendCatchup, LedgerActions::ReadSet,
                                  LedgerActions::ChangeSet, LedgerActions::ReplyToClaim,
                                  LedgerActions::ReplyToFinish, LedgerActions::ReplyToReplicate,
                                  LedgerActions::ReplyToCatchup, LedgerActions::Notice>;

/// The state machine of one replica.
class LedgerReplica
{
public:
    /// @param log as recovered from the data folder, or an empty log.
    LedgerReplica(const LedgerReplicaSettings &settings, LedgerLog log, Milliseconds now);

    /// Call it at least every few milliseconds, and once after every other event.
    void tick(Milliseconds now);

    void claim(LedgerCallId call, const ClaimRequest &request, std::int64_t wallMs,
               Milliseconds now);
    void finish(LedgerCallId call, const FinishRequest &request, Milliseconds now);
    void query(LedgerCallId call, const QueryRequest &request, std::int64_t wallMs,
               Milliseconds now);

    void replicateReceived(LedgerCallId call, const ReplicateRequest &request, Milliseconds now);
    void replicateReplied(const ReplicateReply &reply, Milliseconds now);
    void catchupReceived(LedgerCallId call, const CatchupRequest &request, Milliseconds now);
    void catchupReplied(CatchupReply reply, Milliseconds now);
    void setRead(const Result<ReplicaSet> &result, Milliseconds now);
    void setChanged(const ReplicaSet &next, const Result<ReplicaSet> &result, Milliseconds now);
    void journalSynced(std::uint64_t position);
    /// Call it when the disk has failed. From then on nothing is granted or acknowledged.
    void journalFailed(const std::string &problem);
    void setRetention(const RetentionDeclaration &retention) { m_log.setRetention(retention); }

    [[nodiscard]] std::vector<LedgerAction> takeActions() { return std::exchange(m_actions, {}); }

    [[nodiscard]] LedgerRole role() const { return m_role; }
    [[nodiscard]] const ReplicaSet &set() const { return m_set; }
    [[nodiscard]] const LedgerLog &log() const { return m_log; }
    [[nodiscard]] ReplicaMember self() const;
    /// True if this is the primary, holds the leases of all members and the grace period has
    /// passed.
    [[nodiscard]] bool isGranting(Milliseconds now) const;
    /// True unless a catch-up is in progress, during which the log is incomplete.
    [[nodiscard]] bool canSnapshot() const { return m_log.isComplete(); }
    /// The records at the start of a new journal file: the promised epoch and the entries after
    /// committed().
    [[nodiscard]] std::vector<LedgerRecord> initialJournalRecords() const;
    [[nodiscard]] LedgerStatusReply status(Milliseconds now) const;

private:
    using MemberId = std::pair<std::string, std::uint64_t>;

    static constexpr Milliseconds Never{-std::numeric_limits<double>::infinity()};

    /// The primary's view of another replica.
    struct Follower
    {
        ReplicaMember member;
        bool isRequired = false; ///< Commits wait for it: it is a member of the set, or may be.
        /// It runs under another incarnation, lacks a usable state or has stopped.
        bool isUnusable = false;
        bool hasImages = false; ///< The claim images are installed, so entries may be sent.
        std::uint64_t baseSequence = 0; ///< The committed sequence when its catch-up began.
        std::uint64_t baseEpoch = 0;
        /// The images may contain effects of entries up to this sequence.
        std::uint64_t imagesEnd = 0;
        std::uint64_t nextSequence = 0; ///< The next entry to send.
        std::uint64_t matchSequence = 0;
        int inFlight = 0;
        Milliseconds leaseStart = Never;
        Milliseconds lastSent = Never;
        Milliseconds lastRenewed = Never;
        Milliseconds lastContact = Never;
    };
    struct PendingReply
    {
        std::uint64_t sequence = 0; ///< Sequence that must be committed before the reply is sent.
        LedgerCallId call = 0;
        bool isFinish = false;
        ClaimReply reply;
        bool isRecorded = false;
    };
    struct PendingAck
    {
        /// Journal position that must be synced before the acknowledgement is sent.
        std::uint64_t position = 0;
        LedgerCallId call = 0;
        ReplicateReply reply;
    };

    [[nodiscard]] static MemberId idOf(const ReplicaMember &member);
    [[nodiscard]] bool isSelf(const ReplicaMember &member) const;
    [[nodiscard]] bool isBackupOf(const ReplicaSet &set) const;
    [[nodiscard]] Milliseconds leaseEnd() const;
    [[nodiscard]] std::uint64_t ledgerTime(Milliseconds now) const;

    bool refuseCall(LedgerCallId call, bool isFinish, Milliseconds now);
    void replyWhenCommitted(LedgerCallId call, bool isFinish, LedgerDecision decision,
                            Milliseconds now);
    void appendEntry(LedgerEntry entry, Milliseconds now);
    void sendCommittedReplies(Milliseconds now);
    void failPendingReplies();

    void writeRecord(LedgerRecord record);
    void writeEntry(const LedgerEntry &entry);
    void promise(std::uint64_t epoch);

    void adoptSet(const ReplicaSet &set, Milliseconds now);
    void becomePrimary(const ReplicaSet &set, Milliseconds now);
    void updateFollowers(const ReplicaSet &set, Milliseconds now);
    void stepDown();
    void readSet(Milliseconds now);
    void changeSet(ReplicaSet next, Milliseconds now);
    void takeOver(Milliseconds now);

    void tickPrimary(Milliseconds now);
    void tickBackup(Milliseconds now);
    void tickNonMember(Milliseconds now);
    void changeMembers(Milliseconds now);
    void sendEntries(Follower &follower, Milliseconds now);
    void sendRenewal(Follower &follower, Milliseconds now);
    [[nodiscard]] ReplicateRequest makeRequest(const Follower &follower, std::uint64_t previous,
                                               Milliseconds now) const;
    void advanceCommit();
    void startCatchup(Milliseconds now);
    void sendCatchup(std::uint64_t cursor, bool isDone, Milliseconds now);

    [[nodiscard]] ReplicateState checkRequest(const ReplicateRequest &request) const;
    void installEntries(const ReplicateRequest &request, ReplicateReply &reply);
    void notice(LogEvent event, std::string detail, bool isWarning = false);

    LedgerReplicaSettings m_settings;
    LedgerLog m_log;
    std::vector<LedgerAction> m_actions;
    LedgerRole m_role = LedgerRole::NonMember;
    ReplicaSet m_set; ///< The latest known committed set.
    std::uint64_t m_incarnation = 0;
    std::string m_problem;
    std::uint64_t m_refusedMessages = 0;

    std::uint64_t m_position = 0;
    std::uint64_t m_syncedPosition = 0;
    std::uint64_t m_promisePosition = 0;
    /// Pairs of journal position and sequence.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_unsynced;
    std::uint64_t m_syncedSequence = 0;

    // As primary.
    std::map<MemberId, Follower> m_followers;
    std::deque<PendingReply> m_pendingReplies;
    Milliseconds m_grantStart;
    Milliseconds m_timeOrigin;
    std::uint64_t m_timeBaseMs = 0;
    /// Epoch in which this replica became primary.
    std::uint64_t m_firstEpoch = 0;

    // As backup or non-member.
    std::vector<PendingAck> m_pendingAcks;
    Milliseconds m_lastContact; ///< Time of the last accepted message from a primary.
    /// The log is known to equal the primary's up to this sequence.
    std::uint64_t m_matchedSequence = 0;
    bool m_isTakingOver = false; ///< Its change to become primary may still be committed.
    bool m_hasMemberData = false; ///< The log is that of a set member or of a completed catch-up.
    bool m_hasCaughtUp = false; ///< The log comes from a catch-up that completed in this process.
    std::uint64_t m_readEpoch = 0; ///< Epoch of the set last read from the store.
    Milliseconds m_readStarted = Never; ///< When that read began.
    std::uint64_t m_catchupCursor = 0; ///< Cursor of the last requested images.
    bool m_isCatchingUp = false;
    Milliseconds m_lastCatchup = Never;

    // Calls to the replica set store.
    bool m_isReadingSet = false;
    bool m_isChangingSet = false;
    std::uint64_t m_lastExpectedEpoch = 0; ///< Epoch that the last compare-and-set expected.
    Milliseconds m_lastSetRead = Never;
    Milliseconds m_lastSetChange = Never;
};

} // namespace Camphor
