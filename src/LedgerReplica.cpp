#include "LedgerReplica.h"

#include <algorithm>
#include <utility>

namespace Camphor {

namespace {

using namespace LedgerActions;

/// Maximum number of unacknowledged entry batches in flight to one follower. With only two, an
/// entry waited about one sync time before it was even sent, at 1,000 claims/s and a 3 ms sync.
constexpr int MaxInFlight = 16;

/// Maximum bytes of entries in one message, well below the maximum frame size.
constexpr std::size_t MaxBatchBytes = std::size_t{512} * 1024;

/// Maximum bytes of claims in one catch-up message. The primary serves other calls between two of
/// them.
constexpr std::size_t MaxImageBytes = std::size_t{512} * 1024;

/// Maximum number of uncommitted entries. Beyond it calls are refused without being recorded.
constexpr std::uint64_t MaxUncommitted = 20'000;

/// Maximum number of entries retained for a replica that is catching up.
constexpr std::uint64_t MaxLearnerLag = 500'000;

/// Maximum number of followers. The limit keeps forged catch-up requests from consuming memory.
constexpr std::size_t MaxFollowers = 8;

} // namespace

LedgerReplica::LedgerReplica(const LedgerReplicaSettings &settings, LedgerLog log, Milliseconds now)
    : m_settings(settings)
    , m_log(std::move(log))
    , m_incarnation(m_log.incarnation())
    // It may have accepted a message from a primary immediately before its restart.
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
            end = std::min(end, follower.leaseStart + m_settings.timing.lease);
    }
    return end;
}

bool LedgerReplica::isGranting(Milliseconds now) const
{
    return m_role == LedgerRole::Primary && now >= m_grantStart && now < leaseEnd();
}

std::uint64_t LedgerReplica::ledgerTime(Milliseconds now) const
{
    return m_timeBaseMs + static_cast<std::uint64_t>((now - m_timeOrigin).count());
}

// Calls from entries.

bool LedgerReplica::refuseCall(LedgerCallId call, bool isFinish, Milliseconds now)
{
    const bool isOverloaded = m_log.last() - m_log.committed() > MaxUncommitted;
    if (isGranting(now) && !isOverloaded)
        return false;
    const bool hasOtherPrimary =
        (m_role == LedgerRole::Backup || m_role == LedgerRole::NonMember) && !isSelf(m_set.primary);
    const auto state = hasOtherPrimary ? LedgerRpcStatus::Redirect : LedgerRpcStatus::NotReady;
    const auto address = hasOtherPrimary ? m_set.primary.address : std::string();
    if (isFinish)
        m_actions.emplace_back(ReplyToFinish{call, {state, address, false}});
    else
        m_actions.emplace_back(ReplyToClaim{call, {state, address, {}}});
    return true;
}

void LedgerReplica::claim(LedgerCallId call, const ClaimRequest &request, std::int64_t wallMs,
                          Milliseconds now)
{
    if (refuseCall(call, false, now))
        return;
    replyWhenCommitted(call, false, m_log.state().decideClaim(request, wallMs, ledgerTime(now)),
                       now);
}

void LedgerReplica::finish(LedgerCallId call, const FinishRequest &request, Milliseconds now)
{
    if (!refuseCall(call, true, now))
        replyWhenCommitted(call, true, m_log.state().decideFinish(request), now);
}

void LedgerReplica::query(LedgerCallId call, const QueryRequest &request, std::int64_t wallMs,
                          Milliseconds now)
{
    if (refuseCall(call, false, now))
        return;
    LedgerDecision decision;
    decision.reply = m_log.state().query(request.key, wallMs);
    replyWhenCommitted(call, false, std::move(decision), now);
}

void LedgerReplica::replyWhenCommitted(LedgerCallId call, bool isFinish, LedgerDecision decision,
                                       Milliseconds now)
{
    if (decision.entry)
        appendEntry(std::move(*decision.entry), now);
    // A reply without an entry waits too, because it may depend on an uncommitted entry.
    m_pendingReplies.push_back(
        {m_log.last(), call, isFinish, std::move(decision.reply), decision.isRecorded});
}

void LedgerReplica::appendEntry(LedgerEntry entry, Milliseconds now)
{
    const auto windowMs = static_cast<std::uint64_t>(m_log.state().retention().claimWindow.count());
    entry.sequence = m_log.last() + 1;
    entry.epoch = m_set.epoch;
    entry.timeMs = ledgerTime(now);
    entry.evictBeforeMs = entry.timeMs > windowMs ? entry.timeMs - windowMs : 0;
    writeEntry(entry);
    m_log.append(std::move(entry));
    m_log.applyAll();
}

void LedgerReplica::sendCommittedReplies(Milliseconds now)
{
    while (!m_pendingReplies.empty() && m_pendingReplies.front().sequence <= m_log.committed()
           && isGranting(now)) {
        auto pending = std::move(m_pendingReplies.front());
        m_pendingReplies.pop_front();
        if (pending.isFinish) {
            m_actions.emplace_back(
                ReplyToFinish{pending.call, {LedgerRpcStatus::Handled, {}, pending.isRecorded}});
        } else {
            m_actions.emplace_back(ReplyToClaim{
                pending.call, {LedgerRpcStatus::Handled, {}, std::move(pending.reply)}});
        }
    }
}

void LedgerReplica::failPendingReplies()
{
    for (const auto &pending : std::exchange(m_pendingReplies, {})) {
        if (pending.isFinish)
            m_actions.emplace_back(
                ReplyToFinish{pending.call, {LedgerRpcStatus::Undetermined, {}, false}});
        else
            m_actions.emplace_back(
                ReplyToClaim{pending.call, {LedgerRpcStatus::Undetermined, {}, {}}});
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
    std::erase_if(m_pendingAcks, [&](const PendingAck &ack) {
        if (ack.position > m_syncedPosition)
            return false;
        m_actions.emplace_back(ReplyToReplicate{ack.call, ack.reply});
        return true;
    });
}

void LedgerReplica::journalFailed(const std::string &problem)
{
    if (m_role == LedgerRole::Stopped)
        return;
    failPendingReplies();
    for (auto &ack : std::exchange(m_pendingAcks, {})) {
        ack.reply.state = ReplicateState::Stopped;
        m_actions.emplace_back(ReplyToReplicate{ack.call, ack.reply});
    }
    m_followers.clear();
    m_role = LedgerRole::Stopped;
    m_problem = problem;
    notice(LogEvent::LedgerStopped, problem, true);
}

std::vector<LedgerRecord> LedgerReplica::initialJournalRecords() const
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

// Replica sets and roles.

void LedgerReplica::adoptSet(const ReplicaSet &set, Milliseconds now)
{
    if (set.epoch <= m_set.epoch)
        return;
    const bool isSamePrimary = set.primary == m_set.primary;
    if (isSelf(set.primary)) {
        if (m_role == LedgerRole::Primary) {
            updateFollowers(set, now);
        } else if (m_isTakingOver && m_hasMemberData) {
            becomePrimary(set, now);
        } else {
            // After a restart. A compare-and-set from before the restart may still be pending; only
            // a new epoch rules out that it takes effect later.
            m_set = set;
        }
        return;
    }
    if (m_role == LedgerRole::Primary) {
        stepDown();
        m_hasMemberData = false;
    }
    m_set = set;
    m_isTakingOver = false;
    m_matchedSequence = 0;
    m_pendingAcks.clear();
    promise(set.epoch);
    const bool wasBackup = m_role == LedgerRole::Backup;
    if (isBackupOf(set) && m_hasMemberData) {
        m_role = LedgerRole::Backup;
        m_isCatchingUp = false;
    } else {
        m_role = LedgerRole::NonMember;
        if (wasBackup || !isSamePrimary)
            m_hasCaughtUp = false;
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
    m_pendingAcks.clear();
    m_followers.clear();
    promise(set.epoch);
    m_log.applyAll();
    m_grantStart = std::max(now, m_lastContact + m_settings.timing.grace);
    m_timeOrigin = now;
    m_timeBaseMs = m_log.state().timeMs();
    updateFollowers(set, now);
}

void LedgerReplica::updateFollowers(const ReplicaSet &set, Milliseconds now)
{
    // A removed member may return as a learner under a new incarnation.
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
            follower.nextSequence = m_log.committed() + 1;
            follower.lastContact = now;
        }
    }
    notice(LogEvent::LedgerPrimary,
           "epoch " + std::to_string(set.epoch) + " backups " + std::to_string(set.backups.size()));
}

void LedgerReplica::stepDown()
{
    failPendingReplies();
    m_followers.clear();
    m_role = LedgerRole::NonMember;
    m_hasCaughtUp = false;
    notice(LogEvent::LedgerDeposed, "the committed replica set names another primary", true);
}

void LedgerReplica::readSet(Milliseconds now)
{
    if (m_isReadingSet || now - m_lastSetRead < m_settings.timing.storeRetryInterval)
        return;
    m_isReadingSet = true;
    m_lastSetRead = now;
    m_actions.emplace_back(ReadSet{});
}

void LedgerReplica::changeSet(ReplicaSet next, Milliseconds now)
{
    if (m_isChangingSet || now - m_lastSetChange < m_settings.timing.storeRetryInterval)
        return;
    m_isChangingSet = true;
    m_lastSetChange = now;
    m_lastExpectedEpoch = m_set.epoch;
    next.epoch = m_set.epoch + 1;
    m_actions.emplace_back(ChangeSet{m_set.epoch, std::move(next)});
}

void LedgerReplica::takeOver(Milliseconds now)
{
    ReplicaSet next;
    next.primary = self();
    std::ranges::copy_if(m_set.backups, std::back_inserter(next.backups),
                         [&](const auto &it) { return !isSelf(it); });
    // From here on no message from the old primary is accepted: the change may be committed at any
    // time, even if the call fails.
    m_isTakingOver = true;
    changeSet(std::move(next), now);
}

void LedgerReplica::setRead(const Result<ReplicaSet> &result, Milliseconds now)
{
    m_isReadingSet = false;
    if (!result || m_role == LedgerRole::Stopped)
        return;
    const auto &set = result.value();
    if (set.epoch == 0) {
        // An empty store must not restart the epochs of a ledger that has already promised one.
        if (m_log.promisedEpoch() == 0 && m_hasMemberData) {
            m_isTakingOver = true;
            changeSet(ReplicaSet{0, self(), {}}, now);
        }
        return;
    }
    adoptSet(set, now);
    m_readEpoch = std::max(m_readEpoch, set.epoch);
    m_readStarted = m_lastSetRead;
    if (set.epoch != m_set.epoch || m_role == LedgerRole::Primary || !m_hasMemberData)
        return;
    const bool hasLostPrimary =
        m_role == LedgerRole::Backup && now - m_lastContact > m_settings.timing.grace;
    if (isSelf(m_set.primary) || hasLostPrimary)
        takeOver(now);
}

void LedgerReplica::setChanged(const ReplicaSet &, const Result<ReplicaSet> &result,
                               Milliseconds now)
{
    m_isChangingSet = false;
    if (m_role == LedgerRole::Stopped)
        return;
    if (result) {
        adoptSet(result.value(), now);
    } else if (result.error().code == ErrorCode::Conflict) {
        m_lastSetRead = Never;
        readSet(now);
    }
}

// Timers.

void LedgerReplica::tick(Milliseconds now)
{
    switch (m_role) {
    case LedgerRole::Primary:
        tickPrimary(now);
        break;
    case LedgerRole::Backup:
        tickBackup(now);
        break;
    case LedgerRole::NonMember:
        tickNonMember(now);
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
            && (now - it.lastContact > m_settings.timing.learnerTimeout || it.isUnusable
                || m_log.last() - it.matchSequence > MaxLearnerLag);
    });
    for (auto &[id, follower] : m_followers) {
        if (!follower.hasImages)
            continue;
        sendEntries(follower, now);
        sendRenewal(follower, now);
    }
    advanceCommit();
    sendCommittedReplies(now);
    changeMembers(now);
    // A change whose reply was lost may be committed late, so the store is polled until a newer
    // epoch settles it.
    if (now >= leaseEnd() || (m_lastExpectedEpoch == m_set.epoch && !m_isChangingSet))
        readSet(now);
}

void LedgerReplica::tickBackup(Milliseconds now)
{
    // Backups take over after staggered timeouts, so that they do not compete for one epoch.
    const auto rank =
        std::ranges::find_if(m_set.backups, [&](const auto &it) { return isSelf(it); })
        - m_set.backups.begin();
    const auto stagger = m_settings.timing.renewInterval * static_cast<double>(rank);
    if (now - m_lastContact > m_settings.timing.grace + stagger)
        readSet(now);
}

void LedgerReplica::tickNonMember(Milliseconds now)
{
    const auto &timing = m_settings.timing;
    if (m_isCatchingUp) {
        if (now - m_lastCatchup > timing.storeRetryInterval * 4)
            m_isCatchingUp = false;
        return;
    }
    // This replica may have been added to the set without a message from the primary.
    readSet(now);
    if (m_hasCaughtUp && now - m_lastContact < timing.learnerTimeout)
        return;
    // The data is discarded only if the store itself confirms, in a read that began after the last
    // message from a primary, that this replica is not a member.
    const bool isConfirmedNonMember = m_set.epoch != 0 && m_readEpoch == m_set.epoch
        && m_readStarted > m_lastContact && !isSelf(m_set.primary) && !isBackupOf(m_set);
    if (isConfirmedNonMember && now - m_lastCatchup > timing.storeRetryInterval)
        startCatchup(now);
}

// The primary and its followers.

void LedgerReplica::changeMembers(Milliseconds now)
{
    if (m_isChangingSet || now - m_lastSetChange < m_settings.timing.storeRetryInterval)
        return;
    ReplicaSet next;
    next.epoch = m_set.epoch;
    next.primary = self();
    std::vector<Follower *> added;
    for (auto &[id, it] : m_followers) {
        const bool isMember = std::ranges::any_of(
            m_set.backups, [&](const auto &member) { return idOf(member) == id; });
        const bool isReachable =
            !it.isUnusable && now - it.lastContact <= m_settings.timing.removalTimeout;
        // Its images may contain effects of uncommitted entries, which a successor may lack. It may
        // join only once all of these are committed.
        const bool isReady = it.hasImages && it.matchSequence >= m_log.committed()
            && m_log.committed() >= it.imagesEnd && it.matchSequence >= it.imagesEnd
            && now - it.leaseStart < m_settings.timing.lease;
        if (!isReachable || (!isMember && !isReady))
            continue;
        next.backups.push_back(it.member);
        if (!isMember)
            added.push_back(&it);
    }
    std::ranges::sort(next.backups);
    auto current = m_set.backups;
    std::ranges::sort(current);
    // A change that added a member may still be committed. If that member is lost, only a new epoch
    // removes the need to wait for it.
    const bool needsNewEpoch = std::ranges::any_of(m_followers, [&](const auto &item) {
        return item.second.isRequired
            && std::ranges::find(next.backups, item.second.member) == next.backups.end();
    });
    if (next.backups == current && !needsNewEpoch)
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
    if (follower.inFlight > 0 && now - follower.lastSent > m_settings.timing.resendTimeout) {
        follower.inFlight = 0;
        follower.nextSequence = follower.matchSequence + 1;
    }
    // Entries up to the base are committed, so every member holds them.
    follower.nextSequence =
        std::max({follower.nextSequence, follower.matchSequence + 1, m_log.base() + 1});
    while (follower.inFlight < MaxInFlight && follower.nextSequence <= m_log.last()) {
        auto request = makeRequest(follower, follower.nextSequence - 1, now);
        request.entries = m_log.entriesFrom(follower.nextSequence, MaxBatchBytes);
        follower.nextSequence += request.entries.size();
        ++follower.inFlight;
        follower.lastSent = now;
        m_actions.emplace_back(SendReplicate{follower.member, std::move(request)});
    }
}

void LedgerReplica::sendRenewal(Follower &follower, Milliseconds now)
{
    if (now - follower.lastRenewed < m_settings.timing.renewInterval)
        return;
    follower.lastRenewed = now;
    const auto previous = std::max(follower.matchSequence, m_log.base());
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
        follower.lastContact = now;
        follower.leaseStart = std::max(follower.leaseStart, Milliseconds{reply.sentMs});
        follower.matchSequence = std::max(follower.matchSequence, reply.matchSequence);
        if (reply.hadEntries && follower.inFlight > 0)
            --follower.inFlight;
        break;
    case ReplicateState::Gap:
        follower.lastContact = now;
        follower.inFlight = 0;
        follower.nextSequence = std::max(follower.matchSequence, reply.lastSequence) + 1;
        break;
    case ReplicateState::Stale:
        readSet(now);
        break;
    case ReplicateState::WrongMember:
    case ReplicateState::NotCaughtUp:
    case ReplicateState::Stopped:
        follower.isUnusable = true;
        break;
    case ReplicateState::Diverged:
        notice(LogEvent::LedgerDiverged,
               "backup " + reply.instance + " has committed entries that this primary lacks", true);
        break;
    }
}

void LedgerReplica::advanceCommit()
{
    auto sequence = m_syncedSequence;
    auto trimLimit = m_log.last();
    for (const auto &[id, follower] : m_followers) {
        if (follower.isRequired)
            sequence = std::min(sequence, follower.matchSequence);
        trimLimit =
            std::min(trimLimit, follower.isRequired ? m_log.committed() : follower.matchSequence);
    }
    if (sequence > m_log.committed())
        m_log.commit(sequence);
    m_log.trim(std::min(trimLimit, m_log.committed()));
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
        it->second.matchSequence = it->second.baseSequence;
        it->second.nextSequence = it->second.matchSequence + 1;
        it->second.member = request.member;
    }
    if (isValid && it != m_followers.end() && !it->second.isRequired) {
        auto &follower = it->second;
        follower.lastContact = now;
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
            reply.maxEvictedIssueSeconds = m_log.state().maxEvictedIssueSeconds();
            follower.imagesEnd = m_log.last();
        }
    }
    m_actions.emplace_back(ReplyToCatchup{call, std::move(reply)});
}

void LedgerReplica::startCatchup(Milliseconds now)
{
    // The data is discarded, and with it the incarnation under which a primary may count this
    // replica as up to date.
    ++m_incarnation;
    m_hasMemberData = false;
    m_hasCaughtUp = false;
    m_isCatchingUp = true;
    sendCatchup(0, false, now);
}

void LedgerReplica::sendCatchup(std::uint64_t cursor, bool isDone, Milliseconds now)
{
    m_catchupCursor = cursor;
    m_lastCatchup = now;
    m_actions.emplace_back(SendCatchup{m_set.primary, {m_settings.domain, self(), cursor, isDone}});
}

void LedgerReplica::catchupReplied(CatchupReply reply, Milliseconds now)
{
    if (m_role != LedgerRole::NonMember || !m_isCatchingUp
        || reply.memberIncarnation != m_incarnation || reply.cursor != m_catchupCursor) {
        return;
    }
    if (!reply.isAccepted) {
        m_isCatchingUp = false;
        m_lastSetRead = Never;
        return;
    }
    const auto replay = [&](LedgerRecord record) {
        CAMPHOR_ASSERT(m_log.replay(record).isOk());
        writeRecord(std::move(record));
    };
    if (reply.cursor == 0) {
        // The primary may know a later set than the one that this replica has read.
        adoptSet(reply.set, now);
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
    end.maxEvictedIssueSeconds = reply.maxEvictedIssueSeconds;
    replay(std::move(end));
    m_syncedSequence = reply.baseSequence;
    m_matchedSequence = reply.baseSequence;
    m_hasMemberData = true;
    m_hasCaughtUp = true;
    m_isCatchingUp = false;
    m_lastContact = now;
    sendCatchup(reply.nextCursor, true, now);
    notice(LogEvent::LedgerCaughtUp, "claims " + std::to_string(m_log.state().size()));
}

// Messages from the primary.

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
        adoptSet(request.set, now);
        if (!m_hasMemberData || (m_role == LedgerRole::NonMember && !m_hasCaughtUp))
            reply.state = ReplicateState::NotCaughtUp;
        else if (request.lastSequence < m_log.committed()
                 && m_log.epochAt(m_log.committed()).value_or(0) < request.set.epoch)
            // A delayed message may lag behind, but not behind entries that an earlier epoch
            // committed.
            reply.state = ReplicateState::Diverged;
        else
            installEntries(request, reply);
    } else {
        ++m_refusedMessages;
    }
    reply.instance = m_settings.instance;
    reply.incarnation = m_incarnation;
    reply.requestEpoch = request.set.epoch;
    reply.promisedEpoch = m_log.promisedEpoch();
    reply.sentMs = request.sentMs;
    reply.hadEntries = !request.entries.empty();
    // A renewal reports what is already synced; a batch is acknowledged once it is synced.
    auto position = m_promisePosition;
    if (reply.state == ReplicateState::Accepted) {
        m_lastContact = now;
        reply.matchSequence = m_matchedSequence;
        if (reply.hadEntries)
            position = m_position;
        else
            reply.matchSequence = std::min(m_matchedSequence, m_syncedSequence);
    }
    if (position > m_syncedPosition)
        m_pendingAcks.push_back({position, call, std::move(reply)});
    else
        m_actions.emplace_back(ReplyToReplicate{call, std::move(reply)});
}

void LedgerReplica::installEntries(const ReplicateRequest &request, ReplicateReply &reply)
{
    const auto previous = request.previousSequence;
    const bool isKnown = previous <= m_log.committed()
        || m_log.epochAt(previous) == std::optional(request.previousEpoch);
    if (!isKnown) {
        reply.state = ReplicateState::Gap;
        reply.lastSequence = std::max(m_matchedSequence, m_log.committed());
        return;
    }
    auto sequence = previous;
    for (const auto &entry : request.entries) {
        // A primary sends consecutive entries, none from an epoch later than its own.
        if (entry.sequence != ++sequence || entry.epoch > request.set.epoch) {
            reply.state = ReplicateState::WrongMember;
            ++m_refusedMessages;
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
    m_matchedSequence = std::max(m_matchedSequence, sequence);
    m_log.commit(std::max(m_log.committed(),
                          std::min({request.commitSequence, m_matchedSequence, m_log.last()})));
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
    reply.responseBytes = m_log.state().responseBytes();
    reply.refusedMessages = m_refusedMessages;
    reply.problem = m_problem;
    return reply;
}

void LedgerReplica::notice(LogEvent event, std::string detail, bool isWarning)
{
    m_actions.emplace_back(Notice{event, std::move(detail), isWarning});
}

} // namespace Camphor
