#include "FleetControl.h"

#include "AsioSupport.h"
#include "Log.h"
#include "RpcDecode.h"
#include "SyncedFile.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

namespace Camphor {

namespace {

namespace Asio = boost::asio;

constexpr Milliseconds TickPeriod{100};
constexpr std::size_t MaxWatchers = 512;
/// Minimum time between writes of the known instances, because a synced write blocks the group.
constexpr Milliseconds StoreInstancesPeriod{2'000};
/// Delay before a failed disk is opened again.
constexpr Milliseconds ReopenDelay{500};
constexpr const char *NameFile = "member-name";

std::uint64_t randomNumber()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

} // namespace

FleetControl::FleetControl(Asio::io_context &io, FleetControlSettings settings)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_timer(io)
    , m_reopenTimer(io)
    , m_directory(m_settings.instanceTimeout)
    , m_epoch(randomNumber())
    , m_seeds(m_settings.seeds)
{
}

Result<std::shared_ptr<FleetControl>> FleetControl::make(Asio::io_context &io,
                                                         const FleetControlSettings &settings)
{
    std::shared_ptr<FleetControl> control(new FleetControl(io, settings));
    if (const auto status = control->open(); !status)
        return status.error();
    return control;
}

// --- Start

Result<std::string> FleetControl::loadOrCreateName(const RaftStorage &storage) const
{
    const auto path = m_settings.dataFolder + "/" + NameFile;
    if (std::ifstream file(path); file) {
        std::string name;
        std::getline(file, name);
        if (!name.empty() && !storage.isNew())
            return name;
    }
    const auto own = m_settings.operatorAddress.toString();
    const bool isFounder = m_settings.isFirstStart
        && std::ranges::find(m_settings.seeds, m_settings.operatorAddress)
            != m_settings.seeds.end();
    // Founders have names that all of them can derive from the settings. A process that starts with
    // an empty disk later has lost its votes, so it must not use a name that a member may have had.
    auto name = isFounder ? own : own + "#" + std::to_string(randomNumber());
    if (const auto status = writeFileSynced(path, name + "\n"); !status)
        return status.error();
    return name;
}

Status FleetControl::openMember()
{
    std::error_code ec;
    std::filesystem::create_directories(m_settings.dataFolder, ec);
    auto opened = RaftStorage::open(m_settings.dataFolder);
    if (!opened)
        return opened.error();
    auto storage = std::move(opened).value();
    const bool isNew = storage->isNew();
    const auto name = loadOrCreateName(*storage);
    if (!name)
        return name.error();
    m_name = name.value();
    if (isNew && m_name == m_settings.operatorAddress.toString()) {
        std::vector<RaftMember> founders;
        std::ranges::transform(m_settings.seeds, std::back_inserter(founders), [&](const auto &it) {
            return RaftMember{it.toString(), Address{it.host, m_settings.listen.port}.toString(),
                              it.toString(), true};
        });
        std::ranges::sort(founders);
        if (const auto status = storage->rewrite(RaftCore::initialState(founders)); !status)
            return status;
        storage.reset();
        auto reopened = RaftStorage::open(m_settings.dataFolder);
        if (!reopened)
            return reopened.error();
        storage = std::move(reopened).value();
    }
    Log::info(LogEvent::MemberStarts)
        .kv("member", m_name)
        .kv("isNew", isNew)
        .kv("isFirstStart", m_settings.isFirstStart)
        .kv("vote-term", storage->state().vote.term)
        .kv("cutBytes", storage->truncatedBytes());

    ControlSettings node;
    node.instance = m_name;
    node.cluster = m_settings.cluster;
    node.listen = m_settings.listen;
    node.operatorListen = m_settings.operatorAddress;
    node.dataFolder = m_settings.dataFolder;
    node.heartbeat = m_settings.heartbeat;
    node.electionTimeout = m_settings.electionTimeout;
    node.startElectionTimeout = m_settings.startElectionTimeout;
    m_node = std::make_shared<ControlNode>(m_io, node, std::move(storage),
                                           [weak = weak_from_this()](const Error &reason) {
                                               if (const auto self = weak.lock())
                                                   self->scheduleReopen(reason);
                                           });
    m_node->setOnChange([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        const auto &document = self->m_node->state().document();
        self->m_documents.add(document.version, document.content);
        self->replyToWatchers(false);
        // A new leader replaces holders as soon as it has applied the existing grants.
        if (self->m_node->isLeader() || self->m_wasLeader)
            Asio::post(self->m_node->strand(), [self] { self->runLeaderDuties(); });
    });

    m_rpcSettings.cluster = m_settings.cluster;
    m_rpcSettings.instance = m_name;
    m_joinClients.clear();
    m_leaderClient.reset();
    m_grantsInFlight = 0;
    m_node->start();
    return okStatus();
}

Status FleetControl::open()
{
    m_startedAt = m_clock.now();
    if (const auto status = openMember(); !status)
        return status;
    RpcSettings settings = m_rpcSettings;
    settings.maxConnections = 1'024;
    auto rpc = RpcServer::make(
        m_io, m_settings.listen, settings,
        [self = shared_from_this()](const RequestOrigin &peer, MessageKind kind,
                                    const std::string &payload, const RpcReply &reply) {
            Asio::post(self->m_node->strand(), [=] { self->onRpc(peer, kind, payload, reply); });
        });
    if (!rpc)
        return rpc.error();
    m_rpc = std::move(rpc).value();
    restoreInstances();
    armTimer();
    return okStatus();
}

RaftMember FleetControl::self() const
{
    return {m_name, m_settings.listen.toString(), m_settings.operatorAddress.toString(), false};
}

void FleetControl::replaceSeeds(std::vector<Address> seeds)
{
    Asio::dispatch(m_node->strand(), [self = shared_from_this(), seeds = std::move(seeds)] {
        self->m_seeds = seeds;
    });
}

// --- Instances

void FleetControl::restoreInstances()
{
    const auto reports = InstanceFile(m_settings.dataFolder).read();
    if (!reports) {
        Log::warning(LogEvent::InstanceFileFailed).kv("reason", reports.error().message);
        return;
    }
    // They count as reported now; those that are gone time out like any other.
    for (const auto &report : reports.value())
        (void)m_directory.report(report, m_clock.now());
    m_storedRevision = m_directory.revision();
    Log::info(LogEvent::InstancesRestored).kv("count", reports.value().size());
}

void FleetControl::storeInstances()
{
    const auto now = m_clock.now();
    if (m_directory.revision() == m_storedRevision || now < m_nextStoreAt)
        return;
    m_nextStoreAt = now + StoreInstancesPeriod;
    m_storedRevision = m_directory.revision();
    auto reports = m_directory.changesSince(0);
    std::erase_if(reports,
                  [](const InstanceReport &it) { return it.state == InstanceState::Gone; });
    if (const auto status = InstanceFile(m_settings.dataFolder).write(reports); !status)
        Log::warning(LogEvent::InstanceFileFailed).kv("reason", status.error().message);
}

void FleetControl::reportInstance(const InstanceReport &report)
{
    m_metrics.countReport(true);
    if (!m_directory.report(report, m_clock.now()))
        return;
    Log::info(LogEvent::InstanceChanged)
        .kv("instance", report.key.id)
        .kv("born", report.key.startTimeMs)
        .kv("sequence", report.sequence)
        .kv("state", report.state == InstanceState::Draining ? "draining" : "ready")
        .kv("domain", report.domain)
        .kv("revision", m_directory.revision());
    replyToWatchers(false);
}

void FleetControl::instanceLeft(const std::string &id, std::uint64_t startTimeMs)
{
    if (!m_directory.leave(id, startTimeMs, m_clock.now()))
        return;
    Log::info(LogEvent::InstanceLeft).kv("instance", id).kv("revision", m_directory.revision());
    replyToWatchers(false);
}

std::string FleetControl::metricsText()
{
    m_metrics.setGauge("camphorspindle_is_leader", "1 if this member leads the group.",
                       m_node->isLeader() ? 1 : 0);
    m_metrics.setGauge("camphorspindle_configuration_version", "Version stored.",
                       static_cast<double>(m_node->state().document().version));
    m_metrics.setGauge("camphorspindle_leader_silence_seconds",
                       "Time since the last contact with a leader.",
                       (m_clock.now() - m_node->lastLeaderContact()).count() / 1'000);
    m_metrics.setGauge("camphorspindle_group_members", "Members of the group.",
                       static_cast<double>(m_node->configuration().members.size()));
    m_metrics.setGauge("camphorspindle_group_voters", "Members of the group that have a vote.",
                       static_cast<double>(m_node->configuration().voterCount()));
    m_metrics.setGauge("camphorspindle_instances_known", "Instances known to this member.",
                       static_cast<double>(m_directory.size()));
    m_metrics.setGauge("camphorspindle_domains_drained", "Failure domains that are drained.",
                       static_cast<double>(m_node->state().drains().domains.size()));
    m_metrics.setGauge("camphorspindle_losses_known", "Lost instances that are remembered.",
                       static_cast<double>(m_losses.size()));
    return m_metrics.text();
}

// --- Calls of other processes

void FleetControl::onRpc(const RequestOrigin &peer, MessageKind kind, const std::string &payload,
                         const RpcReply &reply)
{
    if (m_node->onMemberCall(peer.instance, kind, payload, reply))
        return;
    switch (kind) {
    case MessageKind::WatchFleet:
        return onWatch(payload, reply);
    case MessageKind::ReportLosses:
        return onReportLosses(payload, reply);
    case MessageKind::FetchDocument:
        return onFetch(payload, reply);
    case MessageKind::JoinGroup:
        return onJoin(payload, reply);
    case MessageKind::StoreDocument:
        return onStore(payload, reply);
    case MessageKind::ReadDocument:
        return onRead(reply);
    case MessageKind::DrainDomain:
        return onDrain(peer, payload, reply);
    default:
        return reply(
            Error{ErrorCode::InvalidRequest, "a control instance does not support this call"});
    }
}

void FleetControl::onWatch(const std::string &payload, const RpcReply &reply)
{
    const auto request = decodeOrReject<WatchFleetRequest>(payload, reply);
    if (!request)
        return;
    const auto now = m_clock.now();
    const auto &entry = request->entry;
    const auto change = m_entries.update({entry, now, request->reachableHolders, request->isLeaving,
                                          request->instances, now, request->cpuShare});
    if (change == EntryContacts::Change::Superseded) {
        reply(Error{ErrorCode::Conflict, "a later incarnation of this entry is in contact"});
        return;
    }
    if (change == EntryContacts::Change::NewProcess)
        Log::info(LogEvent::EntryHeard)
            .kv("entry", entry.name)
            .kv("incarnation", entry.incarnation);
    if (hasUpdate(*request) || m_watchers.size() >= MaxWatchers) {
        reply(encodeMessage(makeUpdate(*request)));
        return;
    }
    m_watchers.push_back({*request, reply, now + Milliseconds{double(request->waitMs)}});
}

void FleetControl::onReportLosses(const std::string &payload, const RpcReply &reply)
{
    const auto request = decodeOrReject<ReportLossesRequest>(payload, reply);
    if (!request)
        return;
    reply(std::string());
    bool hasNew = false;
    for (const auto &loss : request->losses)
        hasNew = addLoss(loss) || hasNew;
    if (hasNew)
        replyToWatchers(false);
}

bool FleetControl::addLoss(const InstanceLoss &loss)
{
    if (!m_losses.add(loss, m_clock.now()))
        return false;
    Log::info(LogEvent::LossReported)
        .kv("instance", loss.instance.id)
        .kv("tasks", loss.tasks.size());
    return true;
}

void FleetControl::onFetch(const std::string &payload, const RpcReply &reply)
{
    if (const auto request = decodeOrReject<FetchDocumentRequest>(payload, reply))
        reply(encodeMessage(m_documents.replyTo(*request)));
}

bool FleetControl::hasUpdate(const WatchFleetRequest &request) const
{
    const auto &state = m_node->state();
    return request.directoryEpoch != m_epoch || request.directoryRevision < m_directory.revision()
        || request.lossRevision < m_losses.revision()
        || request.documentVersion < state.document().version
        || request.lastToken < state.lastToken() || request.drainRevision < state.drains().revision;
}

FleetUpdate FleetControl::makeUpdate(const WatchFleetRequest &request) const
{
    const auto &state = m_node->state();
    FleetUpdate update;
    update.directoryEpoch = m_epoch;
    update.directoryRevision = m_directory.revision();
    const bool isSameEpoch = request.directoryEpoch == m_epoch;
    update.instances = m_directory.changesSince(isSameEpoch ? request.directoryRevision : 0);
    update.losses = m_losses.addedSince(isSameEpoch ? request.lossRevision : 0);
    // Revisions are consecutive, so the last loss of a part has the revision that many before.
    const auto sent = std::min(update.losses.size(), MaxLossesPerMessage);
    update.lossRevision = m_losses.revision() - (update.losses.size() - sent);
    update.losses.resize(sent);
    update.documentVersion = state.document().version;
    if (request.lastToken < state.lastToken()) {
        std::ranges::transform(state.grants(), std::back_inserter(update.grants),
                               [](const auto &it) { return it.second; });
    }
    if (request.drainRevision < state.drains().revision)
        update.drains = state.drains();
    update.controlAddresses = controlAddresses();
    update.isLeader = m_node->isLeader();
    return update;
}

void FleetControl::replyToWatchers(bool all)
{
    const auto now = m_clock.now();
    for (auto it = m_watchers.begin(); it != m_watchers.end();) {
        if (!all && now < it->until && !hasUpdate(it->request)) {
            ++it;
            continue;
        }
        it->reply(encodeMessage(makeUpdate(it->request)));
        it = m_watchers.erase(it);
    }
}

std::vector<std::string> FleetControl::controlAddresses() const
{
    std::set<std::string> addresses{m_settings.listen.toString()};
    for (const auto &member : m_node->configuration().members)
        addresses.insert(member.address);
    for (const auto &[name, candidate] : m_candidates)
        addresses.insert(candidate.member.address);
    return {addresses.begin(), addresses.end()};
}

void FleetControl::scheduleReopen(const Error &reason)
{
    Log::error(LogEvent::DiskFailed).kv("member", m_name).kv("reason", reason.message);
    m_reopenTimer.expires_after(toChrono(ReopenDelay));
    m_reopenTimer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
        if (ec)
            return;
        self->m_node->stop();
        self->m_wasLeader = false;
        if (const auto status = self->openMember(); !status)
            self->scheduleReopen(status.error());
    });
}

// --- Time

void FleetControl::armTimer()
{
    m_timer.expires_after(toChrono(TickPeriod));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
        if (ec)
            return;
        Asio::post(self->m_node->strand(), [self] {
            self->tick();
            self->armTimer();
        });
    });
}

void FleetControl::tick()
{
    if (m_directory.expire(m_clock.now()))
        Log::info(LogEvent::InstancesSilent).kv("revision", m_directory.revision());
    evictCandidates();
    m_entries.evictSilent(m_clock.now());
    m_losses.evict(m_clock.now());
    joinGroup();
    runLeaderDuties();
    checkDeparture();
    replyToWatchers(false);
    storeInstances();
}

void FleetControl::runLeaderDuties()
{
    const auto now = m_clock.now();
    const bool isLeader = m_node->isLeader();
    if (isLeader && !m_wasLeader)
        m_leaderSince = now;
    if (isLeader != m_wasLeader) {
        m_wasLeader = isLeader;
        replyToWatchers(true);
    }
    if (!isLeader)
        return;
    changeMembers(now);
    if (m_grantsInFlight == 0)
        grantCells(now);
}

void FleetControl::grantCells(Milliseconds now)
{
    const auto commands =
        dueGrants(m_settings.domains, m_entries.entries(), m_node->state().grants(), m_leaderSince,
                  now, m_settings.assignment);
    m_grantsInFlight = commands.size();
    for (const auto &command : commands) {
        Log::info(LogEvent::CellGrant)
            .kv("cell", command.next.name())
            .kv("cellCount", command.next.cellCount)
            .kv("holder", command.next.holder)
            .kv("incarnation", command.next.incarnation)
            .kv("formerToken", command.expectedToken);
        m_node->propose(command, [weak = weak_from_this()](const std::optional<ControlReply> &) {
            const auto self = weak.lock();
            // Grants that failed are due again.
            if (!self || self->m_grantsInFlight == 0)
                return;
            --self->m_grantsInFlight;
            if (self->m_grantsInFlight == 0)
                Asio::post(self->m_node->strand(), [self] { self->runLeaderDuties(); });
        });
    }
}

} // namespace Camphor
