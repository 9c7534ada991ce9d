#include "LedgerState.h"

#include "LedgerHome.h"
#include "LedgerMessages.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace Camphor {

namespace {

constexpr std::uint64_t TimeUnitMs = 100;

/// A ticket with a later issue time is refused: on eviction it would raise the latest evicted issue
/// time above that of valid tickets, which would then count as expired.
constexpr std::int64_t MaxIssueAheadMs = 60'000;

/// Maximum evictions per applied entry. More than one, so that the ledger shrinks under load; a
/// small number, so that the first entry after an idle period does not take long.
constexpr int MaxEvictionsPerEntry = 64;

/// Memory of a stored response beyond its text: the list element and the allocation.
constexpr std::size_t ResponseOverheadBytes = 64;

std::uint64_t hashOf(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

std::uint32_t secondsRoundedUp(std::int64_t ms)
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>((ms + 999) / 1000, 0, std::numeric_limits<std::uint32_t>::max()));
}

std::int64_t issueTimeOf(std::string_view key)
{
    const auto ticket = Ticket::parse(key);
    return ticket ? std::max<std::int64_t>(ticket->issueTimeMs, 1) : 0;
}

} // namespace

KeyHash KeyHash::of(std::string_view key)
{
    const auto hash = XXH3_128bits(key.data(), key.size());
    return {hash.high64, hash.low64};
}

LedgerState::LedgerState(RetentionDeclaration retention)
    : m_retention(retention)
    , m_index(16)
{
}

LedgerDecision LedgerState::decideClaim(const ClaimRequest &request, std::int64_t wallMs,
                                        std::uint64_t timeMs) const
{
    LedgerDecision decision;
    const auto key = KeyHash::of(request.key);
    const auto nonceHash = hashOf(request.nonce);
    const auto issueTimeMs = issueTimeOf(request.key);
    if (const auto slot = find(key)) {
        const auto &record = m_records[*slot];
        const bool isResend = record.nonceHash == nonceHash;
        // A delayed duplicate of a released claim must not be granted, because its sender no longer
        // waits for the reply.
        if (record.stage == ClaimStage::Released && isResend) {
            decision.reply = storedReply(record);
            return decision;
        }
        if (record.stage != ClaimStage::Released) {
            if (record.payloadHash != request.payloadHash) {
                decision.reply.state = ClaimState::PayloadMismatch;
            } else if (record.stage == ClaimStage::Stored) {
                decision.reply = storedReply(record);
            } else {
                decision.reply.state = isResend ? ClaimState::Granted : ClaimState::Running;
                decision.reply.executor = m_executors[record.executor];
                decision.reply.taskCount = record.taskCount;
            }
            return decision;
        }
    } else if (issueTimeMs != 0 && isExpired(issueTimeMs, wallMs)) {
        decision.reply.state = ClaimState::Expired;
        return decision;
    } else if (isFull(timeMs)) {
        decision.reply.state = ClaimState::Full;
        return decision;
    }
    decision.reply.state = ClaimState::Granted;
    decision.reply.executor = request.executor;
    decision.reply.taskCount = request.taskCount;
    LedgerEntry entry;
    entry.kind = LedgerEntryKind::Claim;
    entry.key = key;
    entry.nonceHash = nonceHash;
    entry.payloadHash = request.payloadHash;
    entry.executor = request.executor;
    entry.taskCount = request.taskCount;
    entry.issueTimeMs = issueTimeMs;
    decision.entry = std::move(entry);
    return decision;
}

LedgerDecision LedgerState::decideFinish(const FinishRequest &request) const
{
    LedgerDecision decision;
    const auto slot = find(KeyHash::of(request.key));
    if (!slot)
        return decision;
    const auto &record = m_records[*slot];
    const auto nonceHash = hashOf(request.nonce);
    // Only the holder of the granted claim may finish it, and NotRun with started tasks is
    // contradictory.
    if (record.nonceHash != nonceHash || m_executors[record.executor] != request.executor
        || (request.outcome == Outcome::NotRun && request.started != 0)) {
        return decision;
    }
    if (record.stage != ClaimStage::Running) {
        const bool wasNotRun = record.stage == ClaimStage::Released;
        decision.isRecorded = wasNotRun
            ? request.outcome == Outcome::NotRun
            : static_cast<std::uint8_t>(request.outcome) == record.outcome;
        return decision;
    }
    decision.isRecorded = true;
    LedgerEntry entry;
    entry.kind = LedgerEntryKind::Finish;
    entry.key = record.key;
    entry.nonceHash = nonceHash;
    entry.outcome = request.outcome;
    entry.started = request.started;
    if (request.response.size() <= MaxStoredResponseBytes)
        entry.response = request.response;
    decision.entry = std::move(entry);
    return decision;
}

ClaimReply LedgerState::query(std::string_view key, std::int64_t wallMs) const
{
    ClaimReply reply;
    if (const auto slot = find(KeyHash::of(key))) {
        const auto &record = m_records[*slot];
        if (record.stage != ClaimStage::Running)
            return storedReply(record);
        reply.state = ClaimState::Running;
        reply.executor = m_executors[record.executor];
        reply.taskCount = record.taskCount;
        return reply;
    }
    const auto issueTimeMs = issueTimeOf(key);
    reply.state = issueTimeMs != 0 && isExpired(issueTimeMs, wallMs) ? ClaimState::Expired
                                                                     : ClaimState::Absent;
    return reply;
}

void LedgerState::apply(const LedgerEntry &entry)
{
    m_timeMs = std::max(m_timeMs, entry.timeMs);
    const auto time = static_cast<std::uint32_t>(m_timeMs / TimeUnitMs);
    if (entry.kind == LedgerEntryKind::Claim) {
        const auto slot = findOrInsert(entry.key, time);
        auto &record = m_records[slot];
        discardResponse(record);
        record.payloadHash = entry.payloadHash;
        record.nonceHash = entry.nonceHash;
        record.executor = internExecutor(entry.executor);
        record.taskCount = entry.taskCount;
        record.started = 0;
        record.issueSeconds = secondsRoundedUp(entry.issueTimeMs);
        record.stage = ClaimStage::Running;
        record.time = time;
    } else if (const auto slot = find(entry.key)) {
        auto &record = m_records[*slot];
        discardResponse(record);
        record.outcome = static_cast<std::uint8_t>(entry.outcome);
        record.started = entry.started;
        record.stage = entry.outcome == Outcome::NotRun ? ClaimStage::Released : ClaimStage::Stored;
        record.time = time;
        // A response above the size limit was replaced by an empty one, which is stored like any
        // other.
        storeResponse(*slot, entry.response);
    }
    evictExpired(entry.evictBeforeMs);
    evictResponses();
}

ClaimImages LedgerState::images(std::uint64_t cursor, std::size_t maxBytes) const
{
    ClaimImages result;
    std::size_t bytes = 0;
    while (cursor < m_records.size() && bytes < maxBytes) {
        const auto &record = m_records[cursor++];
        if (!record.isInUse)
            continue;
        ClaimImage image;
        image.key = record.key;
        image.payloadHash = record.payloadHash;
        image.nonceHash = record.nonceHash;
        image.executor = m_executors[record.executor];
        image.taskCount = record.taskCount;
        image.started = record.started;
        image.time = record.time;
        image.issueSeconds = record.issueSeconds;
        image.stage = record.stage;
        image.outcome = static_cast<Outcome>(record.outcome);
        image.hasResponse = record.hasResponse;
        if (record.hasResponse)
            image.response = responseOf(record);
        bytes += sizeof(Record) + image.executor.instance.size() + image.response.size();
        result.claims.push_back(std::move(image));
    }
    result.nextCursor = cursor;
    result.isLast = cursor >= m_records.size();
    return result;
}

void LedgerState::restore(const ClaimImage &image)
{
    const auto slot = findOrInsert(image.key, image.time);
    auto &record = m_records[slot];
    discardResponse(record);
    record.payloadHash = image.payloadHash;
    record.nonceHash = image.nonceHash;
    record.executor = internExecutor(image.executor);
    record.taskCount = image.taskCount;
    record.started = image.started;
    record.time = image.time;
    record.issueSeconds = image.issueSeconds;
    record.stage = image.stage;
    record.outcome = static_cast<std::uint8_t>(image.outcome);
    if (image.hasResponse)
        storeResponse(slot, image.response);
    evictResponses();
}

void LedgerState::finishRestore(std::uint64_t timeMs, std::uint32_t maxEvictedIssueSeconds)
{
    m_timeMs = std::max(m_timeMs, timeMs);
    m_maxEvictedIssueSeconds = std::max(m_maxEvictedIssueSeconds, maxEvictedIssueSeconds);
    for (auto &queued : m_evictionQueue)
        queued.time = m_records[queued.slot].time;
    std::ranges::stable_sort(m_evictionQueue, {}, &EvictionEntry::time);
}

std::optional<std::uint32_t> LedgerState::find(const KeyHash &key) const
{
    for (auto n = probeStart(key); m_index[n] != 0; n = (n + 1) & (m_index.size() - 1)) {
        const auto slot = m_index[n] - 1;
        if (m_records[slot].key == key)
            return slot;
    }
    return std::nullopt;
}

std::uint32_t LedgerState::findOrInsert(const KeyHash &key, std::uint32_t time)
{
    if (const auto slot = find(key))
        return *slot;
    std::uint32_t slot = 0;
    if (m_freeSlots.empty()) {
        slot = static_cast<std::uint32_t>(m_records.size());
        m_records.emplace_back();
    } else {
        slot = m_freeSlots.back();
        m_freeSlots.pop_back();
        m_records[slot] = {};
    }
    m_records[slot].key = key;
    m_records[slot].isInUse = true;
    m_evictionQueue.push_back({slot, time});
    if (m_evictionQueue.size() * 4 > m_index.size() * 3)
        growIndex();
    else
        addToIndex(slot);
    return slot;
}

void LedgerState::addToIndex(std::uint32_t slot)
{
    auto n = probeStart(m_records[slot].key);
    while (m_index[n] != 0)
        n = (n + 1) & (m_index.size() - 1);
    m_index[n] = slot + 1;
}

void LedgerState::growIndex()
{
    m_index.assign(m_index.size() * 2, 0);
    for (const auto &queued : m_evictionQueue)
        addToIndex(queued.slot);
}

void LedgerState::removeFromIndex(const KeyHash &key)
{
    const auto mask = m_index.size() - 1;
    auto freePosition = probeStart(key);
    while (m_records[m_index[freePosition] - 1].key != key)
        freePosition = (freePosition + 1) & mask;
    // Shift later entries of the probe sequence back, so that no lookup ends early.
    for (auto n = (freePosition + 1) & mask; m_index[n] != 0; n = (n + 1) & mask) {
        const auto start = probeStart(m_records[m_index[n] - 1].key);
        if (((n - start) & mask) >= ((n - freePosition) & mask)) {
            m_index[freePosition] = m_index[n];
            freePosition = n;
        }
    }
    m_index[freePosition] = 0;
}

void LedgerState::evictExpired(std::uint64_t beforeMs)
{
    const auto before = beforeMs / TimeUnitMs;
    for (int n = 0; n < MaxEvictionsPerEntry && !m_evictionQueue.empty(); ++n) {
        const auto queued = m_evictionQueue.front();
        if (queued.time >= before)
            return;
        const auto lastChange = m_records[queued.slot].time;
        if (lastChange < before) {
            evictOldest();
        } else {
            // The record has changed since it was queued, so its retention period restarts.
            m_evictionQueue.pop_front();
            m_evictionQueue.push_back({queued.slot, lastChange});
        }
    }
}

void LedgerState::evictOldest()
{
    const auto slot = m_evictionQueue.front().slot;
    m_evictionQueue.pop_front();
    auto &record = m_records[slot];
    m_maxEvictedIssueSeconds = std::max(m_maxEvictedIssueSeconds, record.issueSeconds);
    discardResponse(record);
    removeFromIndex(record.key);
    record.isInUse = false;
    m_freeSlots.push_back(slot);
}

std::uint32_t LedgerState::internExecutor(const Executor &executor)
{
    const auto next = static_cast<std::uint32_t>(m_executors.size());
    const auto [it, isNew] = m_executorIds.try_emplace(executor, next);
    if (isNew)
        m_executors.push_back(executor);
    return it->second;
}

void LedgerState::storeResponse(std::uint32_t slot, const std::string &text)
{
    auto &record = m_records[slot];
    record.response = m_firstResponse + static_cast<std::uint32_t>(m_responses.size());
    record.hasResponse = true;
    m_responses.push_back({slot, true, text});
    m_responseBytes += text.size() + ResponseOverheadBytes;
}

void LedgerState::discardResponse(Record &record)
{
    if (!record.hasResponse)
        return;
    auto &response = m_responses[record.response - m_firstResponse];
    m_responseBytes -= response.text.size() + ResponseOverheadBytes;
    response = {};
    record.hasResponse = false;
}

void LedgerState::evictResponses()
{
    while (!m_responses.empty()) {
        const auto &front = m_responses.front();
        if (front.isInUse) {
            if (m_responseBytes <= static_cast<std::size_t>(m_retention.maxResponseBytes))
                return;
            discardResponse(m_records[front.slot]);
        }
        m_responses.pop_front();
        ++m_firstResponse;
    }
}

const std::string &LedgerState::responseOf(const Record &record) const
{
    return m_responses[record.response - m_firstResponse].text;
}

ClaimReply LedgerState::storedReply(const Record &record) const
{
    ClaimReply reply;
    reply.state = ClaimState::Stored;
    reply.executor = m_executors[record.executor];
    reply.taskCount = record.taskCount;
    reply.outcome = static_cast<Outcome>(record.outcome);
    reply.started = record.started;
    if (record.hasResponse) {
        reply.response = responseOf(record);
        reply.hasResponse = reply.outcome == Outcome::Completed;
    }
    return reply;
}

bool LedgerState::isExpired(std::int64_t issueTimeMs, std::int64_t wallMs) const
{
    // The latest evicted issue time decides even if wall clocks disagree or step back: a ticket
    // issued after it was never evicted, so if it is not retained it was never granted.
    return issueTimeMs <= std::int64_t{m_maxEvictedIssueSeconds} * 1000
        || issueTimeMs < wallMs - static_cast<std::int64_t>(m_retention.claimWindow.count())
        || issueTimeMs > wallMs + MaxIssueAheadMs;
}

bool LedgerState::isFull(std::uint64_t timeMs) const
{
    if (m_evictionQueue.size() < static_cast<std::size_t>(m_retention.maxClaims))
        return false;
    // Applying the entry of a new claim evicts the oldest one if its retention has expired.
    const auto windowMs = static_cast<std::uint64_t>(m_retention.claimWindow.count());
    const auto before = timeMs > windowMs ? (timeMs - windowMs) / TimeUnitMs : 0;
    return m_records[m_evictionQueue.front().slot].time >= before;
}

} // namespace Camphor
