#include "LedgerReplica.h"

#include <algorithm>
#include <utility>

namespace Camphor {

namespace {

using namespace LedgerActions;

/// Unanswered batches of entries to one follower. With two, an entry waited for an answer before it
/// was even sent, which cost about one sync time at 1,000 claims/s with a 3 ms sync.
constexpr int MaxInFlight = 16;

/// Bytes of entries in one message, well below the bound of a frame.
constexpr std::size_t MaxBatchBytes = std::size_t{512} * 1024;

/// Bytes of claims in one catch-up message. The primary goes on serving between two of them.
constexpr std::size_t MaxImageBytes = std::size_t{512} * 1024;

/// Entries that may wait for their commit. More claims are refused as not recorded.
constexpr std::uint64_t MaxUncommitted = 20'000;

/// Entries that are held for a replica that catches up.
constexpr std::uint64_t MaxLearnerLag = 500'000;

/// Followers of one primary, so that forged catch-up requests take no memory.
constexpr std::size_t MaxFollowers = 8;

} // namespace

LedgerReplica::LedgerReplica(const LedgerReplicaSettings &settings, LedgerLog log, Milliseconds now)
    : m_settings(settings)
    , m_log(std::move(log))
    , m_incarnation(m_log.incarnation())
    // Before its restart it may have accepted a message of a primary just now.
    , m_lastContact(m_log.promisedEpoch() > 0 ? now : Never)
{
    m_log.setRetention(settings.retention);
    if (m_incarnation == 0) {
        m_incarnation = std::max<std::uint64_t>(settings.incarnation, 1);
        for (const auto kind : {LedgerRecordKind::Reset, LedgerRecordKind::ImagesEnd}) {
            LedgerRecord record;
            record.kind = kind;
            record.incarnation = m_incarnation;
            CAMPHOR_ASSERT(m_log.replay(record).isOk());
            writeRecord(std::move(record));
        }
    }
    m_hasMemberData = m_log.isComplete();
    m_syncedSequence = m_log.last();
}

ReplicaMember LedgerReplica::self() const
{
    return {m_settings.instance, m_incarnation, m_settings.address};
}

LedgerReplica::MemberId LedgerReplica::idOf(const ReplicaMember &member)
{
    return {member.instance, member.incarnation};
}

bool LedgerReplica::isSelf(const ReplicaMember &member) const
{
    return member.instance == m_settings.instance && member.incarnation == m_incarnation;
}

bool LedgerReplica::isBackupOf(const ReplicaSet &set) const
{
    return std::ranges::any_of(set.backups, [&](const auto &it) { return isSelf(it); });
}

Milliseconds LedgerReplica::leaseEnd() const
{
    Milliseconds end{std::numeric_limits<double>::infinity()};
    for (const auto &[id, follower] : m_followers) {
        if (follower.isRequired)
            end = std::min(end, follower.leaseFrom + m_settings.timing.lease);
    }
    return end;
}

bool LedgerReplica::isGranting(Milliseconds now) const
{
    return m_role == LedgerRole::Primary && now >= m_grantsFrom && now < leaseEnd();
}

std::uint64_t LedgerReplica::ledgerTime(Milliseconds now) const
{
    return m_timeBaseMs + static_cast<std::uint64_t>((now - m_timeOrigin).count());
}

// Calls of entries.

bool LedgerReplica::refuseCall(LedgerCallId call, bool isFinish, Milliseconds now)
{
    const bool isOverloaded = m_log.last() - m_log.committed() > MaxUncommitted;
    if (isGranting(now) && !isOverloaded)
        return false;
    const bool isElsewhere =
        (m_role == LedgerRole::Backup || m_role == LedgerRole::Outsider) && !isSelf(m_set.primary);
    const auto state = isElsewhere ? LedgerAnswerState::Redirect : LedgerAnswerState::NotReady;
    const auto address = isElsewhere ? m_set.primary.address : std::string();
    if (isFinish)
        m_actions.emplace_back(AnswerFinish{call, {state, address, false}});
    else
        m_actions.emplace_back(AnswerClaim{call, {state, address, {}}});
    return true;
}

void LedgerReplica::claim(LedgerCallId call, const ClaimRequest &request, std::int64_t wallMs,
                          Milliseconds now)
{
    if (refuseCall(call, false, now))
        return;
    answerWhenCommitted(call, false, m_log.state().decideClaim(request, wallMs, ledgerTime(now)),
                        now);
}

void LedgerReplica::finish(LedgerCallId call, const FinishRequest &request, Milliseconds now)
{
    if (!refuseCall(call, true, now))
        answerWhenCommitted(call, true, m_log.state().decideFinish(request), now);
}

void LedgerReplica::query(LedgerCallId call, const QueryRequest &request, std::int64_t wallMs,
                          Milliseconds now)
{
    if (refuseCall(call, false, now))
        return;
    LedgerDecision decision;
    decision.reply = m_log.state().query(request.key, wallMs);
    answerWhenCommitted(call, false, std::move(decision), now);
}

void LedgerReplica::answerWhenCommitted(LedgerCallId call, bool isFinish, LedgerDecision decision,
                                        Milliseconds now)
{
    if (decision.entry)
        appendEntry(std::move(*decision.entry), now);
    // An answer without an entry waits too, because it may rest on an entry that is not committed.
    m_answers.push_back(
        {m_log.last(), call, isFinish, std::move(decision.reply), decision.isRecorded});
}

void LedgerReplica::appendEntry(LedgerEntry entry, Milliseconds now)
{
    const auto window = static_cast<std::uint64_t>(m_log.state().retention().claimWindow.count());
    entry.sequence = m_log.last() + 1;
    entry.epoch = m_set.epoch;
    entry.timeMs = ledgerTime(now);
    entry.forgetBeforeMs = entry.timeMs > window ? entry.timeMs - window : 0;
    writeEntry(entry);
    m_log.append(std::move(entry));
    m_log.applyAll();
}

void LedgerReplica::flushAnswers(Milliseconds now)
{
    while (!m_answers.empty() && m_answers.front().sequence <= m_log.committed()
           && isGranting(now)) {
        auto answer = std::move(m_answers.front());
        m_answers.pop_front();
        if (answer.isFinish) {
            m_actions.emplace_back(
                AnswerFinish{answer.call, {LedgerAnswerState::Answered, {}, answer.isRecorded}});
        } else {
            m_actions.emplace_back(AnswerClaim{
                answer.call, {LedgerAnswerState::Answered, {}, std::move(answer.reply)}});
        }
    }
}

void LedgerReplica::failAnswers()
{
    for (const auto &answer : std::exchange(m_answers, {})) {
        if (answer.isFinish)
            m_actions.emplace_back(
                AnswerFinish{answer.call, {LedgerAnswerState::Undetermined, {}, false}});
        else
            m_actions.emplace_back(
                AnswerClaim{answer.call, {LedgerAnswerState::Undetermined, {}, {}}});
    }
}

// The journal.

void LedgerReplica::writeRecord(LedgerRecord record)
{
    ++m_position;
    if (m_settings.hasDisk)
        m_actions.emplace_back(WriteJournal{m_position, std::move(record)});
    else
        m_syncedPosition = m_position;
}

void LedgerReplica::writeEntry(const LedgerEntry &entry)
{
    LedgerRecord record;
    record.kind = LedgerRecordKind::Entry;
    record.sequence = m_log.committed();
    if (m_settings.hasDisk)
        record.entry = entry;
    writeRecord(std::move(record));
    if (m_settings.hasDisk)
        m_unsynced.emplace_back(m_position, entry.sequence);
    else
        m_syncedSequence = entry.sequence;
}

void LedgerReplica::promise(std::uint64_t epoch)
{
    if (epoch <= m_log.promisedEpoch())
        return;
    m_log.promise(epoch);
    LedgerRecord record;
    record.kind = LedgerRecordKind::Promise;
    record.epoch = epoch;
    writeRecord(std::move(record));
    m_promisePosition = m_position;
}

void LedgerReplica::journalSynced(std::uint64_t position)
{
    m_syncedPosition = std::max(m_syncedPosition, position);
    while (!m_unsynced.empty() && m_unsynced.front().first <= m_syncedPosition) {
        m_syncedSequence = m_unsynced.front().second;
        m_unsynced.pop_front();
    }
    std::erase_if(m_acks, [&](const PendingAck &ack) {
        if (ack.position > m_syncedPosition)
            return false;
        m_actions.emplace_back(AnswerReplicate{ack.call, ack.reply});
        return true;
    });
}

void LedgerReplica::journalFailed(const std::string &problem)
{
    if (m_role == LedgerRole::Stopped)
        return;
    failAnswers();
    for (auto &ack : std::exchange(m_acks, {})) {
        ack.reply.state = ReplicateState::Stopped;
        m_actions.emplace_back(AnswerReplicate{ack.call, ack.reply});
    }
    m_followers.clear();
    m_role = LedgerRole::Stopped;
    m_problem = problem;
    notice(LogEvent::LedgerStopped, problem, true);
}

std::vector<LedgerRecord> LedgerReplica::journalStart() const
{
    std::vector<LedgerRecord> records;
    LedgerRecord promised;
    promised.kind = LedgerRecordKind::Promise;
    promised.epoch = m_log.promisedEpoch();
    records.push_back(promised);
    for (auto sequence = m_log.committed() + 1; sequence <= m_log.last();) {
        for (auto &entry : m_log.entriesFrom(sequence, MaxBatchBytes)) {
            ++sequence;
            LedgerRecord record;
            record.kind = LedgerRecordKind::Entry;
            record.sequence = m_log.committed();
            record.entry = std::move(entry);
            records.push_back(std::move(record));
        }
    }
    return records;
}

// Sets and roles.

void LedgerReplica::adopt(const ReplicaSet &set, Milliseconds now)
{
    if (set.epoch <= m_set.epoch)
        return;
    const bool isSamePrimary = set.primary == m_set.primary;
    if (isSelf(set.primary)) {
        if (m_role == LedgerRole::Primary) {
            keepPrimary(set, now);
        } else if (m_isTakingOver && m_hasMemberData) {
            becomePrimary(set, now);
        } else {
            // After a restart. A compare-and-set of the earlier process may still be on its way;
            // only a new epoch of our own rules it out.
            m_set = set;
        }
        return;
    }
    if (m_role == LedgerRole::Primary) {
        leaveOffice();
        m_hasMemberData = false;
    }
    m_set = set;
    m_isTakingOver = false;
    m_verified = 0;
    m_acks.clear();
    promise(set.epoch);
    const bool wasBackup = m_role == LedgerRole::Backup;
    if (isBackupOf(set) && m_hasMemberData) {
        m_role = LedgerRole::Backup;
        m_isCatchingUp = false;
    } else {
        m_role = LedgerRole::Outsider;
        if (wasBackup || !isSamePrimary)
            m_isLearned = false;
    }
    notice(LogEvent::LedgerSet,
           "epoch " + std::to_string(set.epoch) + " primary " + set.primary.instance);
}

void LedgerReplica::becomePrimary(const ReplicaSet &set, Milliseconds now)
{
    m_role = LedgerRole::Primary;
    m_set = set;
    m_firstEpoch = set.epoch;
    m_isTakingOver = false;
    m_isCatchingUp = false;
    m_acks.clear();
    m_followers.clear();
    promise(set.epoch);
    m_log.applyAll();
    m_grantsFrom = std::max(now, m_lastContact + m_settings.timing.grace);
    m_timeOrigin = now;
    m_timeBaseMs = m_log.state().timeMs();
    keepPrimary(set, now);
}

void LedgerReplica::keepPrimary(const ReplicaSet &set, Milliseconds now)
{
    // What has left the set may come back as a learner, under a new incarnation.
    for (const auto &member : m_set.backups) {
        if (std::ranges::find(set.backups, member) == set.backups.end())
            m_followers.erase(idOf(member));
    }
    m_set = set;
    promise(set.epoch);
    for (auto &[id, follower] : m_followers)
        follower.isRequired = false;
    for (const auto &member : set.backups) {
        auto [it, isNew] = m_followers.try_emplace(idOf(member));
        auto &follower = it->second;
        follower.isRequired = true;
        follower.hasImages = true;
        follower.lastRenewed = Never;
        if (isNew) {
            follower.member = member;
            follower.next = m_log.committed() + 1;
            follower.lastHeard = now;
        }
    }
    notice(LogEvent::LedgerPrimary,
           "epoch " + std::to_string(set.epoch) + " backups " + std::to_string(set.backups.size()));
}

void LedgerReplica::leaveOffice()
{
    failAnswers();
    m_followers.clear();
    m_role = LedgerRole::Outsider;
    m_isLearned = false;
    notice(LogEvent::LedgerDeposed, "another primary was committed", true);
}

void LedgerReplica::readSet(Milliseconds now)
{
    if (m_isReading || now - m_lastRead < m_settings.timing.storeRetry)
        return;
    m_isReading = true;
    m_lastRead = now;
    m_actions.emplace_back(ReadSet{});
}

void LedgerReplica::changeSet(ReplicaSet next, Milliseconds now)
{
    if (m_isChanging || now - m_lastChange < m_settings.timing.storeRetry)
        return;
    m_isChanging = true;
    m_lastChange = now;
    m_changedEpoch = m_set.epoch;
    next.epoch = m_set.epoch + 1;
    m_actions.emplace_back(ChangeSet{m_set.epoch, std::move(next)});
}

void LedgerReplica::takeOver(Milliseconds now)
{
    ReplicaSet next;
    next.primary = self();
    std::ranges::copy_if(m_set.backups, std::back_inserter(next.backups),
                         [&](const auto &it) { return !isSelf(it); });
    // From here on no message of the old primary is accepted, because the change may be committed
    // at any time, even if the call fails.
    m_isTakingOver = true;
    changeSet(std::move(next), now);
}

void LedgerReplica::setRead(const Result<ReplicaSet> &result, Milliseconds now)
{
    m_isReading = false;
    if (!result || m_role == LedgerRole::Stopped)
        return;
    const auto &set = result.value();
    if (set.epoch == 0) {
        // A replica that remembers an epoch does not start a new history.
        if (m_log.promisedEpoch() == 0 && m_hasMemberData) {
            m_isTakingOver = true;
            changeSet(ReplicaSet{0, self(), {}}, now);
        }
        return;
    }
    adopt(set, now);
    m_readEpoch = std::max(m_readEpoch, set.epoch);
    m_readStarted = m_lastRead;
    if (set.epoch != m_set.epoch || m_role == LedgerRole::Primary || !m_hasMemberData)
        return;
    const bool isOrphaned =
        m_role == LedgerRole::Backup && now - m_lastContact > m_settings.timing.grace;
    if (isSelf(m_set.primary) || isOrphaned)
        takeOver(now);
}

void LedgerReplica::setChanged(const ReplicaSet &, const Result<ReplicaSet> &result,
                               Milliseconds now)
{
    m_isChanging = false;
    if (m_role == LedgerRole::Stopped)
        return;
    if (result) {
        adopt(result.value(), now);
    } else if (result.error().code == ErrorCode::Conflict) {
        m_lastRead = Never;
        readSet(now);
    }
}

// Time.

void LedgerReplica::tick(Milliseconds now)
{
    switch (m_role) {
    case LedgerRole::Primary:
        tickPrimary(now);
        break;
    case LedgerRole::Backup:
        tickBackup(now);
        break;
    case LedgerRole::Outsider:
        tickOutsider(now);
        break;
    case LedgerRole::Stopped:
        break;
    }
}

void LedgerReplica::tickPrimary(Milliseconds now)
{
    std::erase_if(m_followers, [&](const auto &item) {
        const auto &it = item.second;
        return !it.isRequired
            && (now - it.lastHeard > m_settings.timing.learnerTimeout || it.isGone
                || m_log.last() - it.match > MaxLearnerLag);
    });
    for (auto &[id, follower] : m_followers) {
        if (!follower.hasImages)
            continue;
        sendEntries(follower, now);
        sendRenewal(follower, now);
    }
    advanceCommit();
    flushAnswers(now);
    changeMembers(now);
    // A change whose answer was lost may be committed late; the store is asked until an epoch ends
    // the doubt.
    if (now >= leaseEnd() || (m_changedEpoch == m_set.epoch && !m_isChanging))
        readSet(now);
}

void LedgerReplica::tickBackup(Milliseconds now)
{
    // Backups wait in turn, so that they do not compete for one epoch.
    const auto turn =
        std::ranges::find_if(m_set.backups, [&](const auto &it) { return isSelf(it); })
        - m_set.backups.begin();
    const auto stagger = m_settings.timing.renewEvery * static_cast<double>(turn);
    if (now - m_lastContact > m_settings.timing.grace + stagger)
        readSet(now);
}

void LedgerReplica::tickOutsider(Milliseconds now)
{
    const auto &timing = m_settings.timing;
    if (m_isCatchingUp) {
        if (now - m_lastCatchup > timing.storeRetry * 4)
            m_isCatchingUp = false;
        return;
    }
    // A change that adds this replica may be committed without a word from the primary.
    readSet(now);
    if (m_isLearned && now - m_lastContact < timing.learnerTimeout)
        return;
    // Data are given up only on the word of the store itself, given after the last message of a
    // primary, that this replica is no member.
    const bool isOutside = m_set.epoch != 0 && m_readEpoch == m_set.epoch
        && m_readStarted > m_lastContact && !isSelf(m_set.primary) && !isBackupOf(m_set);
    if (isOutside && now - m_lastCatchup > timing.storeRetry)
        startCatchup(now);
}

// The primary and its followers.

void LedgerReplica::changeMembers(Milliseconds now)
{
    if (m_isChanging || now - m_lastChange < m_settings.timing.storeRetry)
        return;
    ReplicaSet next;
    next.epoch = m_set.epoch;
    next.primary = self();
    std::vector<Follower *> added;
    for (auto &[id, it] : m_followers) {
        const bool isMember = std::ranges::any_of(
            m_set.backups, [&](const auto &member) { return idOf(member) == id; });
        const bool isHeard = !it.isGone && now - it.lastHeard <= m_settings.timing.removeAfter;
        // Only when all effects in its images are committed does it hold nothing that a successor
        // could not know.
        const bool isReady = it.hasImages && it.match >= m_log.committed()
            && m_log.committed() >= it.imagesEnd && it.match >= it.imagesEnd
            && now - it.leaseFrom < m_settings.timing.lease;
        if (!isHeard || (!isMember && !isReady))
            continue;
        next.backups.push_back(it.member);
        if (!isMember)
            added.push_back(&it);
    }
    std::ranges::sort(next.backups);
    auto current = m_set.backups;
    std::ranges::sort(current);
    // A change that added a member may still be committed. When that member is lost, only a new
    // epoch ends the need to wait for it.
    const bool mustFence = std::ranges::any_of(m_followers, [&](const auto &item) {
        return item.second.isRequired
            && std::ranges::find(next.backups, item.second.member) == next.backups.end();
    });
    if (next.backups == current && !mustFence)
        return;
    for (auto *follower : added)
        follower->isRequired = true;
    changeSet(std::move(next), now);
}

ReplicateRequest LedgerReplica::makeRequest(const Follower &follower, std::uint64_t previous,
                                            Milliseconds now) const
{
    ReplicateRequest request;
    request.set = m_set;
    request.toIncarnation = follower.member.incarnation;
    request.previousSequence = previous;
    request.previousEpoch = m_log.epochAt(previous).value_or(0);
    request.commitSequence = m_log.committed();
    request.lastSequence = m_log.last();
    request.sentMs = now.count();
    return request;
}

void LedgerReplica::sendEntries(Follower &follower, Milliseconds now)
{
    if (follower.inFlight > 0 && now - follower.lastSent > m_settings.timing.resendAfter) {
        follower.inFlight = 0;
        follower.next = follower.match + 1;
    }
    // A member holds everything up to the base, because that is committed.
    follower.next = std::max({follower.next, follower.match + 1, m_log.base() + 1});
    while (follower.inFlight < MaxInFlight && follower.next <= m_log.last()) {
        auto request = makeRequest(follower, follower.next - 1, now);
        request.entries = m_log.entriesFrom(follower.next, MaxBatchBytes);
        follower.next += request.entries.size();
        ++follower.inFlight;
        follower.lastSent = now;
        m_actions.emplace_back(SendReplicate{follower.member, std::move(request)});
    }
}

void LedgerReplica::sendRenewal(Follower &follower, Milliseconds now)
{
    if (now - follower.lastRenewed < m_settings.timing.renewEvery)
        return;
    follower.lastRenewed = now;
    const auto previous = std::max(follower.match, m_log.base());
    m_actions.emplace_back(SendReplicate{follower.member, makeRequest(follower, previous, now)});
}

void LedgerReplica::replicateReplied(const ReplicateReply &reply, Milliseconds now)
{
    const auto it = m_followers.find({reply.instance, reply.incarnation});
    if (m_role != LedgerRole::Primary || it == m_followers.end()
        || reply.requestEpoch < m_firstEpoch || reply.requestEpoch > m_set.epoch) {
        return;
    }
    auto &follower = it->second;
    switch (reply.state) {
    case ReplicateState::Accepted:
        if (reply.matchSequence > m_log.last())
            return;
        follower.lastHeard = now;
        follower.leaseFrom = std::max(follower.leaseFrom, Milliseconds{reply.sentMs});
        follower.match = std::max(follower.match, reply.matchSequence);
        if (reply.hadEntries && follower.inFlight > 0)
            --follower.inFlight;
        break;
    case ReplicateState::Gap:
        follower.lastHeard = now;
        follower.inFlight = 0;
        follower.next = std::max(follower.match, reply.lastSequence) + 1;
        break;
    case ReplicateState::Stale:
        readSet(now);
        break;
    case ReplicateState::WrongMember:
    case ReplicateState::NotCaughtUp:
    case ReplicateState::Stopped:
        follower.isGone = true;
        break;
    case ReplicateState::Diverged:
        notice(LogEvent::LedgerDiverged,
               "backup " + reply.instance + " knows more than this primary", true);
        break;
    }
}

void LedgerReplica::advanceCommit()
{
    auto sequence = m_syncedSequence;
    auto held = m_log.last();
    for (const auto &[id, follower] : m_followers) {
        if (follower.isRequired)
            sequence = std::min(sequence, follower.match);
        held = std::min(held, follower.isRequired ? m_log.committed() : follower.match);
    }
    if (sequence > m_log.committed())
        m_log.commit(sequence);
    m_log.trim(std::min(held, m_log.committed()));
}

// Catch-up.

void LedgerReplica::catchupReceived(LedgerCallId call, const CatchupRequest &request,
                                    Milliseconds now)
{
    CatchupReply reply;
    reply.set = m_set;
    reply.memberIncarnation = request.member.incarnation;
    reply.cursor = request.cursor;
    const auto id = idOf(request.member);
    auto it = m_followers.find(id);
    const bool isValid = m_role == LedgerRole::Primary && request.domain == m_settings.domain
        && request.member.instance != m_settings.instance && !request.member.instance.empty();
    const bool isStart = request.cursor == 0 && !request.isDone;
    if (isValid && isStart && it == m_followers.end() && m_followers.size() < MaxFollowers) {
        it = m_followers.try_emplace(id).first;
        it->second.baseSequence = m_log.committed();
        it->second.baseEpoch = m_log.epochAt(m_log.committed()).value_or(0);
        it->second.match = it->second.baseSequence;
        it->second.next = it->second.match + 1;
        it->second.member = request.member;
    }
    if (isValid && it != m_followers.end() && !it->second.isRequired) {
        auto &follower = it->second;
        follower.lastHeard = now;
        reply.isAccepted = true;
        if (request.isDone) {
            follower.hasImages = follower.imagesEnd >= follower.baseSequence;
        } else {
            auto images = m_log.state().images(request.cursor, MaxImageBytes);
            reply.claims = std::move(images.claims);
            reply.nextCursor = images.nextCursor;
            reply.isLast = images.isLast;
            reply.baseSequence = follower.baseSequence;
            reply.baseEpoch = follower.baseEpoch;
            reply.timeMs = m_log.state().timeMs();
            reply.forgottenIssueSeconds = m_log.state().forgottenIssueSeconds();
            follower.imagesEnd = m_log.last();
        }
    }
    m_actions.emplace_back(AnswerCatchup{call, std::move(reply)});
}

void LedgerReplica::startCatchup(Milliseconds now)
{
    // The data are given up, so the identity that a primary may count on is given up with them.
    ++m_incarnation;
    m_hasMemberData = false;
    m_isLearned = false;
    m_isCatchingUp = true;
    sendCatchup(0, false, now);
}

void LedgerReplica::sendCatchup(std::uint64_t cursor, bool isDone, Milliseconds now)
{
    m_cursor = cursor;
    m_lastCatchup = now;
    m_actions.emplace_back(SendCatchup{m_set.primary, {m_settings.domain, self(), cursor, isDone}});
}

void LedgerReplica::catchupReplied(CatchupReply reply, Milliseconds now)
{
    if (m_role != LedgerRole::Outsider || !m_isCatchingUp
        || reply.memberIncarnation != m_incarnation || reply.cursor != m_cursor) {
        return;
    }
    if (!reply.isAccepted) {
        m_isCatchingUp = false;
        m_lastRead = Never;
        return;
    }
    const auto replay = [&](LedgerRecord record) {
        CAMPHOR_ASSERT(m_log.replay(record).isOk());
        writeRecord(std::move(record));
    };
    if (reply.cursor == 0) {
        // The primary knows its own set, perhaps later than what this replica has read.
        adopt(reply.set, now);
        m_unsynced.clear();
        LedgerRecord reset;
        reset.kind = LedgerRecordKind::Reset;
        reset.incarnation = m_incarnation;
        replay(std::move(reset));
    }
    LedgerRecord images;
    images.kind = LedgerRecordKind::Images;
    images.claims = std::move(reply.claims);
    replay(std::move(images));
    if (!reply.isLast) {
        sendCatchup(reply.nextCursor, false, now);
        return;
    }
    LedgerRecord end;
    end.kind = LedgerRecordKind::ImagesEnd;
    end.sequence = reply.baseSequence;
    end.epoch = reply.baseEpoch;
    end.timeMs = reply.timeMs;
    end.forgottenIssueSeconds = reply.forgottenIssueSeconds;
    replay(std::move(end));
    m_syncedSequence = reply.baseSequence;
    m_verified = reply.baseSequence;
    m_hasMemberData = true;
    m_isLearned = true;
    m_isCatchingUp = false;
    m_lastContact = now;
    sendCatchup(reply.nextCursor, true, now);
    notice(LogEvent::LedgerCaughtUp, "claims " + std::to_string(m_log.state().size()));
}

// Messages of the primary.

ReplicateState LedgerReplica::checkRequest(const ReplicateRequest &request) const
{
    if (m_role == LedgerRole::Stopped)
        return ReplicateState::Stopped;
    if (request.toIncarnation != m_incarnation || isSelf(request.set.primary)
        || (request.set.epoch == m_set.epoch && request.set != m_set)) {
        return ReplicateState::WrongMember;
    }
    if (request.set.epoch < m_log.promisedEpoch() || request.set.epoch < m_set.epoch
        || (m_isTakingOver && request.set.epoch <= m_set.epoch)) {
        return ReplicateState::Stale;
    }
    return ReplicateState::Accepted;
}

void LedgerReplica::replicateReceived(LedgerCallId call, const ReplicateRequest &request,
                                      Milliseconds now)
{
    ReplicateReply reply;
    reply.state = checkRequest(request);
    if (reply.state == ReplicateState::Accepted) {
        adopt(request.set, now);
        if (!m_hasMemberData || (m_role == LedgerRole::Outsider && !m_isLearned))
            reply.state = ReplicateState::NotCaughtUp;
        else if (request.lastSequence < m_log.committed()
                 && m_log.epochAt(m_log.committed()).value_or(0) < request.set.epoch)
            // A late message may be behind, but not behind what an earlier epoch has committed.
            reply.state = ReplicateState::Diverged;
        else
            installEntries(request, reply);
    } else {
        ++m_refused;
    }
    reply.instance = m_settings.instance;
    reply.incarnation = m_incarnation;
    reply.requestEpoch = request.set.epoch;
    reply.promisedEpoch = m_log.promisedEpoch();
    reply.sentMs = request.sentMs;
    reply.hadEntries = !request.entries.empty();
    // A renewal says what is synced already; a batch is acknowledged once it is synced.
    auto position = m_promisePosition;
    if (reply.state == ReplicateState::Accepted) {
        m_lastContact = now;
        reply.matchSequence = m_verified;
        if (reply.hadEntries)
            position = m_position;
        else
            reply.matchSequence = std::min(m_verified, m_syncedSequence);
    }
    if (position > m_syncedPosition)
        m_acks.push_back({position, call, std::move(reply)});
    else
        m_actions.emplace_back(AnswerReplicate{call, std::move(reply)});
}

void LedgerReplica::installEntries(const ReplicateRequest &request, ReplicateReply &reply)
{
    const auto previous = request.previousSequence;
    const bool isKnown = previous <= m_log.committed()
        || m_log.epochAt(previous) == std::optional(request.previousEpoch);
    if (!isKnown) {
        reply.state = ReplicateState::Gap;
        reply.lastSequence = std::max(m_verified, m_log.committed());
        return;
    }
    auto sequence = previous;
    for (const auto &entry : request.entries) {
        // A primary sends consecutive entries of epochs that do not fall.
        if (entry.sequence != ++sequence || entry.epoch > request.set.epoch) {
            reply.state = ReplicateState::WrongMember;
            ++m_refused;
            return;
        }
        if (sequence <= m_log.committed() || m_log.epochAt(sequence) == std::optional(entry.epoch))
            continue;
        if (sequence <= m_log.last()) {
            m_log.truncate(sequence - 1);
            std::erase_if(m_unsynced, [&](const auto &it) { return it.second >= sequence; });
            m_syncedSequence = std::min(m_syncedSequence, sequence - 1);
            LedgerRecord record;
            record.kind = LedgerRecordKind::Truncate;
            record.sequence = sequence - 1;
            writeRecord(std::move(record));
        }
        writeEntry(entry);
        m_log.append(entry);
    }
    m_verified = std::max(m_verified, sequence);
    m_log.commit(
        std::max(m_log.committed(), std::min({request.commitSequence, m_verified, m_log.last()})));
    m_log.trim(m_log.committed());
    reply.state = ReplicateState::Accepted;
}

LedgerStatusReply LedgerReplica::status(Milliseconds now) const
{
    LedgerStatusReply reply;
    reply.instance = m_settings.instance;
    reply.domain = m_settings.domain;
    reply.role = m_role;
    reply.set = m_set;
    reply.hasDisk = m_settings.hasDisk;
    reply.isGranting = isGranting(now);
    reply.lastSequence = m_log.last();
    reply.commitSequence = m_log.committed();
    reply.claims = m_log.state().size();
    reply.answerBytes = m_log.state().answerBytes();
    reply.refusedMessages = m_refused;
    reply.problem = m_problem;
    return reply;
}

void LedgerReplica::notice(LogEvent event, std::string detail, bool isWarning)
{
    m_actions.emplace_back(Notice{event, std::move(detail), isWarning});
}

} // namespace Camphor
