/// @file The state of one ledger: claims by key, with their outcomes and responses. No I/O and no
/// clock.
#pragma once

#include "Declaration.h"
#include "SubmissionLedger.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Camphor {

/// 128-bit XXH3 hash of a key. Storing only the hash bounds the memory per claim. Keys with equal
/// hashes share one record, so the second one is refused as a payload mismatch or, with an equal
/// payload, reported as running or stored; neither is granted twice.
struct KeyHash
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    [[nodiscard]] static KeyHash of(std::string_view key);

    auto operator<=>(const KeyHash &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(high, low);
    }
};

/// The kind of a log entry.
enum class LedgerEntryKind : std::uint8_t { Claim, Finish };

/// One change of a ledger's state, as replicated and journaled.
struct LedgerEntry
{
    std::uint64_t sequence = 0; ///< Position in the log, from 1.
    std::uint64_t epoch = 0; ///< Epoch of the replica set whose primary created the entry.
    /// Ledger time in milliseconds. It advances only while a primary is in office, so it never runs
    /// faster than real time and does not depend on wall clocks.
    std::uint64_t timeMs = 0;
    std::uint64_t evictBeforeMs = 0; ///< Claims older than this ledger time may be evicted.
    LedgerEntryKind kind = LedgerEntryKind::Claim;
    KeyHash key;
    std::uint64_t nonceHash = 0;
    // Of a claim.
    std::uint64_t payloadHash = 0;
    Executor executor;
    std::uint32_t taskCount = 0;
    std::int64_t issueTimeMs = 0; ///< Issue time of a ticket; 0 for other keys.
    // Of a finish.
    Outcome outcome = Outcome::Unknown;
    std::uint32_t started = 0;
    std::string response;

    auto operator<=>(const LedgerEntry &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, epoch, timeMs, evictBeforeMs, kind, key, nonceHash);
        if (kind == LedgerEntryKind::Claim)
            archive(payloadHash, executor, taskCount, issueTimeMs);
        else
            archive(outcome, started, response);
    }
};

/// The stage of a retained claim. Released means that it ended as not run and its key may be
/// claimed again.
enum class ClaimStage : std::uint8_t { Running, Stored, Released };

/// All fields of one claim, for snapshots and for the catch-up of a new replica.
struct ClaimImage
{
    KeyHash key;
    std::uint64_t payloadHash = 0;
    std::uint64_t nonceHash = 0;
    Executor executor;
    std::uint32_t taskCount = 0;
    std::uint32_t started = 0;
    std::uint32_t time = 0; ///< Ledger time of the last change, in units of 100 ms.
    std::uint32_t issueSeconds = 0; ///< Issue time of a ticket, rounded up; 0 for other keys.
    ClaimStage stage = ClaimStage::Running;
    Outcome outcome = Outcome::Unknown;
    bool hasResponse = false;
    std::string response;

    auto operator<=>(const ClaimImage &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, payloadHash, nonceHash, executor, taskCount, started, time, issueSeconds,
                stage, outcome, hasResponse, response);
    }
};

/// A page of a state's claims.
struct ClaimImages
{
    std::vector<ClaimImage> claims;
    std::uint64_t nextCursor = 0;
    bool isLast = false;
};

/// The reply to a call, and the entry, if any, that must be committed before it is sent.
struct LedgerDecision
{
    ClaimReply reply;
    bool isRecorded = false; ///< Result of a finish call.
    std::optional<LedgerEntry> entry; ///< Sequence, epoch and times are not set yet.
};

/// The claims of one ledger. Only the primary decides about calls. Applying an entry checks nothing
/// and overwrites existing fields, so it is idempotent: a replica may apply an entry to a state
/// that already contains its effect.
class LedgerState
{
public:
    explicit LedgerState(RetentionDeclaration retention = {});

    void setRetention(const RetentionDeclaration &retention) { m_retention = retention; }
    [[nodiscard]] const RetentionDeclaration &retention() const { return m_retention; }

    /// @param wallMs wall clock, used only for the age of tickets. @param timeMs ledger time.
    [[nodiscard]] LedgerDecision decideClaim(const ClaimRequest &request, std::int64_t wallMs,
                                             std::uint64_t timeMs) const;
    [[nodiscard]] LedgerDecision decideFinish(const FinishRequest &request) const;
    [[nodiscard]] ClaimReply query(std::string_view key, std::int64_t wallMs) const;

    void apply(const LedgerEntry &entry);

    /// Claims from a cursor on, about maxBytes of them. A claim that changes while a reader
    /// iterates may be returned in its old or its new form; applying all entries since the start of
    /// the iteration over the images gives the correct state.
    [[nodiscard]] ClaimImages images(std::uint64_t cursor, std::size_t maxBytes) const;
    /// Adds or overwrites one claim.
    void restore(const ClaimImage &image);
    /// Must be called after the last restore().
    void finishRestore(std::uint64_t timeMs, std::uint32_t maxEvictedIssueSeconds);

    [[nodiscard]] std::size_t size() const { return m_evictionQueue.size(); }
    [[nodiscard]] std::size_t responseBytes() const { return m_responseBytes; }
    /// Ledger time of the last applied entry, in milliseconds.
    [[nodiscard]] std::uint64_t timeMs() const { return m_timeMs; }
    /// Latest issue time of an evicted ticket, in seconds. A ticket that was issued no later and is
    /// not retained may have been granted, whatever the wall clock shows.
    [[nodiscard]] std::uint32_t maxEvictedIssueSeconds() const { return m_maxEvictedIssueSeconds; }

private:
    struct Record
    {
        KeyHash key;
        std::uint64_t payloadHash = 0;
        std::uint64_t nonceHash = 0;
        std::uint32_t executor = 0; ///< Index into m_executors.
        std::uint32_t taskCount = 0;
        std::uint32_t started = 0;
        std::uint32_t time = 0; ///< Same unit as ClaimImage::time.
        std::uint32_t issueSeconds = 0;
        /// Sequence number of the stored response, counted over all responses ever stored.
        std::uint32_t response = 0;
        ClaimStage stage = ClaimStage::Running;
        std::uint8_t outcome = 0;
        bool hasResponse = false;
        bool isInUse = false;
    };
    struct EvictionEntry
    {
        std::uint32_t slot = 0;
        /// Time of the record when it was queued; the record may have changed since.
        std::uint32_t time = 0;
    };
    struct StoredResponse
    {
        std::uint32_t slot = 0;
        bool isInUse = false;
        std::string text;
    };

    [[nodiscard]] std::optional<std::uint32_t> find(const KeyHash &key) const;
    [[nodiscard]] std::size_t probeStart(const KeyHash &key) const
    {
        return key.low & (m_index.size() - 1);
    }
    std::uint32_t findOrInsert(const KeyHash &key, std::uint32_t time);
    void addToIndex(std::uint32_t slot);
    void growIndex();
    void removeFromIndex(const KeyHash &key);
    void evictExpired(std::uint64_t beforeMs);
    void evictOldest();
    std::uint32_t internExecutor(const Executor &executor);
    void storeResponse(std::uint32_t slot, const std::string &text);
    void discardResponse(Record &record);
    void evictResponses();
    [[nodiscard]] const std::string &responseOf(const Record &record) const;
    [[nodiscard]] ClaimReply storedReply(const Record &record) const;
    [[nodiscard]] bool isExpired(std::int64_t issueTimeMs, std::int64_t wallMs) const;
    [[nodiscard]] bool isFull(std::uint64_t timeMs) const;

    RetentionDeclaration m_retention;
    std::deque<Record> m_records; ///< Indexed by slot. A deque grows without moving its elements.
    std::vector<std::uint32_t> m_freeSlots;
    /// Hash table with open addressing: slot plus 1, or 0 if empty. Its size is a power of two.
    std::vector<std::uint32_t> m_index;
    std::deque<EvictionEntry> m_evictionQueue; ///< Every slot in use, once, oldest first.
    std::vector<Executor> m_executors;
    std::map<Executor, std::uint32_t> m_executorIds;
    std::deque<StoredResponse> m_responses; ///< Oldest first.
    std::uint32_t m_firstResponse = 0; ///< Sequence number of m_responses.front().
    std::size_t m_responseBytes = 0;
    std::uint64_t m_timeMs = 0;
    std::uint32_t m_maxEvictedIssueSeconds = 0;
};

} // namespace Camphor
