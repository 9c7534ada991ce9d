/// @file The replication of one ledger: roles, epochs, leases and catch-up. Events and the time go
/// in, actions come out; no I/O and no clock.
///
/// A record is committed when the primary and every member that may be in the set hold it, synced
/// where there is a disk. A successor therefore holds every committed record, whichever member it
/// is. Only a compare-and-set changes the set. While the result of one is not known, both its
/// outcomes are assumed: members that may have been added are waited for, and members that may have
/// been removed still are.
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

/// Times of the replication. The grace period must exceed the lease by more than the drift of two
/// monotonic clocks over a lease.
struct LedgerTiming
{
    Milliseconds lease{1'000}; ///< From the sending of a message that a backup accepts.
    Milliseconds grace{1'500}; ///< A backup waits this long after the last message it accepted.
    Milliseconds renewEvery{200};
    Milliseconds resendAfter{300}; ///< Entries without an answer are sent again.
    Milliseconds removeAfter{1'000}; ///< A backup without an answer is taken out of the set.
    Milliseconds storeRetry{400}; ///< Between two calls of the replica set store.
    Milliseconds learnerTimeout{4'000}; ///< A replica that stops to catch up is given up.

    auto operator<=>(const LedgerTiming &) const = default;
};

/// Identity and limits of a replica.
struct LedgerReplicaSettings
{
    std::string instance;
    std::string domain;
    std::string address; ///< "IP:PORT" for other replicas and entries.
    std::uint64_t incarnation = 0; ///< For a replica whose log has none yet.
    bool hasDisk = false;
    LedgerTiming timing;
    RetentionDeclaration retention;

    auto operator<=>(const LedgerReplicaSettings &) const = default;
};

/// Identifies a call whose answer is an action.
using LedgerCallId = std::uint64_t;

namespace LedgerActions {

/// Append a record to the journal, and report journalSynced(position) after a sync.
struct WriteJournal
{
    std::uint64_t position = 0;
    LedgerRecord record;
};
/// Send to another replica and report the reply, if there is one.
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
/// Read the set and report setRead.
struct ReadSet
{
};
/// Call compareAndSet and report setChanged with the same `next`.
struct ChangeSet
{
    std::uint64_t expectedEpoch = 0;
    ReplicaSet next;
};
struct AnswerClaim
{
    LedgerCallId call = 0;
    ClaimAnswer answer;
};
struct AnswerFinish
{
    LedgerCallId call = 0;
    FinishAnswer answer;
};
struct AnswerReplicate
{
    LedgerCallId call = 0;
    ReplicateReply reply;
};
struct AnswerCatchup
{
    LedgerCallId call = 0;
    CatchupReply reply;
};
/// Something for the log.
struct Notice
{
    LogEvent event = LogEvent::LedgerSet;
    std::string detail;
    bool isWarning = false;
};

} // namespace LedgerActions

using LedgerAction = std::variant<LedgerActions::WriteJournal, LedgerActions::SendReplicate,
                                  LedgerActions::SendCatchup, LedgerActions::ReadSet,
                                  LedgerActions::ChangeSet, LedgerActions::AnswerClaim,
                                  LedgerActions::AnswerFinish, LedgerActions::AnswerReplicate,
                                  LedgerActions::AnswerCatchup, LedgerActions::Notice>;

/// One replica.
class LedgerReplica
{
public:
    /// @param log what was recovered from the data folder, or an empty log.
    LedgerReplica(const LedgerReplicaSettings &settings, LedgerLog log, Milliseconds now);

    /// To be called at least every few milliseconds, and once after every other event.
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
    /// The disk has failed: nothing is granted or acknowledged any more.
    void journalFailed(const std::string &problem);
    void setRetention(const RetentionDeclaration &retention) { m_log.setRetention(retention); }

    [[nodiscard]] std::vector<LedgerAction> takeActions() { return std::exchange(m_actions, {}); }

    [[nodiscard]] LedgerRole role() const { return m_role; }
    [[nodiscard]] const ReplicaSet &set() const { return m_set; }
    [[nodiscard]] const LedgerLog &log() const { return m_log; }
    [[nodiscard]] ReplicaMember self() const;
    /// It is primary, holds the leases of all members and is past the grace period.
    [[nodiscard]] bool isGranting(Milliseconds now) const;
    /// No catch-up is being received, so a snapshot of the log is whole.
    [[nodiscard]] bool canSnapshot() const { return m_log.isComplete(); }
    /// The records with which a new journal file starts: promise and entries after committed().
    [[nodiscard]] std::vector<LedgerRecord> journalStart() const;
    [[nodiscard]] LedgerStatusReply status(Milliseconds now) const;

private:
    using MemberId = std::pair<std::string, std::uint64_t>;

    static constexpr Milliseconds Never{-std::numeric_limits<double>::infinity()};

    /// Another replica as the primary sees it.
    struct Follower
    {
        ReplicaMember member;
        bool isRequired = false; ///< It is in the set, or may be.
        bool isGone = false; ///< Its instance runs under another incarnation.
        bool hasImages = false; ///< Entries may be sent.
        std::uint64_t baseSequence = 0; ///< Committed when its catch-up began.
        std::uint64_t baseEpoch = 0;
        std::uint64_t imagesEnd = 0; ///< Its images may hold effects up to this entry.
        std::uint64_t next = 0; ///< First entry that was not sent.
        std::uint64_t match = 0;
        int inFlight = 0;
        Milliseconds leaseFrom = Never;
        Milliseconds lastSent = Never;
        Milliseconds lastRenewed = Never;
        Milliseconds lastHeard = Never;
    };
    struct PendingAnswer
    {
        std::uint64_t sequence = 0; ///< Must be committed first.
        LedgerCallId call = 0;
        bool isFinish = false;
        ClaimReply reply;
        bool isRecorded = false;
    };
    struct PendingAck
    {
        std::uint64_t position = 0; ///< Must be synced first.
        LedgerCallId call = 0;
        ReplicateReply reply;
    };

    [[nodiscard]] static MemberId idOf(const ReplicaMember &member);
    [[nodiscard]] bool isSelf(const ReplicaMember &member) const;
    [[nodiscard]] bool isBackupOf(const ReplicaSet &set) const;
    [[nodiscard]] Milliseconds leaseEnd() const;
    [[nodiscard]] std::uint64_t ledgerTime(Milliseconds now) const;

    bool refuseCall(LedgerCallId call, bool isFinish, Milliseconds now);
    void answerWhenCommitted(LedgerCallId call, bool isFinish, LedgerDecision decision,
                             Milliseconds now);
    void appendEntry(LedgerEntry entry, Milliseconds now);
    void flushAnswers(Milliseconds now);
    void failAnswers();

    void writeRecord(LedgerRecord record);
    void writeEntry(const LedgerEntry &entry);
    void promise(std::uint64_t epoch);

    void adopt(const ReplicaSet &set, Milliseconds now);
    void becomePrimary(const ReplicaSet &set, Milliseconds now);
    void keepPrimary(const ReplicaSet &set, Milliseconds now);
    void leaveOffice();
    void readSet(Milliseconds now);
    void changeSet(ReplicaSet next, Milliseconds now);
    void takeOver(Milliseconds now);

    void tickPrimary(Milliseconds now);
    void tickBackup(Milliseconds now);
    void tickOutsider(Milliseconds now);
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
    LedgerRole m_role = LedgerRole::Outsider;
    ReplicaSet m_set; ///< The last set known to be committed.
    std::uint64_t m_incarnation = 0;
    std::string m_problem;
    std::uint64_t m_refused = 0;

    std::uint64_t m_position = 0;
    std::uint64_t m_syncedPosition = 0;
    std::uint64_t m_promisePosition = 0;
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_unsynced; ///< Position and sequence.
    std::uint64_t m_syncedSequence = 0;

    // As primary.
    std::map<MemberId, Follower> m_followers;
    std::deque<PendingAnswer> m_answers;
    Milliseconds m_grantsFrom;
    Milliseconds m_timeOrigin;
    std::uint64_t m_timeBaseMs = 0;
    std::uint64_t m_firstEpoch = 0; ///< Of this term of office.

    // As backup or outsider.
    std::vector<PendingAck> m_acks;
    Milliseconds m_lastContact; ///< Last message of a primary that was accepted.
    std::uint64_t m_verified = 0; ///< Up to here the log equals the primary's.
    bool m_isTakingOver = false; ///< A compare-and-set to become primary was sent.
    bool m_hasMemberData = false; ///< The log is that of a member or of a finished catch-up.
    bool m_isLearned = false; ///< The log comes from a catch-up of this process.
    std::uint64_t m_readEpoch = 0; ///< Of the last set read from the store itself.
    Milliseconds m_readStarted = Never; ///< When that read began.
    std::uint64_t m_cursor = 0; ///< Of the images asked for.
    bool m_isCatchingUp = false;
    Milliseconds m_lastCatchup = Never;

    // Calls of the store.
    bool m_isReading = false;
    bool m_isChanging = false;
    std::uint64_t m_changedEpoch = 0; ///< The epoch that the last change was to replace.
    Milliseconds m_lastRead = Never;
    Milliseconds m_lastChange = Never;
};

} // namespace Camphor
