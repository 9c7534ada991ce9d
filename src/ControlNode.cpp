#include "ControlNode.h"

#include "AsioSupport.h"
#include "Log.h"
#include "RpcDecode.h"
#include "Wire.h"

#include <boost/asio/post.hpp>

#include <nlohmann/json.hpp>

#include <xxhash.h>

#include <algorithm>
#include <chrono>

namespace Camphor {

namespace {

namespace Asio = boost::asio;

/// After this time without contact with a leader, a member's state counts as stale and its
/// subscribers switch to other members.
constexpr Milliseconds LeaderContactTimeout{3'000};
/// Upper bound on the wait of a subscription call, so that a half-open connection is detected.
constexpr std::uint32_t MaxSubscribeWaitMs = 30'000;
constexpr std::size_t MaxPendingSubscriptions = 1'024;
constexpr std::size_t MaxLogEntries = 1'000;
constexpr std::size_t MaxLogBytes = std::size_t{4} * 1024 * 1024;
constexpr Milliseconds CallTimeout{1'000};
constexpr Milliseconds SnapshotCallTimeout{5'000};
/// During a partition the retransmission intervals of TCP grow; after it, a new connection works at
/// once.
constexpr int MaxConsecutiveTimeouts = 3;

/// The first byte of an encoded command. 'D' was a stored document without its content.
char letterOf(const ControlCommand &command)
{
    constexpr std::string_view Letters = "ABCFEG";
    return Letters.at(command.index());
}

std::string encodeCommand(const ControlCommand &command)
{
    return letterOf(command)
        + std::visit([](const auto &it) { return encodeMessage(it); }, command);
}

template <typename T>
ControlReply applyAs(ControlState &state, std::string_view bytes)
{
    return state.apply(decodeMessage<T>(bytes).value());
}

ControlReply applyCommand(ControlState &state, std::string_view bytes)
{
    CAMPHOR_ASSERT(!bytes.empty());
    const auto body = bytes.substr(1);
    switch (bytes.front()) {
    case 'A':
        return applyAs<ApplyCommand>(state, body);
    case 'B':
        return applyAs<CompareAndSetCommand>(state, body);
    case 'C':
        return applyAs<MoveBucketCommand>(state, body);
    case 'F':
        return applyAs<StoreDocumentCommand>(state, body);
    case 'E':
        return applyAs<GrantCellCommand>(state, body);
    case 'G':
        return applyAs<DrainDomainCommand>(state, body);
    default:
        throw UserError(Error{ErrorCode::Storage, "the log contains an unknown command type"});
    }
}

MessageKind kindOf(const RaftMessage &message)
{
    if (const auto *vote = std::get_if<RaftVoteRequest>(&message))
        return vote->isPreVote ? MessageKind::PreVote : MessageKind::Vote;
    return std::holds_alternative<RaftSnapshotRequest>(message) ? MessageKind::InstallSnapshot
                                                                : MessageKind::AppendEntries;
}

bool isReply(const RaftMessage &message)
{
    return std::holds_alternative<RaftVoteReply>(message)
        || std::holds_alternative<RaftAppendReply>(message);
}

std::string encodeRaft(const RaftMessage &message)
{
    return std::visit([](const auto &it) { return encodeMessage(it); }, message);
}

const char *roleName(RaftRole role)
{
    switch (role) {
    case RaftRole::Follower:
        return "follower";
    case RaftRole::PreCandidate:
    case RaftRole::Candidate:
        return "candidate";
    case RaftRole::Leader:
        return "leader";
    }
    return "follower";
}

RaftSettings makeRaftSettings(const ControlSettings &settings)
{
    RaftSettings raft;
    raft.instance = settings.instance;
    raft.heartbeat = settings.heartbeat;
    raft.electionTimeout = settings.electionTimeout;
    raft.startElectionTimeout = settings.startElectionTimeout;
    // Different seeds keep the members' elections apart.
    raft.seed = XXH3_64bits(settings.instance.data(), settings.instance.size())
        ^ static_cast<std::uint64_t>(wallClockMs());
    return raft;
}

} // namespace

ControlNode::ControlNode(Asio::io_context &io, const ControlSettings &settings,
                         std::unique_ptr<RaftStorage> storage,
                         std::function<void(const Error &)> onFatal)
    : m_io(io)
    , m_strand(Asio::make_strand(io))
    , m_settings(settings)
    , m_storage(std::move(storage))
    , m_core(makeRaftSettings(settings), m_storage->takeState(), m_clock.now())
    , m_state(ControlState::decode(m_core.snapshot().data).value())
    , m_onFatal(std::move(onFatal))
    , m_timer(m_strand)
{
    m_rpcSettings.cluster = settings.cluster;
    m_rpcSettings.instance = settings.instance;
    m_rpcSettings.incarnation = static_cast<std::uint64_t>(wallClockMs());
}

void ControlNode::start()
{
    Asio::post(m_strand, [self = shared_from_this()] { self->flush(); });
}

void ControlNode::stop()
{
    m_isStopped = true;
    m_onChange = nullptr;
    m_timer.cancel();
    for (auto &[index, proposal] : std::exchange(m_proposals, {}))
        proposal.callback(std::nullopt);
    for (auto &[id, callback] : std::exchange(m_pendingReads, {}))
        callback(false);
    for (auto &[name, peer] : m_peers) {
        if (peer.client)
            peer.client->stop();
    }
    m_storage.reset();
}

const RaftMember *ControlNode::leader() const
{
    return m_core.configuration().find(m_core.leader());
}

bool ControlNode::isCurrent() const
{
    return m_clock.now() - m_core.lastLeaderContact() < LeaderContactTimeout && !m_isStopped;
}

// --- Calls

template <typename T>
void ControlNode::receiveAs(const std::string &from, const std::string &payload,
                            const RpcReply &reply)
{
    if (auto message = decodeOrReject<T>(payload, reply))
        receive(from, std::move(*message), reply);
}

void ControlNode::onCall(const std::string &from, MessageKind kind, const MemberCall &call,
                         const RpcReply &reply)
{
    if (call.to != m_settings.instance) {
        // Heartbeats repeat the call until the group has removed the former name.
        if (std::exchange(m_loggedAddressee, call.to) != call.to)
            Log::warning(LogEvent::MemberCallRefused).kv("from", from).kv("to", call.to);
        reply(Error{ErrorCode::Unavailable, "the call is for another member"});
    } else if (kind == MessageKind::AppendEntries) {
        receiveAs<RaftAppendRequest>(from, call.message, reply);
    } else if (kind == MessageKind::InstallSnapshot) {
        receiveAs<RaftSnapshotRequest>(from, call.message, reply);
    } else {
        receiveAs<RaftVoteRequest>(from, call.message, reply);
    }
}

bool ControlNode::onMemberCall(const std::string &from, MessageKind kind,
                               const std::string &payload, const RpcReply &reply)
{
    switch (kind) {
    case MessageKind::PreVote:
    case MessageKind::Vote:
    case MessageKind::AppendEntries:
    case MessageKind::InstallSnapshot:
        if (const auto call = decodeOrReject<MemberCall>(payload, reply))
            onCall(from, kind, *call, reply);
        return true;
    case MessageKind::ControlStatus:
        reply(statusJson());
        return true;
    default:
        return false;
    }
}

void ControlNode::receive(const std::string &from, const RaftMessage &message, RpcReply reply)
{
    if (m_isStopped) {
        reply(Error{ErrorCode::Unavailable, "this member has stopped"});
        return;
    }
    m_currentCall.emplace(from, std::move(reply));
    m_core.receive(from, message, m_clock.now());
    flush();
    if (m_currentCall) {
        m_currentCall->second(Error{ErrorCode::Unavailable,
                                    "this member has stopped, or has no state of the group and "
                                    "takes no part in the protocol"});
        m_currentCall.reset();
    }
}

void ControlNode::propose(const ControlCommand &command, CommandCallback callback)
{
    const auto index =
        m_isStopped ? std::nullopt : m_core.propose(encodeCommand(command), m_clock.now());
    if (!index) {
        callback(std::nullopt);
        return;
    }
    m_proposals[*index] = {m_core.term(), std::move(callback)};
    scheduleFlush();
}

void ControlNode::read(std::function<void(bool)> callback)
{
    if (m_isStopped || !m_core.read(++m_lastReadId, m_clock.now())) {
        callback(false);
        return;
    }
    m_pendingReads[m_lastReadId] = std::move(callback);
    scheduleFlush();
}

bool ControlNode::hasUpdate(const SubscribeRequest &request) const
{
    return m_state.version() > request.lastVersion
        || m_state.bucketVersion() > request.lastBucketVersion;
}

SubscribeReply ControlNode::makeUpdate(const SubscribeRequest &request) const
{
    SubscribeReply reply;
    if (m_state.version() > request.lastVersion)
        reply.declaration = m_state.current();
    reply.bucketVersion = m_state.bucketVersion();
    if (reply.bucketVersion > request.lastBucketVersion)
        reply.buckets = m_state.buckets();
    reply.isCurrent = isCurrent();
    return reply;
}

void ControlNode::subscribe(const SubscribeRequest &request,
                            std::function<void(SubscribeReply)> callback)
{
    if (hasUpdate(request) || !isCurrent()
        || m_pendingSubscriptions.size() >= MaxPendingSubscriptions) {
        callback(makeUpdate(request));
        return;
    }
    PendingSubscription pending{
        request, std::move(callback),
        std::make_unique<Asio::steady_timer>(
            m_strand, std::chrono::milliseconds(std::min(request.maxWaitMs, MaxSubscribeWaitMs)))};
    const auto it = m_pendingSubscriptions.insert(m_pendingSubscriptions.end(), std::move(pending));
    it->timer->async_wait([self = shared_from_this(), it](const boost::system::error_code &ec) {
        if (ec)
            return;
        const auto expired = std::move(*it);
        self->m_pendingSubscriptions.erase(it);
        expired.callback(self->makeUpdate(expired.request));
    });
}

Status ControlNode::addMember(const RaftMember &member)
{
    auto status = m_core.addMember(member, m_clock.now());
    scheduleFlush();
    return status;
}

Status ControlNode::removeMember(const std::string &instance)
{
    auto status = m_core.removeMember(instance, m_clock.now());
    scheduleFlush();
    return status;
}

// --- Executing actions

void ControlNode::scheduleFlush()
{
    // Commands that arrive during a sync are written together by the next one.
    if (std::exchange(m_isFlushScheduled, true))
        return;
    Asio::post(m_strand, [self = shared_from_this()] { self->flush(); });
}

void ControlNode::flush()
{
    m_isFlushScheduled = false;
    if (m_isStopped)
        return;
    for (;;) {
        const auto actions = m_core.takeActions();
        if (actions.isEmpty() && !compactLogIfLarge())
            break;
        if (!executeActions(actions))
            return;
        m_core.onSynced(m_clock.now());
    }
    if (!m_isStopped)
        afterFlush();
}

bool ControlNode::executeActions(const RaftActions &actions)
{
    if (const auto status = m_storage->persist(actions, m_core); !status) {
        stopAfterError(status.error());
        return false;
    }
    if (actions.snapshot && !restore(*actions.snapshot))
        return false;
    for (const auto &outgoing : actions.messages)
        sendMessage(outgoing);
    for (const auto &entry : actions.committed)
        applyEntry(entry);
    completeReads(actions.reads);
    return !m_isStopped;
}

void ControlNode::sendMessage(const RaftOutgoingMessage &outgoing)
{
    if (isReply(outgoing.message)) {
        // Replies are produced only within receive(), which holds the call open.
        if (m_currentCall && m_currentCall->first == outgoing.to) {
            auto payload = encodeRaft(outgoing.message);
            m_sentBytes += payload.size() + FrameHeaderBytes;
            m_currentCall->second(std::move(payload));
            m_currentCall.reset();
        }
        return;
    }
    const auto *member = m_core.configuration().find(outgoing.to);
    if (member == nullptr)
        return;
    const auto kind = kindOf(outgoing.message);
    const auto timeout = kind == MessageKind::InstallSnapshot ? SnapshotCallTimeout : CallTimeout;
    auto payload = encodeMessage(MemberCall{outgoing.to, encodeRaft(outgoing.message)});
    m_sentBytes += payload.size() + FrameHeaderBytes;
    peerOf(*member).client->call(
        kind, std::move(payload), timeout,
        [self = shared_from_this(), peer = outgoing.to, kind](RpcResult result) {
            Asio::post(self->m_strand, [self, peer, kind, result = std::move(result)] {
                self->onPeerResult(peer, kind, result);
            });
        });
}

ControlNode::Peer &ControlNode::peerOf(const RaftMember &member)
{
    auto &peer = m_peers[member.instance];
    const auto address = Address::parse(member.address).value();
    if (!peer.client || peer.client->address() != address) {
        peer.client = RpcClient::make(m_io, address, m_rpcSettings);
        peer.consecutiveTimeouts = 0;
    }
    return peer;
}

void ControlNode::onPeerResult(const std::string &name, MessageKind kind, const RpcResult &result)
{
    if (m_isStopped)
        return;
    auto &peer = m_peers[name];
    if (const auto *failure = std::get_if<RpcFailure>(&result)) {
        if (failure->error.code == ErrorCode::Timeout
            && ++peer.consecutiveTimeouts >= MaxConsecutiveTimeouts && peer.client) {
            peer.client->stop();
            peer = {};
        }
        return;
    }
    peer.consecutiveTimeouts = 0;
    const auto &payload = std::get<std::string>(result);
    if (kind == MessageKind::PreVote || kind == MessageKind::Vote) {
        if (const auto reply = decodeMessage<RaftVoteReply>(payload))
            m_core.receive(name, reply.value(), m_clock.now());
    } else if (const auto reply = decodeMessage<RaftAppendReply>(payload)) {
        m_core.receive(name, reply.value(), m_clock.now());
    }
    flush();
}

void ControlNode::applyEntry(const RaftEntry &entry)
{
    std::optional<ControlReply> reply;
    if (entry.kind == RaftEntryKind::Command)
        reply = applyCommand(m_state, entry.data);
    else if (entry.kind == RaftEntryKind::Configuration)
        logMembers(entry.index, decodeMessage<RaftConfiguration>(entry.data).value());
    const auto it = m_proposals.find(entry.index);
    if (it == m_proposals.end())
        return;
    auto proposal = std::move(it->second);
    m_proposals.erase(it);
    // An entry of another term at this index means that the proposal was overwritten by another
    // leader.
    proposal.callback(proposal.term == entry.term ? reply : std::nullopt);
}

void ControlNode::logMembers(std::uint64_t index, const RaftConfiguration &group)
{
    const auto namesOf = [&](bool isVoter) {
        std::string names;
        for (const auto &member : group.members) {
            if (member.isVoter == isVoter)
                names += (names.empty() ? "" : ",") + member.instance;
        }
        return names;
    };
    Log::info(LogEvent::MembershipInForce)
        .kv("index", index)
        .kv("voters", namesOf(true))
        .kv("learners", namesOf(false));
}

bool ControlNode::restore(const RaftSnapshot &snapshot)
{
    auto state = ControlState::decode(snapshot.data);
    if (!state) {
        stopAfterError(
            Error{ErrorCode::InvalidMessage, "received snapshot: " + state.error().message});
        return false;
    }
    m_state = std::move(state).value();
    logMembers(snapshot.index, snapshot.configuration);
    return true;
}

void ControlNode::completeReads(const std::vector<RaftReadResult> &results)
{
    for (const auto &result : results) {
        const auto node = m_pendingReads.extract(result.id);
        if (!node.empty())
            node.mapped()(result.isConfirmed);
    }
}

void ControlNode::afterFlush()
{
    if (!m_core.isLeader()) {
        for (auto &[index, proposal] : std::exchange(m_proposals, {}))
            proposal.callback(std::nullopt);
    }
    for (auto it = m_pendingSubscriptions.begin(); it != m_pendingSubscriptions.end();) {
        if (!hasUpdate(it->request) && isCurrent()) {
            ++it;
            continue;
        }
        it->timer->cancel();
        it->callback(makeUpdate(it->request));
        it = m_pendingSubscriptions.erase(it);
    }
    if (m_core.role() != m_loggedRole || m_core.leader() != m_loggedLeader) {
        m_loggedRole = m_core.role();
        m_loggedLeader = m_core.leader();
        Log::info(LogEvent::RoleChanged)
            .kv("role", roleName(m_loggedRole))
            .kv("term", m_core.term())
            .kv("leader", m_loggedLeader);
    }
    if (m_onChange)
        m_onChange();
    if (m_core.hasLostDisk() && !std::exchange(m_isLostDiskLogged, true))
        Log::error(LogEvent::DiskLost)
            .kv("instance", m_settings.instance)
            .kv("fix", "remove this member from the group and add one with a new name");
    armTimer();
}

bool ControlNode::compactLogIfLarge()
{
    const auto entries = m_core.lastIndex() - m_core.snapshotIndex();
    const bool isLarge = m_core.logBytes() > MaxLogBytes || entries > MaxLogEntries;
    if (!isLarge || m_core.appliedIndex() == m_core.snapshotIndex())
        return false;
    (void)m_core.compact(m_core.appliedIndex(), m_state.encode());
    if (const auto status = m_storage->rewrite(m_core.diskState()); !status) {
        stopAfterError(status.error());
        return true;
    }
    Log::info(LogEvent::LogCompacted)
        .kv("index", m_core.snapshotIndex())
        .kv("bytes", m_storage->fileBytes());
    return false;
}

void ControlNode::armTimer()
{
    constexpr Milliseconds MinWait{1};
    const auto wait = std::max(MinWait, m_core.nextDeadline() - m_clock.now());
    m_timer.expires_after(toChrono(wait));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
        if (ec || self->m_isStopped)
            return;
        self->m_core.tick(self->m_clock.now());
        self->flush();
    });
}

void ControlNode::stopAfterError(const Error &error)
{
    // Only errors are returned from here on, because a reply could acknowledge what the disk does
    // not hold.
    m_isStopped = true;
    m_timer.cancel();
    Log::error(LogEvent::VoterStopped)
        .kv("instance", m_settings.instance)
        .kv("reason", error.message);
    m_onFatal(error);
}

std::string ControlNode::statusJson() const
{
    nlohmann::json status{{"instance", m_settings.instance},
                          {"role", roleName(m_core.role())},
                          {"term", m_core.term()},
                          {"leader", m_core.leader()},
                          {"isCurrent", isCurrent()},
                          {"version", m_state.version()},
                          {"commitIndex", m_core.commitIndex()},
                          {"lastIndex", m_core.lastIndex()},
                          {"snapshotIndex", m_core.snapshotIndex()},
                          {"fileBytes", m_storage->fileBytes()},
                          {"sentBytes", m_sentBytes},
                          {"hasLostDisk", m_core.hasLostDisk()},
                          {"members", nlohmann::json::array()},
                          {"replicaSets", nlohmann::json::object()},
                          {"buckets", nlohmann::json::object()},
                          {"warnings", nlohmann::json::array()}};
    for (const auto &member : m_core.configuration().members) {
        nlohmann::json item{{"instance", member.instance},
                            {"address", member.address},
                            {"operatorAddress", member.operatorAddress},
                            {"voter", member.isVoter}};
        if (m_core.isLeader())
            item["matchIndex"] = m_core.matchIndex(member.instance);
        status["members"].push_back(std::move(item));
    }
    for (const auto &[domain, set] : m_state.replicaSets()) {
        auto backups = nlohmann::json::array();
        for (const auto &backup : set.backups)
            backups.push_back(backup.instance);
        status["replicaSets"][domain] = {
            {"epoch", set.epoch}, {"primary", set.primary.instance}, {"backups", backups}};
        if (set.backups.empty())
            status["warnings"].push_back("the ledger of domain '" + domain
                                         + "' has no in-sync backup");
    }
    std::map<std::string, std::pair<int, int>> counts;
    for (const auto &home : m_state.buckets()) {
        ++counts[home.domain].first;
        counts[home.domain].second += home.movingTo.empty() ? 0 : 1;
    }
    for (const auto &[domain, count] : counts)
        status["buckets"][domain] = {{"count", count.first}, {"moving", count.second}};
    if (m_core.configuration().members.empty())
        status["warnings"].push_back("this member is not yet part of a group");
    else if (m_core.configuration().voterCount() < 3)
        status["warnings"].push_back(
            "fewer than 3 voters: the loss of one disk can lose the state");
    return status.dump();
}

} // namespace Camphor
