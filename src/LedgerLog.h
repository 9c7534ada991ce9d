/// @file The log of one ledger replica: the applied state, plus the entries that may still be sent
/// or truncated. No I/O and no clock.
#pragma once

#include "LedgerMessages.h"
#include "LedgerState.h"
#include "Result.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace Camphor {

/// Holds the entries after the base sequence. A backup applies an entry once it is committed, so
/// that it can still truncate entries that a new primary does not have. A primary applies entries
/// at once.
class LedgerLog
{
public:
    explicit LedgerLog(const RetentionDeclaration &retention = {})
        : m_state(retention)
    {
    }

    [[nodiscard]] const LedgerState &state() const { return m_state; }
    [[nodiscard]] std::uint64_t base() const { return m_base; }
    [[nodiscard]] std::uint64_t last() const { return m_base + m_entries.size(); }
    [[nodiscard]] std::uint64_t committed() const { return m_committed; }
    /// Highest epoch promised or seen in an entry.
    [[nodiscard]] std::uint64_t promisedEpoch() const { return m_promisedEpoch; }
    /// Incarnation under which the data was stored; 0 if there is none.
    [[nodiscard]] std::uint64_t incarnation() const { return m_incarnation; }
    /// False from a reset until all images are restored.
    [[nodiscard]] bool isComplete() const { return m_isComplete; }
    /// The epoch of a retained entry or of the base.
    [[nodiscard]] std::optional<std::uint64_t> epochAt(std::uint64_t sequence) const;
    /// Entries from a sequence on, up to about maxBytes but at least one if any exists.
    [[nodiscard]] std::vector<LedgerEntry> entriesFrom(std::uint64_t sequence,
                                                       std::size_t maxBytes) const;

    void setRetention(const RetentionDeclaration &retention) { m_state.setRetention(retention); }
    void append(LedgerEntry entry);
    /// Removes the entries after a sequence. None of them may have been applied.
    void truncate(std::uint64_t sequence);
    /// Marks entries as committed and applies them.
    void commit(std::uint64_t sequence);
    void applyAll();
    /// Discards the committed entries up to a sequence.
    void trim(std::uint64_t sequence);
    void promise(std::uint64_t epoch);

    /// Replays a record of the journal or of a snapshot. Fails if the record does not fit the
    /// current state.
    [[nodiscard]] Status replay(LedgerRecord record);

private:
    void applyTo(std::uint64_t sequence);

    LedgerState m_state;
    std::deque<LedgerEntry> m_entries; ///< The first one has sequence m_base + 1.
    std::uint64_t m_base = 0;
    std::uint64_t m_baseEpoch = 0;
    std::uint64_t m_applied = 0;
    std::uint64_t m_committed = 0;
    std::uint64_t m_promisedEpoch = 0;
    std::uint64_t m_incarnation = 0;
    bool m_isComplete = true;
};

} // namespace Camphor
