/// @file Messages of the submission ledgers that are not part of SubmissionLedger.h.
#pragma once

#include "LedgerState.h"
#include "ReplicaSetStore.h"
#include "SubmissionLedger.h"

#include <cereal/cereal.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Camphor {

/// Longest key that a ledger accepts, in bytes.
inline constexpr std::size_t MaxKeyBytes = 512;

/// Longest answer that a ledger stores, in bytes. Half of a frame, so that a replicated record with
/// its answer still fits into one frame. A longer answer is stored as outcome only.
inline constexpr std::size_t MaxStoredAnswerBytes = std::size_t{8} * 1024 * 1024;

/// Whether a ledger has answered a call itself.
enum class LedgerAnswerState : std::uint8_t {
    Answered,
    Redirect, ///< This replica is not the primary. Nothing was recorded.
    NotReady, ///< This replica cannot answer now. Nothing was recorded.
    Undetermined, ///< Recorded, but not known to be committed. Ask again with the same nonce.
};

/// The payload of a reply to MessageKind::Claim and MessageKind::Query.
struct ClaimAnswer
{
    LedgerAnswerState state = LedgerAnswerState::NotReady;
    std::string primary; ///< With Redirect: "IP:PORT" of the primary, or empty.
    ClaimReply reply; ///< With Answered.

    auto operator<=>(const ClaimAnswer &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(state, primary, reply);
    }
};

/// The payload of a reply to MessageKind::Finish.
struct FinishAnswer
{
    LedgerAnswerState state = LedgerAnswerState::NotReady;
    std::string primary; ///< With Redirect: "IP:PORT" of the primary, or empty.
    bool isRecorded = false; ///< With Answered.

    auto operator<=>(const FinishAnswer &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(state, primary, isRecorded);
    }
};

/// The payload of MessageKind::Query.
struct QueryRequest
{
    std::string key;

    auto operator<=>(const QueryRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key);
    }
};

/// The payload of MessageKind::Replicate, and of MessageKind::LeaseRenew without entries. From the
/// primary to a backup or to a replica that catches up.
struct ReplicateRequest
{
    ReplicaSet set; ///< The committed set; the sender is its primary.
    std::uint64_t toIncarnation = 0; ///< Another incarnation of the instance must refuse.
    std::uint64_t previousSequence = 0; ///< Of the entry before the first one.
    std::uint64_t previousEpoch = 0;
    std::uint64_t commitSequence = 0;
    std::uint64_t lastSequence = 0; ///< End of the primary's log.
    double sentMs = 0; ///< The primary's monotonic clock, returned in the reply.
    std::vector<LedgerEntry> entries;

    auto operator<=>(const ReplicateRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(set, toIncarnation, previousSequence, previousEpoch, commitSequence, lastSequence,
                sentMs, entries);
    }
};

/// What a replica says to a ReplicateRequest.
enum class ReplicateState : std::uint8_t {
    Accepted, ///< The sender's lease is renewed as of its sentMs.
    Stale, ///< The replica has promised a later epoch.
    Gap, ///< Entries after lastSequence are missing.
    WrongMember, ///< The replica is not the addressed incarnation, or knows the sender as none.
    NotCaughtUp, ///< The replica holds no state to add to.
    Stopped, ///< The replica's disk has failed.
    Diverged, ///< The primary's log lacks entries that the replica knows as committed.
};

/// The payload of a reply to MessageKind::Replicate and MessageKind::LeaseRenew.
struct ReplicateReply
{
    ReplicateState state = ReplicateState::Stopped;
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t requestEpoch = 0;
    std::uint64_t promisedEpoch = 0;
    std::uint64_t matchSequence = 0; ///< With Accepted: held, and synced if there is a disk.
    std::uint64_t lastSequence = 0; ///< With Gap.
    bool hadEntries = false; ///< Of the request.
    double sentMs = 0; ///< Of the request.

    auto operator<=>(const ReplicateReply &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(state, instance, incarnation, requestEpoch, promisedEpoch, matchSequence,
                lastSequence, hadEntries, sentMs);
    }
};

/// The payload of MessageKind::Catchup, from a replica outside the set to the primary. Cursor 0
/// starts a new catch-up.
struct CatchupRequest
{
    std::string domain;
    ReplicaMember member;
    std::uint64_t cursor = 0;
    bool isDone = false; ///< All images are installed; entries may be sent.

    auto operator<=>(const CatchupRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(domain, member, cursor, isDone);
    }
};

/// The payload of a reply to MessageKind::Catchup.
struct CatchupReply
{
    bool isAccepted = false; ///< False: not the primary, or the catch-up must start again.
    ReplicaSet set; ///< The set as the replica knows it.
    std::uint64_t memberIncarnation = 0; ///< From the request.
    std::uint64_t cursor = 0; ///< From the request.
    std::uint64_t nextCursor = 0;
    bool isLast = false;
    // With isLast: what the images are the base of.
    std::uint64_t baseSequence = 0;
    std::uint64_t baseEpoch = 0;
    std::uint64_t timeMs = 0;
    std::uint32_t forgottenIssueSeconds = 0;
    std::vector<ClaimImage> claims;

    auto operator<=>(const CatchupReply &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(isAccepted, set, memberIncarnation, cursor, nextCursor, isLast, baseSequence,
                baseEpoch, timeMs, forgottenIssueSeconds, claims);
    }
};

/// The part that a replica plays.
enum class LedgerRole : std::uint8_t { Outsider, Backup, Primary, Stopped };

/// The payload of a reply to MessageKind::LedgerStatus. The request has no payload.
struct LedgerStatusReply
{
    std::string instance;
    std::string domain;
    LedgerRole role = LedgerRole::Outsider;
    ReplicaSet set;
    bool hasDisk = false;
    bool isGranting = false; ///< It is primary, holds its leases and is past the grace period.
    std::uint64_t lastSequence = 0;
    std::uint64_t commitSequence = 0;
    std::uint64_t claims = 0;
    std::uint64_t answerBytes = 0;
    std::uint64_t syncs = 0; ///< Of the journal since the start.
    std::uint64_t refusedMessages = 0;
    std::string problem; ///< Empty, or why the replica has stopped.

    auto operator<=>(const LedgerStatusReply &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, domain, role, set, hasDisk, isGranting, lastSequence, commitSequence,
                claims, answerBytes, syncs, refusedMessages, problem);
    }
};

/// What a record of the journal or of a snapshot does.
enum class LedgerRecordKind : std::uint8_t {
    Entry = 1, ///< Appends an entry.
    Truncate, ///< Drops the entries after a sequence.
    Promise, ///< Promises to refuse primaries of earlier epochs.
    Reset, ///< Forgets everything and takes a new incarnation.
    Images, ///< Adds claims.
    ImagesEnd, ///< The claims are complete; entries follow from sequence + 1.
};

/// One record of the journal or of a snapshot.
struct LedgerRecord
{
    LedgerRecordKind kind = LedgerRecordKind::Entry;
    std::uint64_t sequence = 0; ///< Entry: committed so far. Truncate, ImagesEnd: see above.
    std::uint64_t epoch = 0; ///< Promise; ImagesEnd: of the entry at sequence.
    std::uint64_t incarnation = 0; ///< Reset.
    std::uint64_t timeMs = 0; ///< ImagesEnd: ledger time.
    std::uint32_t forgottenIssueSeconds = 0; ///< ImagesEnd.
    LedgerEntry entry;
    std::vector<ClaimImage> claims;

    auto operator<=>(const LedgerRecord &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(kind);
        switch (kind) {
        case LedgerRecordKind::Entry:
            archive(sequence, entry);
            break;
        case LedgerRecordKind::Truncate:
            archive(sequence);
            break;
        case LedgerRecordKind::Promise:
            archive(epoch);
            break;
        case LedgerRecordKind::Reset:
            archive(incarnation);
            break;
        case LedgerRecordKind::Images:
            archive(claims);
            break;
        case LedgerRecordKind::ImagesEnd:
            archive(sequence, epoch, timeMs, forgottenIssueSeconds);
            break;
        default:
            throw cereal::Exception("unknown kind of ledger record");
        }
    }
};

} // namespace Camphor
