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

/// Maximum size of a stored response, in bytes. Half of a frame, so that a replicated record with
/// its response fits into one frame. For a longer response only the outcome is stored.
inline constexpr std::size_t MaxStoredResponseBytes = std::size_t{8} * 1024 * 1024;

/// Whether a replica handled a call, and otherwise how to retry it.
enum class LedgerRpcStatus : std::uint8_t {
    Handled, ///< The reply holds the result.
    Redirect, ///< This replica is not the primary. Nothing was recorded.
    NotReady, ///< This replica cannot serve the call now. Nothing was recorded.
    Undetermined, ///< Recorded, but not known to be committed. Retry with the same nonce.
};

/// The payload of a reply to MessageKind::Claim and MessageKind::Query.
struct ClaimRpcReply
{
    LedgerRpcStatus state = LedgerRpcStatus::NotReady;
    std::string primary; ///< With Redirect: "IP:PORT" of the primary, or empty.
    ClaimReply reply; ///< With Handled.

    auto operator<=>(const ClaimRpcReply &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(state, primary, reply);
    }
};

/// The payload of a reply to MessageKind::Finish.
struct FinishRpcReply
{
    LedgerRpcStatus state = LedgerRpcStatus::NotReady;
    std::string primary; ///< With Redirect: "IP:PORT" of the primary, or empty.
    bool isRecorded = false; ///< With Handled.

    auto operator<=>(const FinishRpcReply &) const = default;

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

/// The payload of MessageKind::Replicate, and without entries of MessageKind::LeaseRenew. Sent by
/// the primary to a backup or to a replica that is catching up.
struct ReplicateRequest
{
    ReplicaSet set; ///< The committed set, whose primary is the sender.
    /// Incarnation of the receiver; any other one must refuse the message.
    std::uint64_t toIncarnation = 0;
    std::uint64_t previousSequence = 0; ///< Sequence of the entry before the first one sent.
    std::uint64_t previousEpoch = 0;
    std::uint64_t commitSequence = 0;
    std::uint64_t lastSequence = 0; ///< Last sequence in the primary's log.
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

/// The result of a ReplicateRequest.
enum class ReplicateState : std::uint8_t {
    Accepted, ///< The sender's lease is renewed, starting at its sentMs.
    Stale, ///< The replica has promised a later epoch.
    Gap, ///< Entries after lastSequence are missing.
    /// The replica runs under another incarnation, or the sender is not a valid primary.
    WrongMember,
    NotCaughtUp, ///< The replica has no state to which entries could be appended.
    Stopped, ///< The replica's disk has failed.
    Diverged, ///< The primary's log lacks entries that the replica knows to be committed.
};

/// The payload of a reply to MessageKind::Replicate and MessageKind::LeaseRenew.
struct ReplicateReply
{
    ReplicateState state = ReplicateState::Stopped;
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t requestEpoch = 0;
    std::uint64_t promisedEpoch = 0;
    /// With Accepted: last matching sequence, synced if there is a disk.
    std::uint64_t matchSequence = 0;
    std::uint64_t lastSequence = 0; ///< With Gap: last sequence that the replica holds.
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

/// The payload of MessageKind::Catchup, sent by a replica outside the set to the primary. Cursor 0
/// starts a new catch-up.
struct CatchupRequest
{
    std::string domain;
    ReplicaMember member;
    std::uint64_t cursor = 0;
    bool isDone = false; ///< All images are installed, so entries may be sent.

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
    bool isAccepted = false; ///< False if this is not the primary or the catch-up must restart.
    ReplicaSet set; ///< The latest set known to the sender.
    std::uint64_t memberIncarnation = 0; ///< From the request.
    std::uint64_t cursor = 0; ///< From the request.
    std::uint64_t nextCursor = 0;
    bool isLast = false;
    // With isLast: the log position after which entries are applied to the images, and the times of
    // the state.
    std::uint64_t baseSequence = 0;
    std::uint64_t baseEpoch = 0;
    std::uint64_t timeMs = 0;
    std::uint32_t maxEvictedIssueSeconds = 0;
    std::vector<ClaimImage> claims;

    auto operator<=>(const CatchupReply &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(isAccepted, set, memberIncarnation, cursor, nextCursor, isLast, baseSequence,
                baseEpoch, timeMs, maxEvictedIssueSeconds, claims);
    }
};

/// The role of a replica.
enum class LedgerRole : std::uint8_t { NonMember, Backup, Primary, Stopped };

/// The payload of a reply to MessageKind::LedgerStatus. The request has no payload.
struct LedgerStatusReply
{
    std::string instance;
    std::string domain;
    LedgerRole role = LedgerRole::NonMember;
    ReplicaSet set;
    bool hasDisk = false;
    /// It is the primary, holds its leases and the grace period has passed.
    bool isGranting = false;
    std::uint64_t lastSequence = 0;
    std::uint64_t commitSequence = 0;
    std::uint64_t claims = 0;
    std::uint64_t responseBytes = 0;
    std::uint64_t syncs = 0; ///< Journal syncs since the process started.
    std::uint64_t refusedMessages = 0;
    std::string problem; ///< Why the replica has stopped; empty while it runs.

    auto operator<=>(const LedgerStatusReply &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, domain, role, set, hasDisk, isGranting, lastSequence, commitSequence,
                claims, responseBytes, syncs, refusedMessages, problem);
    }
};

/// The kind of a journal or snapshot record.
enum class LedgerRecordKind : std::uint8_t {
    Entry = 1, ///< Appends an entry.
    Truncate, ///< Removes the entries after a sequence.
    Promise, ///< Promises to refuse primaries of earlier epochs.
    Reset, ///< Clears the state and starts a new incarnation.
    Images, ///< Adds claims.
    ImagesEnd, ///< The claims are complete; entries follow from sequence + 1.
};

/// One record of the journal or of a snapshot.
struct LedgerRecord
{
    LedgerRecordKind kind = LedgerRecordKind::Entry;
    /// Entry: committed sequence. Truncate, ImagesEnd: see LedgerRecordKind.
    std::uint64_t sequence = 0;
    /// Promise: promised epoch. ImagesEnd: epoch of the entry at sequence.
    std::uint64_t epoch = 0;
    std::uint64_t incarnation = 0; ///< Reset.
    std::uint64_t timeMs = 0; ///< ImagesEnd: ledger time.
    std::uint32_t maxEvictedIssueSeconds = 0; ///< ImagesEnd.
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
            archive(sequence, epoch, timeMs, maxEvictedIssueSeconds);
            break;
        default:
            throw cereal::Exception("unknown ledger record kind");
        }
    }
};

} // namespace Camphor
