#include "RaftCore.h"

#include "Wire.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace Camphor {

namespace {

/// Seven voters, and the successor of one of them.
constexpr std::size_t MaxMembers = 8;
/// A starting member that has asked this often without contact with a leader waits as the others
/// do, because it may be partitioned for long.
constexpr int MaxStartPreVotes = 20;

std::size_t bytesOf(const RaftEntry &entry)
{
    constexpr std::size_t EntryOverheadBytes = 32;
    return entry.data.size() + EntryOverheadBytes;
}

} // namespace

const RaftMember *RaftConfiguration::find(std::string_view instance) const
{
    const auto it = std::ranges::find(members, instance, &RaftMember::instance);
    return it == members.end() ? nullptr : &*it;
}

std::size_t RaftConfiguration::voterCount() const
{
    return static_cast<std::size_t>(std::ranges::count(members, true, &RaftMember::isVoter));
}

bool RaftConfiguration::isVoter(std::string_view instance) const
{
    const auto *member = find(instance);
    return member != nullptr && member->isVoter;
}

RaftDiskState RaftCore::initialState(std::vector<RaftMember> members)
{
    RaftDiskState state;
    state.vote.term = 1;
    // The log of a new group starts with a snapshot, so the log of a member without a state differs
    // from the first entry on, and the member always receives the configuration.
    state.snapshot = {1, 1, {std::move(members), {}}, {}};
    return state;
}

RaftCore::RaftCore(RaftSettings settings, RaftDiskState disk, Milliseconds now)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_vote(std::move(disk.vote))
    , m_snapshot(std::move(disk.snapshot))
    , m_commitIndex(m_snapshot.index)
    , m_appliedIndex(m_snapshot.index)
    , m_now(now)
{
    m_configurations[m_snapshot.index] = m_snapshot.configuration;
    for (auto &entry : disk.entries) {
        CAMPHOR_ASSERT(entry.index == lastIndex() + 1);
        if (entry.kind == RaftEntryKind::Configuration)
            m_configurations[entry.index] = decodeMessage<RaftConfiguration>(entry.data).value();
        m_logBytes += bytesOf(entry);
        m_log.push_back(std::move(entry));
    }
    m_syncedIndex = m_writtenIndex = lastIndex();
    m_isStarting = m_settings.startElectionTimeout > Milliseconds{0};
    armPreVoteTimer();
}

std::uint64_t RaftCore::lastIndex() const
{
    return m_log.empty() ? m_snapshot.index : m_log.back().index;
}

const RaftConfiguration &RaftCore::configuration() const
{
    return m_configurations.rbegin()->second;
}

bool RaftCore::isRemoved(const std::string &instance) const
{
    const auto committed = std::prev(m_configurations.upper_bound(m_commitIndex));
    const auto &removed = committed->second.removed;
    return std::ranges::find(removed, instance) != removed.end();
}

std::optional<std::uint64_t> RaftCore::termAt(std::uint64_t index) const
{
    if (index == 0)
        return 0;
    if (index == m_snapshot.index)
        return m_snapshot.term;
    if (index < m_snapshot.index || index > lastIndex())
        return std::nullopt;
    return entryAt(index).term;
}

const RaftEntry &RaftCore::entryAt(std::uint64_t index) const
{
    return m_log.at(index - m_snapshot.index - 1);
}

bool RaftCore::isUpToDate(std::uint64_t lastIndex, std::uint64_t lastTerm) const
{
    const auto ownTerm = *termAt(this->lastIndex());
    return lastTerm > ownTerm || (lastTerm == ownTerm && lastIndex >= this->lastIndex());
}

bool RaftCore::hasCommittedInTerm() const { return termAt(m_commitIndex) == m_vote.term; }

std::uint64_t RaftCore::matchIndex(const std::string &instance) const
{
    if (instance == m_settings.instance)
        return m_syncedIndex;
    const auto it = m_progress.find(instance);
    return it == m_progress.end() ? 0 : it->second.matchIndex;
}

Milliseconds RaftCore::lastReply(const std::string &instance) const
{
    if (instance == m_settings.instance)
        return m_now;
    const auto it = m_progress.find(instance);
    return it == m_progress.end() ? Milliseconds{-1e18} : it->second.lastReply;
}

RaftDiskState RaftCore::diskState() const
{
    return {m_vote, m_snapshot, {m_log.begin(), m_log.end()}};
}

void RaftCore::send(const std::string &to, RaftMessage message)
{
    m_actions.messages.push_back({to, std::move(message)});
}

// --- Timers and roles

void RaftCore::resetElectionTimer()
{
    armElectionTimer(m_isStarting ? m_settings.startElectionTimeout : m_settings.electionTimeout,
                     1.0, 2.0);
}

void RaftCore::armPreVoteTimer()
{
    // A pre-vote has no effect on a group with a leader, so a starting member need not wait first.
    // Early members cannot reach later ones yet, so it repeats the pre-vote soon.
    if (m_isStarting)
        armElectionTimer(m_settings.startElectionTimeout, 0.0, 0.5);
    else
        resetElectionTimer();
}

void RaftCore::armElectionTimer(Milliseconds timeout, double minFactor, double maxFactor)
{
    const double factor = std::uniform_real_distribution<double>(minFactor, maxFactor)(m_random);
    m_electionAt = m_now + timeout * factor;
}

Milliseconds RaftCore::nextDeadline() const { return isLeader() ? m_heartbeatAt : m_electionAt; }

void RaftCore::tick(Milliseconds now)
{
    m_now = now;
    if (isLeader()) {
        checkQuorum();
        if (isLeader() && now >= m_heartbeatAt)
            m_needsHeartbeat = true;
    } else if (now >= m_electionAt) {
        startPreVote();
    }
}

void RaftCore::becomeFollower(std::uint64_t term)
{
    if (term > m_vote.term) {
        m_vote = {term, {}};
        m_actions.vote = m_vote;
    }
    if (isLeader())
        failReads();
    m_role = RaftRole::Follower;
    m_leader.clear();
    m_progress.clear();
    resetElectionTimer();
}

void RaftCore::startPreVote()
{
    if (m_isStarting)
        m_isStarting = ++m_startPreVotes < MaxStartPreVotes;
    armPreVoteTimer();
    m_leader.clear();
    if (!configuration().isVoter(m_settings.instance))
        return;
    m_role = RaftRole::PreCandidate;
    m_votes = {{m_settings.instance, true}};
    const RaftVoteRequest request{true, m_vote.term + 1, lastIndex(), *termAt(lastIndex())};
    for (const auto &member : configuration().members) {
        if (member.isVoter && member.instance != m_settings.instance)
            send(member.instance, request);
    }
    countVotes();
}

void RaftCore::startElection()
{
    m_role = RaftRole::Candidate;
    m_vote = {m_vote.term + 1, m_settings.instance};
    m_actions.vote = m_vote;
    m_votes = {{m_settings.instance, true}};
    resetElectionTimer();
    const RaftVoteRequest request{false, m_vote.term, lastIndex(), *termAt(lastIndex())};
    for (const auto &member : configuration().members) {
        if (member.isVoter && member.instance != m_settings.instance)
            send(member.instance, request);
    }
    countVotes();
}

void RaftCore::countVotes()
{
    const auto grantedVotes = std::ranges::count_if(
        m_votes, [this](const auto &it) { return it.second && configuration().isVoter(it.first); });
    if (static_cast<std::size_t>(grantedVotes) < configuration().majority())
        return;
    if (m_role == RaftRole::PreCandidate)
        startElection();
    else if (m_role == RaftRole::Candidate)
        becomeLeader();
}

void RaftCore::becomeLeader()
{
    m_role = RaftRole::Leader;
    m_isStarting = false;
    m_leader = m_settings.instance;
    m_lastContact = m_now;
    m_progress.clear();
    updateProgressMembers();
    // Entries of earlier terms are committed only together with an entry of the own term.
    append(RaftEntryKind::Noop, {});
    m_needsHeartbeat = true;
}

void RaftCore::updateProgressMembers()
{
    std::erase_if(m_progress,
                  [this](const auto &it) { return configuration().find(it.first) == nullptr; });
    for (const auto &member : configuration().members) {
        if (member.instance == m_settings.instance || m_progress.contains(member.instance))
            continue;
        Progress progress;
        progress.nextIndex = lastIndex() + 1;
        progress.lastReply = m_now;
        m_progress.emplace(member.instance, progress);
    }
}

void RaftCore::checkQuorum()
{
    const auto minLastReply = m_now - m_settings.electionTimeout;
    const auto isActive = [&](const RaftMember &member) {
        return member.isVoter
            && (member.instance == m_settings.instance
                || m_progress.at(member.instance).lastReply >= minLastReply);
    };
    const auto activeVoters = std::ranges::count_if(configuration().members, isActive);
    if (static_cast<std::size_t>(activeVoters) < configuration().majority())
        becomeFollower(m_vote.term);
    else
        m_lastContact = m_now;
}

// --- Votes

void RaftCore::receive(const std::string &from, const RaftMessage &message, Milliseconds now)
{
    m_now = now;
    if (m_hasLostDisk)
        return;
    std::visit([&](const auto &it) { onMessage(from, it); }, message);
}

void RaftCore::onMessage(const std::string &from, const RaftVoteRequest &request)
{
    // A member without a state may have voted before it lost its disk.
    if (hasNoConfiguration())
        return;
    // Leader stickiness: a member with recent contact with a leader does not help to replace it.
    const bool hasRecentLeader =
        isLeader() || (!m_leader.empty() && m_now - m_lastContact < m_settings.electionTimeout);
    if (hasRecentLeader || request.term < m_vote.term) {
        send(from, RaftVoteReply{request.isPreVote, m_vote.term, false});
        return;
    }
    const bool isLogUpToDate = isUpToDate(request.lastIndex, request.lastTerm);
    if (request.isPreVote) {
        const bool isGranted = isLogUpToDate && request.term > m_vote.term;
        send(from, RaftVoteReply{true, isGranted ? request.term : m_vote.term, isGranted});
        return;
    }
    if (request.term > m_vote.term)
        becomeFollower(request.term);
    const bool isGranted = isLogUpToDate && (m_vote.votedFor.empty() || m_vote.votedFor == from);
    if (isGranted) {
        m_vote.votedFor = from;
        m_actions.vote = m_vote;
        resetElectionTimer();
    }
    send(from, RaftVoteReply{false, m_vote.term, isGranted});
}

void RaftCore::onMessage(const std::string &from, const RaftVoteReply &reply)
{
    if (!reply.isGranted && reply.term > m_vote.term) {
        becomeFollower(reply.term);
        return;
    }
    if (!reply.isGranted && reply.isPreVote && std::exchange(m_isStarting, false)) {
        // The other member is in contact with a leader or has a longer log.
        resetElectionTimer();
    }
    const auto role = reply.isPreVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    const auto term = m_vote.term + (reply.isPreVote ? 1 : 0);
    if (m_role != role || !reply.isGranted || reply.term != term)
        return;
    m_votes[from] = true;
    countVotes();
}

// --- Log replication, follower

bool RaftCore::acceptLeader(const std::string &from, std::uint64_t term, std::uint64_t round)
{
    if (term < m_vote.term) {
        send(from, RaftAppendReply{m_vote.term, false, 0, round});
        return false;
    }
    if (term > m_vote.term || m_role != RaftRole::Follower) {
        CAMPHOR_ASSERT(term > m_vote.term || !isLeader());
        becomeFollower(term);
    }
    m_leader = from;
    m_lastContact = m_now;
    m_isStarting = false;
    resetElectionTimer();
    return true;
}

std::uint64_t RaftCore::nextProbeIndex(std::uint64_t index) const
{
    auto probe = std::min(index - 1, lastIndex());
    const auto term = termAt(index);
    // Skips all entries of the differing term at once.
    while (term && probe > m_commitIndex && termAt(probe) == term)
        --probe;
    return probe;
}

void RaftCore::onMessage(const std::string &from, const RaftAppendRequest &request)
{
    if (!acceptLeader(from, request.term, request.round))
        return;
    const auto previous = request.previousIndex;
    // Entries up to the snapshot are committed, so they equal the leader's.
    if (previous > m_snapshot.index && termAt(previous) != request.previousTerm) {
        send(from, RaftAppendReply{m_vote.term, false, nextProbeIndex(previous), request.round});
        return;
    }
    // Entries can't be stored without their predecessors; a member without a state first needs a
    // snapshot.
    if (hasNoConfiguration() && !request.entries.empty()) {
        send(from, RaftAppendReply{m_vote.term, false, 0, request.round});
        return;
    }
    storeEntries(request.entries);
    const auto matched = previous + request.entries.size();
    m_commitIndex = std::max(m_commitIndex, std::min(request.commitIndex, matched));
    send(from, RaftAppendReply{m_vote.term, true, matched, request.round});
}

void RaftCore::storeEntries(const std::vector<RaftEntry> &entries)
{
    for (const auto &entry : entries) {
        if (entry.index <= m_snapshot.index || termAt(entry.index) == entry.term)
            continue;
        if (entry.index <= lastIndex())
            truncate(entry.index);
        CAMPHOR_ASSERT(entry.index == lastIndex() + 1);
        if (entry.kind == RaftEntryKind::Configuration)
            m_configurations[entry.index] = decodeMessage<RaftConfiguration>(entry.data).value();
        m_logBytes += bytesOf(entry);
        m_log.push_back(entry);
    }
}

void RaftCore::truncate(std::uint64_t from)
{
    CAMPHOR_ASSERT(from > m_commitIndex);
    while (!m_log.empty() && m_log.back().index >= from) {
        m_logBytes -= bytesOf(m_log.back());
        m_log.pop_back();
    }
    m_configurations.erase(m_configurations.lower_bound(from), m_configurations.end());
    if (from <= m_writtenIndex) {
        m_actions.truncateFrom =
            m_actions.truncateFrom == 0 ? from : std::min(from, m_actions.truncateFrom);
        m_writtenIndex = from - 1;
    }
    m_syncedIndex = std::min(m_syncedIndex, from - 1);
}

void RaftCore::onMessage(const std::string &from, const RaftSnapshotRequest &request)
{
    const auto &snapshot = request.snapshot;
    if (hasNoConfiguration() && snapshot.configuration.isVoter(m_settings.instance)) {
        m_hasLostDisk = true;
        return;
    }
    if (!acceptLeader(from, request.term, request.round))
        return;
    // Entries after the snapshot may already count as committed, so a log that contains the
    // snapshot's last entry is retained.
    if (snapshot.index > m_commitIndex) {
        if (termAt(snapshot.index) == snapshot.term)
            m_commitIndex = snapshot.index;
        else
            installSnapshot(snapshot);
    }
    send(from, RaftAppendReply{m_vote.term, true, snapshot.index, request.round});
}

void RaftCore::installSnapshot(const RaftSnapshot &snapshot)
{
    m_snapshot = snapshot;
    m_log.clear();
    m_logBytes = 0;
    m_configurations = {{snapshot.index, snapshot.configuration}};
    m_commitIndex = m_appliedIndex = m_writtenIndex = m_syncedIndex = snapshot.index;
    m_actions.snapshot = snapshot;
    m_actions.truncateFrom = 0;
}

RaftSnapshot RaftCore::compact(std::uint64_t index, std::string data)
{
    CAMPHOR_ASSERT(index >= m_snapshot.index && index <= m_appliedIndex);
    const auto configuration = std::prev(m_configurations.upper_bound(index));
    m_snapshot = {index, *termAt(index), configuration->second, std::move(data)};
    m_configurations.erase(m_configurations.begin(), configuration);
    while (!m_log.empty() && m_log.front().index <= index) {
        m_logBytes -= bytesOf(m_log.front());
        m_log.pop_front();
    }
    return m_snapshot;
}

// --- Log replication, leader

std::uint64_t RaftCore::append(RaftEntryKind kind, std::string data)
{
    RaftEntry entry{lastIndex() + 1, m_vote.term, kind, std::move(data)};
    m_logBytes += bytesOf(entry);
    m_log.push_back(std::move(entry));
    return lastIndex();
}

std::optional<std::uint64_t> RaftCore::propose(std::string command, Milliseconds now)
{
    m_now = now;
    if (!isLeader())
        return std::nullopt;
    return append(RaftEntryKind::Command, std::move(command));
}

bool RaftCore::sendEntries(const std::string &to, Progress &progress)
{
    if (progress.resendAt && m_now < *progress.resendAt)
        return false;
    if (progress.nextIndex <= m_snapshot.index) {
        progress.sentIndex = m_snapshot.index;
        progress.resendAt = m_now + m_settings.resendSnapshotAfter;
        send(to, RaftSnapshotRequest{m_vote.term, m_heartbeatRound, m_snapshot});
        return false;
    }
    progress.resendAt.reset();
    if (!progress.isMatched || progress.nextIndex > lastIndex())
        return false;
    const auto previous = progress.nextIndex - 1;
    RaftAppendRequest request{m_vote.term,   previous,         *termAt(previous),
                              m_commitIndex, m_heartbeatRound, {}};
    std::size_t bytes = 0;
    for (auto n = progress.nextIndex; n <= lastIndex(); ++n) {
        const auto &entry = entryAt(n);
        bytes += bytesOf(entry);
        if (!request.entries.empty() && bytes > m_settings.maxAppendBytes)
            break;
        request.entries.push_back(entry);
    }
    progress.sentIndex = previous + request.entries.size();
    progress.sentCommitIndex =
        std::max(progress.sentCommitIndex, std::min(m_commitIndex, progress.sentIndex));
    progress.resendAt = m_now + m_settings.resendAfter;
    send(to, std::move(request));
    return true;
}

void RaftCore::sendHeartbeat(const std::string &to, Progress &progress)
{
    const auto previous = progress.isMatched ? progress.matchIndex : progress.nextIndex - 1;
    const auto term = termAt(previous);
    // A follower that needs a snapshot gets a heartbeat that matches any log.
    const RaftAppendRequest request{m_vote.term,   term ? previous : 0, term.value_or(0),
                                    m_commitIndex, m_heartbeatRound,    {}};
    progress.sentCommitIndex =
        std::max(progress.sentCommitIndex, std::min(m_commitIndex, request.previousIndex));
    send(to, request);
}

void RaftCore::broadcast()
{
    if (m_needsHeartbeat) {
        ++m_heartbeatRound;
        m_heartbeatAt = m_now + m_settings.heartbeat;
    }
    for (auto &[instance, progress] : m_progress) {
        if (sendEntries(instance, progress))
            continue;
        // Followers are notified of a commit at once, because they serve subscriptions too. A
        // follower that was slower than the majority is notified once its own reply has arrived.
        const bool hasUnsentCommit = progress.isMatched && progress.matchIndex >= m_snapshot.index
            && std::min(m_commitIndex, progress.matchIndex) > progress.sentCommitIndex;
        if (m_needsHeartbeat || hasUnsentCommit)
            sendHeartbeat(instance, progress);
    }
    m_needsHeartbeat = false;
}

void RaftCore::onMessage(const std::string &from, const RaftAppendReply &reply)
{
    if (reply.term > m_vote.term) {
        becomeFollower(reply.term);
        return;
    }
    const auto it = m_progress.find(from);
    if (!isLeader() || reply.term != m_vote.term || it == m_progress.end())
        return;
    auto &progress = it->second;
    progress.lastReply = m_now;
    progress.ackedRound = std::max(progress.ackedRound, reply.round);
    if (reply.isMatch) {
        progress.matchIndex = std::max(progress.matchIndex, reply.index);
        progress.isMatched = progress.isMatched || reply.index + 1 >= progress.nextIndex;
        progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
        if (reply.index >= progress.sentIndex)
            progress.resendAt.reset();
    } else if (!progress.isMatched) {
        progress.nextIndex =
            std::clamp(reply.index + 1, progress.matchIndex + 1, progress.nextIndex);
        progress.resendAt.reset();
        sendHeartbeat(from, progress);
    }
    advanceCommit();
    confirmReads();
    promoteLearner();
}

void RaftCore::advanceCommit()
{
    if (!isLeader())
        return;
    std::vector<std::uint64_t> matchIndexes;
    for (const auto &member : configuration().members) {
        if (member.isVoter)
            matchIndexes.push_back(matchIndex(member.instance));
    }
    std::ranges::sort(matchIndexes, std::greater<>());
    const auto index = matchIndexes.at(configuration().majority() - 1);
    // Only entries of the own term are committed by counting replicas (section 5.4.2 of the paper).
    if (index <= m_commitIndex || termAt(index) != m_vote.term)
        return;
    m_commitIndex = index;
}

// --- Reads

bool RaftCore::read(std::uint64_t id, Milliseconds now)
{
    m_now = now;
    if (!isLeader() || !hasCommittedInTerm())
        return false;
    m_pendingReads.push_back({id, m_heartbeatRound + 1, m_commitIndex});
    m_needsHeartbeat = true;
    return true;
}

void RaftCore::confirmReads()
{
    const auto isConfirmed = [this](const PendingRead &read) {
        const auto hasAcknowledged = [&](const RaftMember &member) {
            if (!member.isVoter)
                return false;
            if (member.instance == m_settings.instance)
                return m_heartbeatRound >= read.round;
            return m_progress.at(member.instance).ackedRound >= read.round;
        };
        const auto acknowledged = std::ranges::count_if(configuration().members, hasAcknowledged);
        return static_cast<std::size_t>(acknowledged) >= configuration().majority();
    };
    std::erase_if(m_pendingReads, [&](const PendingRead &read) {
        const bool isDone = isConfirmed(read);
        if (isDone)
            m_actions.reads.push_back({read.id, true});
        return isDone;
    });
}

void RaftCore::failReads()
{
    for (const auto &read : m_pendingReads)
        m_actions.reads.push_back({read.id, false});
    m_pendingReads.clear();
}

// --- Membership

bool RaftCore::canChangeMembers() const
{
    return isLeader() && hasCommittedInTerm() && m_configurations.rbegin()->first <= m_commitIndex;
}

Status RaftCore::proposeConfiguration(const RaftConfiguration &next)
{
    if (!isLeader())
        return Error{ErrorCode::Unavailable, "this member is not the leader"};
    if (!canChangeMembers())
        return Error{ErrorCode::Unavailable,
                     "the leader was just elected, or another membership change is in progress"};
    const auto index = append(RaftEntryKind::Configuration, encodeMessage(next));
    m_configurations[index] = next;
    updateProgressMembers();
    return okStatus();
}

Status RaftCore::addMember(RaftMember member, Milliseconds now)
{
    m_now = now;
    auto next = configuration();
    if (std::ranges::find(next.removed, member.instance) != next.removed.end()) {
        return Error{ErrorCode::Conflict,
                     "'" + member.instance
                         + "' was removed from the group. Fix: give the new instance another name"};
    }
    const auto *existing = next.find(member.instance);
    // A retry after a lost response.
    if (existing != nullptr && existing->address == member.address
        && existing->operatorAddress == member.operatorAddress)
        return okStatus();
    if (existing != nullptr)
        return Error{ErrorCode::Conflict,
                     "'" + member.instance + "' is already a member with other addresses"};
    if (next.members.size() >= MaxMembers)
        return Error{ErrorCode::Conflict, "the group already has the maximum of 8 members"};
    member.isVoter = false;
    next.members.push_back(std::move(member));
    return proposeConfiguration(next);
}

Status RaftCore::removeMember(const std::string &instance, Milliseconds now)
{
    m_now = now;
    auto next = configuration();
    if (std::ranges::find(next.removed, instance) != next.removed.end())
        return okStatus(); // A retry after a lost response.
    if (next.find(instance) == nullptr)
        return Error{ErrorCode::NotFound, "'" + instance + "' is not a member"};
    std::erase_if(next.members, [&](const RaftMember &it) { return it.instance == instance; });
    if (next.voterCount() == 0)
        return Error{ErrorCode::Conflict, "the last voter can't be removed"};
    next.removed.push_back(instance);
    return proposeConfiguration(next);
}

void RaftCore::promoteLearner()
{
    if (!canChangeMembers())
        return;
    auto next = configuration();
    // A learner that has stopped replying would count towards the majority without helping it.
    const auto it = std::ranges::find_if(next.members, [this](const RaftMember &member) {
        return !member.isVoter && matchIndex(member.instance) >= m_commitIndex
            && m_now - lastReply(member.instance) <= m_settings.electionTimeout;
    });
    if (it == next.members.end())
        return;
    it->isVoter = true;
    (void)proposeConfiguration(next);
}

// --- Actions

RaftActions RaftCore::takeActions()
{
    if (isLeader())
        broadcast();
    if (!m_pendingReads.empty())
        confirmReads();
    for (; m_writtenIndex < lastIndex(); ++m_writtenIndex)
        m_actions.append.push_back(entryAt(m_writtenIndex + 1));
    for (; m_appliedIndex < m_commitIndex; ++m_appliedIndex)
        m_actions.committed.push_back(entryAt(m_appliedIndex + 1));
    return std::exchange(m_actions, {});
}

void RaftCore::onSynced(Milliseconds now)
{
    m_now = now;
    m_syncedIndex = m_writtenIndex;
    const bool isRemovedLeader = isLeader() && configuration().find(m_settings.instance) == nullptr
        && m_configurations.rbegin()->first <= m_appliedIndex;
    if (isRemovedLeader)
        becomeFollower(m_vote.term);
    advanceCommit();
}

} // namespace Camphor
