/// @file What one ledger remembers: claims by key, outcomes and answers. No I/O and no clock.
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

/// 128-bit XXH3 of a key. The key itself is not kept, which bounds the memory of a claim. Two keys
/// with one hash are refused as a payload mismatch or as running; neither is granted twice.
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

/// What a log entry does.
enum class LedgerEntryKind : std::uint8_t { Claim, Finish };

/// One change of a ledger's state, as it is replicated and written to the journal.
struct LedgerEntry
{
    std::uint64_t sequence = 0; ///< Position in the log, from 1.
    std::uint64_t epoch = 0; ///< Of the replica set whose primary made the entry.
    /// Ledger time: milliseconds that primaries have been in office, so it never runs faster than
    /// real time and does not depend on wall clocks.
    std::uint64_t timeMs = 0;
    std::uint64_t forgetBeforeMs = 0; ///< Claims older than this ledger time may be forgotten.
    LedgerEntryKind kind = LedgerEntryKind::Claim;
    KeyHash key;
    std::uint64_t nonceHash = 0;
    // Of a claim.
    std::uint64_t payloadHash = 0;
    Executor executor;
    std::uint32_t taskCount = 0;
    std::int64_t issueTimeMs = 0; ///< Of a ticket, otherwise 0.
    // Of a finish.
    Outcome outcome = Outcome::Unknown;
    std::uint32_t started = 0;
    std::string answer;

    auto operator<=>(const LedgerEntry &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, epoch, timeMs, forgetBeforeMs, kind, key, nonceHash);
        if (kind == LedgerEntryKind::Claim)
            archive(payloadHash, executor, taskCount, issueTimeMs);
        else
            archive(outcome, started, answer);
    }
};

/// Where a remembered claim stands.
enum class ClaimStage : std::uint8_t { Running, Stored, Released };

/// One remembered claim in full, for snapshots and for the catch-up of a new replica.
struct ClaimImage
{
    KeyHash key;
    std::uint64_t payloadHash = 0;
    std::uint64_t nonceHash = 0;
    Executor executor;
    std::uint32_t taskCount = 0;
    std::uint32_t started = 0;
    std::uint32_t time = 0; ///< Ledger time of the last change, in units of 100 ms.
    std::uint32_t issueSeconds = 0; ///< Issue time of a ticket, rounded up; otherwise 0.
    ClaimStage stage = ClaimStage::Running;
    Outcome outcome = Outcome::Unknown;
    bool hasAnswer = false;
    std::string answer;

    auto operator<=>(const ClaimImage &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, payloadHash, nonceHash, executor, taskCount, started, time, issueSeconds,
                stage, outcome, hasAnswer, answer);
    }
};

/// A part of a state's claims.
struct ClaimImages
{
    std::vector<ClaimImage> claims;
    std::uint64_t nextCursor = 0;
    bool isLast = false;
};

/// What a ledger decides about a call, and the entry that must be committed before it is answered.
struct LedgerDecision
{
    ClaimReply reply;
    bool isRecorded = false; ///< For a finish.
    std::optional<LedgerEntry> entry; ///< Without sequence, epoch and times.
};

/// The claims of one ledger. Decisions are made by the primary only. Entries are applied without a
/// check and overwrite what is there, so that a replica may apply an entry to a state that already
/// holds its effect.
class LedgerState
{
public:
    explicit LedgerState(RetentionDeclaration retention = {});

    void setRetention(const RetentionDeclaration &retention) { m_retention = retention; }
    [[nodiscard]] const RetentionDeclaration &retention() const { return m_retention; }

    /// @param wallMs the wall clock, only to judge the age of tickets. @param timeMs ledger time.
    [[nodiscard]] LedgerDecision decideClaim(const ClaimRequest &request, std::int64_t wallMs,
                                             std::uint64_t timeMs) const;
    [[nodiscard]] LedgerDecision decideFinish(const FinishRequest &request) const;
    [[nodiscard]] ClaimReply query(std::string_view key, std::int64_t wallMs) const;

    void apply(const LedgerEntry &entry);

    /// Claims from a cursor on, about maxBytes of them. Claims that change while a reader goes
    /// through the cursors may be seen in either form; applying the entries since the start over
    /// the images gives the right state.
    [[nodiscard]] ClaimImages images(std::uint64_t cursor, std::size_t maxBytes) const;
    /// Adds or overwrites one claim.
    void restore(const ClaimImage &image);
    /// To be called after the last restore().
    void finishRestore(std::uint64_t timeMs, std::uint32_t forgottenIssueSeconds);

    [[nodiscard]] std::size_t size() const { return m_order.size(); }
    [[nodiscard]] std::size_t answerBytes() const { return m_answerBytes; }
    /// Ledger time of the last applied entry, in milliseconds.
    [[nodiscard]] std::uint64_t timeMs() const { return m_timeMs; }
    /// Greatest issue time of a forgotten ticket, in seconds. A ticket up to it that is not
    /// remembered may have been granted, whatever the wall clock says.
    [[nodiscard]] std::uint32_t forgottenIssueSeconds() const { return m_forgottenIssueSeconds; }

private:
    struct Record
    {
        KeyHash key;
        std::uint64_t payloadHash = 0;
        std::uint64_t nonceHash = 0;
        std::uint32_t executor = 0; ///< Index into m_executors.
        std::uint32_t taskCount = 0;
        std::uint32_t started = 0;
        std::uint32_t time = 0; ///< As in ClaimImage.
        std::uint32_t issueSeconds = 0;
        std::uint32_t answer = 0; ///< Number of the answer, counted from the first one ever.
        ClaimStage stage = ClaimStage::Running;
        std::uint8_t outcome = 0;
        bool hasAnswer = false;
        bool isUsed = false;
    };
    struct Turn
    {
        std::uint32_t slot = 0;
        std::uint32_t time = 0; ///< Time of the record when it got this place.
    };
    struct Answer
    {
        std::uint32_t slot = 0;
        bool isUsed = false;
        std::string text;
    };

    [[nodiscard]] std::optional<std::uint32_t> find(const KeyHash &key) const;
    [[nodiscard]] std::size_t home(const KeyHash &key) const
    {
        return key.low & (m_index.size() - 1);
    }
    std::uint32_t findOrInsert(const KeyHash &key, std::uint32_t time);
    void index(std::uint32_t slot);
    void growIndex();
    void removeFromIndex(const KeyHash &key);
    void forgetOld(std::uint64_t beforeMs);
    void forgetFront();
    std::uint32_t internExecutor(const Executor &executor);
    void storeAnswer(std::uint32_t slot, const std::string &text);
    void dropAnswer(Record &record);
    void dropOldAnswers();
    [[nodiscard]] const std::string &answerOf(const Record &record) const;
    [[nodiscard]] ClaimReply storedReply(const Record &record) const;
    [[nodiscard]] bool isExpired(std::int64_t issueTimeMs, std::int64_t wallMs) const;
    [[nodiscard]] bool isFull(std::uint64_t timeMs) const;

    RetentionDeclaration m_retention;
    std::deque<Record> m_records; ///< By slot. A deque grows without moving its records.
    std::vector<std::uint32_t> m_freeSlots;
    std::vector<std::uint32_t> m_index; ///< Open addressing; slot plus 1, or 0. A power of two.
    std::deque<Turn> m_order; ///< Every used slot once, in the order of forgetting.
    std::vector<Executor> m_executors;
    std::map<Executor, std::uint32_t> m_executorIds;
    std::deque<Answer> m_answers; ///< In the order of their storing.
    std::uint32_t m_firstAnswer = 0; ///< Number of m_answers.front().
    std::size_t m_answerBytes = 0;
    std::uint64_t m_timeMs = 0;
    std::uint32_t m_forgottenIssueSeconds = 0;
};

} // namespace Camphor
