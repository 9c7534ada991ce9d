#include "LedgerState.h"

#include "LedgerHome.h"
#include "LedgerMessages.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace Camphor {

namespace {

constexpr std::uint64_t TimeUnitMs = 100;

/// A ticket that claims to be issued later than this after now is refused, because its time would
/// push the mark of forgotten tickets ahead of all honest ones.
constexpr std::int64_t MaxIssueAheadMs = 60'000;

/// Most claims that one entry forgets. More than one, so that the ledger shrinks under load; few,
/// so that no entry takes long after a quiet time.
constexpr int MaxForgottenPerEntry = 64;

/// Bytes of an answer beyond its text: the list element and the allocation.
constexpr std::size_t AnswerOverheadBytes = 64;

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
        // A late copy of a claim that was released must not be granted: nobody waits for it.
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
    // Only the claim that was granted may end it, and NotRun with started tasks is a contradiction.
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
    if (request.answer.size() <= MaxStoredAnswerBytes)
        entry.answer = request.answer;
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
        dropAnswer(record);
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
        dropAnswer(record);
        record.outcome = static_cast<std::uint8_t>(entry.outcome);
        record.started = entry.started;
        record.stage = entry.outcome == Outcome::NotRun ? ClaimStage::Released : ClaimStage::Stored;
        record.time = time;
        // A long answer is not kept, but an empty one is as good as any other.
        storeAnswer(*slot, entry.answer);
    }
    forgetOld(entry.forgetBeforeMs);
    dropOldAnswers();
}

ClaimImages LedgerState::images(std::uint64_t cursor, std::size_t maxBytes) const
{
    ClaimImages result;
    std::size_t bytes = 0;
    while (cursor < m_records.size() && bytes < maxBytes) {
        const auto &record = m_records[cursor++];
        if (!record.isUsed)
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
        image.hasAnswer = record.hasAnswer;
        if (record.hasAnswer)
            image.answer = answerOf(record);
        bytes += sizeof(Record) + image.executor.instance.size() + image.answer.size();
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
    dropAnswer(record);
    record.payloadHash = image.payloadHash;
    record.nonceHash = image.nonceHash;
    record.executor = internExecutor(image.executor);
    record.taskCount = image.taskCount;
    record.started = image.started;
    record.time = image.time;
    record.issueSeconds = image.issueSeconds;
    record.stage = image.stage;
    record.outcome = static_cast<std::uint8_t>(image.outcome);
    if (image.hasAnswer)
        storeAnswer(slot, image.answer);
    dropOldAnswers();
}

void LedgerState::finishRestore(std::uint64_t timeMs, std::uint32_t forgottenIssueSeconds)
{
    m_timeMs = std::max(m_timeMs, timeMs);
    m_forgottenIssueSeconds = std::max(m_forgottenIssueSeconds, forgottenIssueSeconds);
    for (auto &turn : m_order)
        turn.time = m_records[turn.slot].time;
    std::ranges::stable_sort(m_order, {}, &Turn::time);
}

std::optional<std::uint32_t> LedgerState::find(const KeyHash &key) const
{
    for (auto n = home(key); m_index[n] != 0; n = (n + 1) & (m_index.size() - 1)) {
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
    m_records[slot].isUsed = true;
    m_order.push_back({slot, time});
    if (m_order.size() * 4 > m_index.size() * 3)
        growIndex();
    else
        index(slot);
    return slot;
}

void LedgerState::index(std::uint32_t slot)
{
    auto n = home(m_records[slot].key);
    while (m_index[n] != 0)
        n = (n + 1) & (m_index.size() - 1);
    m_index[n] = slot + 1;
}

void LedgerState::growIndex()
{
    m_index.assign(m_index.size() * 2, 0);
    for (const auto &turn : m_order)
        index(turn.slot);
}

void LedgerState::removeFromIndex(const KeyHash &key)
{
    const auto mask = m_index.size() - 1;
    auto hole = home(key);
    while (m_records[m_index[hole] - 1].key != key)
        hole = (hole + 1) & mask;
    // Moves later members of the probe run back over the hole, so that no search ends early.
    for (auto n = (hole + 1) & mask; m_index[n] != 0; n = (n + 1) & mask) {
        const auto wanted = home(m_records[m_index[n] - 1].key);
        if (((n - wanted) & mask) >= ((n - hole) & mask)) {
            m_index[hole] = m_index[n];
            hole = n;
        }
    }
    m_index[hole] = 0;
}

void LedgerState::forgetOld(std::uint64_t beforeMs)
{
    const auto before = beforeMs / TimeUnitMs;
    for (int n = 0; n < MaxForgottenPerEntry && !m_order.empty(); ++n) {
        const auto turn = m_order.front();
        if (turn.time >= before)
            return;
        const auto changed = m_records[turn.slot].time;
        if (changed < before) {
            forgetFront();
        } else {
            // It changed since it got its place, so it must be kept for longer.
            m_order.pop_front();
            m_order.push_back({turn.slot, changed});
        }
    }
}

void LedgerState::forgetFront()
{
    const auto slot = m_order.front().slot;
    m_order.pop_front();
    auto &record = m_records[slot];
    m_forgottenIssueSeconds = std::max(m_forgottenIssueSeconds, record.issueSeconds);
    dropAnswer(record);
    removeFromIndex(record.key);
    record.isUsed = false;
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

void LedgerState::storeAnswer(std::uint32_t slot, const std::string &text)
{
    auto &record = m_records[slot];
    record.answer = m_firstAnswer + static_cast<std::uint32_t>(m_answers.size());
    record.hasAnswer = true;
    m_answers.push_back({slot, true, text});
    m_answerBytes += text.size() + AnswerOverheadBytes;
}

void LedgerState::dropAnswer(Record &record)
{
    if (!record.hasAnswer)
        return;
    auto &answer = m_answers[record.answer - m_firstAnswer];
    m_answerBytes -= answer.text.size() + AnswerOverheadBytes;
    answer = {};
    record.hasAnswer = false;
}

void LedgerState::dropOldAnswers()
{
    while (!m_answers.empty()) {
        const auto &front = m_answers.front();
        if (front.isUsed) {
            if (m_answerBytes <= static_cast<std::size_t>(m_retention.maxAnswerBytes))
                return;
            dropAnswer(m_records[front.slot]);
        }
        m_answers.pop_front();
        ++m_firstAnswer;
    }
}

const std::string &LedgerState::answerOf(const Record &record) const
{
    return m_answers[record.answer - m_firstAnswer].text;
}

ClaimReply LedgerState::storedReply(const Record &record) const
{
    ClaimReply reply;
    reply.state = ClaimState::Stored;
    reply.executor = m_executors[record.executor];
    reply.taskCount = record.taskCount;
    reply.outcome = static_cast<Outcome>(record.outcome);
    reply.started = record.started;
    if (record.hasAnswer) {
        reply.answer = answerOf(record);
        reply.hasAnswer = reply.outcome == Outcome::Completed;
    }
    return reply;
}

bool LedgerState::isExpired(std::int64_t issueTimeMs, std::int64_t wallMs) const
{
    // The mark decides also when wall clocks disagree or step back: what lies after it was never
    // forgotten, so if it is not remembered it was never granted.
    return issueTimeMs <= std::int64_t{m_forgottenIssueSeconds} * 1000
        || issueTimeMs < wallMs - static_cast<std::int64_t>(m_retention.claimWindow.count())
        || issueTimeMs > wallMs + MaxIssueAheadMs;
}

bool LedgerState::isFull(std::uint64_t timeMs) const
{
    if (m_order.size() < static_cast<std::size_t>(m_retention.maxClaims))
        return false;
    // The entry of a new claim forgets the oldest one if that is out of the window.
    const auto windowMs = static_cast<std::uint64_t>(m_retention.claimWindow.count());
    const auto before = timeMs > windowMs ? (timeMs - windowMs) / TimeUnitMs : 0;
    return m_records[m_order.front().slot].time >= before;
}

} // namespace Camphor
