#include "LedgerLog.h"

#include <algorithm>
#include <utility>

namespace Camphor {

namespace {

std::size_t sizeOf(const LedgerEntry &entry)
{
    return sizeof(LedgerEntry) + entry.executor.instance.size() + entry.response.size();
}

} // namespace

std::optional<std::uint64_t> LedgerLog::epochAt(std::uint64_t sequence) const
{
    if (sequence == m_base)
        return m_baseEpoch;
    if (sequence < m_base || sequence > last())
        return std::nullopt;
    return m_entries[sequence - m_base - 1].epoch;
}

std::vector<LedgerEntry> LedgerLog::entriesFrom(std::uint64_t sequence, std::size_t maxBytes) const
{
    CAMPHOR_ASSERT(sequence > m_base);
    std::vector<LedgerEntry> entries;
    std::size_t bytes = 0;
    for (auto n = sequence - m_base - 1;
         n < m_entries.size() && (entries.empty() || bytes < maxBytes); ++n) {
        // The limit is checked before an entry is added, so that two long responses never end up in
        // one frame.
        if (!entries.empty() && bytes + sizeOf(m_entries[n]) > maxBytes)
            break;
        bytes += sizeOf(m_entries[n]);
        entries.push_back(m_entries[n]);
    }
    return entries;
}

void LedgerLog::append(LedgerEntry entry)
{
    CAMPHOR_ASSERT(entry.sequence == last() + 1);
    m_promisedEpoch = std::max(m_promisedEpoch, entry.epoch);
    m_entries.push_back(std::move(entry));
}

void LedgerLog::truncate(std::uint64_t sequence)
{
    CAMPHOR_ASSERT(sequence >= m_applied);
    while (last() > sequence)
        m_entries.pop_back();
}

void LedgerLog::commit(std::uint64_t sequence)
{
    CAMPHOR_ASSERT(sequence <= last());
    m_committed = std::max(m_committed, sequence);
    applyTo(m_committed);
}

void LedgerLog::applyAll() { applyTo(last()); }

void LedgerLog::applyTo(std::uint64_t sequence)
{
    while (m_applied < sequence) {
        m_state.apply(m_entries[m_applied - m_base]);
        ++m_applied;
    }
}

void LedgerLog::trim(std::uint64_t sequence)
{
    const auto end = std::min(sequence, m_committed);
    while (m_base < end) {
        m_baseEpoch = m_entries.front().epoch;
        m_entries.pop_front();
        ++m_base;
    }
}

void LedgerLog::promise(std::uint64_t epoch) { m_promisedEpoch = std::max(m_promisedEpoch, epoch); }

Status LedgerLog::replay(LedgerRecord record)
{
    switch (record.kind) {
    case LedgerRecordKind::Entry: {
        const auto sequence = record.entry.sequence;
        if (sequence > last() + 1)
            return Error{ErrorCode::Storage, "entries before this one are missing"};
        if (sequence == last() + 1)
            append(std::move(record.entry));
        // A record at the start of a new journal file may repeat an earlier one and then adds
        // nothing.
        commit(std::min(record.sequence, last()));
        trim(m_committed);
        return okStatus();
    }
    case LedgerRecordKind::Truncate:
        if (record.sequence < m_applied)
            return Error{ErrorCode::Storage, "truncation would remove a committed entry"};
        truncate(record.sequence);
        return okStatus();
    case LedgerRecordKind::Promise:
        promise(record.epoch);
        return okStatus();
    case LedgerRecordKind::Reset: {
        const auto promised = m_promisedEpoch;
        *this = LedgerLog(m_state.retention());
        m_promisedEpoch = promised;
        m_incarnation = record.incarnation;
        m_isComplete = false;
        return okStatus();
    }
    case LedgerRecordKind::Images:
        for (const auto &claim : record.claims)
            m_state.restore(claim);
        return okStatus();
    case LedgerRecordKind::ImagesEnd:
        if (!m_entries.empty() || m_isComplete)
            return Error{ErrorCode::Storage, "end of images without a preceding reset"};
        m_state.finishRestore(record.timeMs, record.maxEvictedIssueSeconds);
        m_base = m_applied = m_committed = record.sequence;
        m_baseEpoch = record.epoch;
        promise(record.epoch);
        m_isComplete = true;
        return okStatus();
    }
    return Error{ErrorCode::Storage, "unknown record kind"};
}

} // namespace Camphor
