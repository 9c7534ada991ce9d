#include "FleetEntry.h"

#include "AsioSupport.h"
#include "HostName.h"
#include "Log.h"
#include "RpcDecode.h"
#include "Wire.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>

namespace Camphor {

namespace {

constexpr std::uint32_t NoHolderRetryMs = 1'000;
/// After this share of a ping period without a scheduling pass, the connections of the callers are
/// looked at before anything is renewed or told for them.
constexpr double UnnoticedPauseShare = 0.75;
/// Share of the maximum age of a request by which a sender may take it for older than it is. The
/// rest is for its way.
constexpr double ClockErrorShare = 1.0 / 3;
/// Interval at which a leaving entry checks whether its runs have ended.
constexpr Milliseconds LeavePeriod{50};
/// Time for the control group to learn that this entry leaves.
constexpr Milliseconds LeavePropagationTime{400};

JobOutcome notRun(const char *reason, std::uint32_t retryAfterMs)
{
    return {JobVerdict::NotRun, reason, retryAfterMs};
}

/// Whether another holder is to be tried.
bool isNotHolder(const JobOutcome &outcome)
{
    return outcome.verdict == JobVerdict::NotRun && outcome.reason == NotHolderReason;
}

LogEvent eventOf(ScheduleEvent::Kind kind)
{
    switch (kind) {
    case ScheduleEvent::Kind::Started:
        return LogEvent::RunStarted;
    case ScheduleEvent::Kind::Ended:
        return LogEvent::RunEnded;
    case ScheduleEvent::Kind::TaskFailed:
        return LogEvent::InstanceBlamed;
    case ScheduleEvent::Kind::Refused:
        return LogEvent::JobDropped;
    case ScheduleEvent::Kind::Joined:
        return LogEvent::JobJoined;
    case ScheduleEvent::Kind::Stalled:
        return LogEvent::Stalled;
    case ScheduleEvent::Kind::UnknownRun:
        return LogEvent::RunUnknown;
    case ScheduleEvent::Kind::InstanceRestarted:
        return LogEvent::InstanceRestarted;
    case ScheduleEvent::Kind::InstanceLost:
        return LogEvent::InstanceLost;
    case ScheduleEvent::Kind::Abandoned:
        return LogEvent::RunAbandoned;
    }
    return LogEvent::RunEnded;
}

/// Starts and normal ends are by far the most log lines and may be dropped under load.
bool isRoutine(const ScheduleEvent &event)
{
    using Kind = ScheduleEvent::Kind;
    return event.kind == Kind::Started || event.kind == Kind::Joined
        || (event.kind == Kind::Ended && event.end == RunEnd::Done);
}

} // namespace

FleetEntry::FleetEntry(boost::asio::io_context &io, FleetEntrySettings settings,
                       std::shared_ptr<InstanceClient> instances)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_instances(std::move(instances))
    , m_timer(io)
    , m_graceTimer(io)
    , m_scheduler(m_settings.scheduler)
    , m_replyTimeout(m_settings.scheduler.lease.replyTimeout)
{
    m_scheduler.setMemoryBudget(m_settings.jobMemory);
}

Result<std::shared_ptr<FleetEntry>> FleetEntry::make(boost::asio::io_context &io,
                                                     const FleetEntrySettings &settings,
                                                     std::shared_ptr<InstanceClient> instances)
{
    std::shared_ptr<FleetEntry> entry(new FleetEntry(io, settings, std::move(instances)));
    if (const auto status = entry->open(); !status)
        return status.error();
    return entry;
}

Status FleetEntry::open()
{
    RpcSettings rpc;
    rpc.cluster = m_settings.cluster;
    rpc.instance = m_settings.self.name;
    rpc.incarnation = m_settings.self.incarnation;
    rpc.connectTimeout = Milliseconds{300};
    rpc.maxConnections = 1'024;
    auto server = RpcServer::make(
        m_io, Address::parse(m_settings.self.address).value(), rpc,
        [self = shared_from_this()](const RequestOrigin &peer, MessageKind kind,
                                    const std::string &payload, const RpcReply &reply) {
            const auto readAt = self->m_clock.now();
            boost::asio::post(self->m_io, [=] {
                if (startsWork(kind) && self->isExpired(peer, kind))
                    reply(Error{ErrorCode::Expired, "the request has become too old"});
                else
                    self->onRpc(peer, kind, payload, reply, readAt);
            });
        });
    if (!server)
        return server.error();
    m_rpc = std::move(server).value();
    auto called = rpc;
    called.maxClockError = m_settings.maxRequestAge * ClockErrorShare;
    m_link = std::make_shared<HolderLink>(m_io, called, m_settings.link);
    m_link->setPingPayload([weak = weak_from_this()](const std::string &address) {
        const auto self = weak.lock();
        return self ? self->pingPayload(address) : std::string();
    });
    HolderChoice &choice = *this;
    m_offers = std::make_shared<RunOfferClient>(m_scheduler, m_link, choice, m_settings.maxOffers,
                                                [weak = weak_from_this()] {
                                                    if (const auto self = weak.lock())
                                                        self->schedule();
                                                });
    ControlWatchSettings watch;
    watch.self = m_settings.self;
    watch.rpc = rpc;
    watch.seeds = m_settings.seeds;
    watch.cpuShare = m_settings.cpuShare;
    m_watch = std::make_shared<ControlWatch>(m_io, watch, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onViewChanged();
    });
    m_watch->start();
    m_graceTimer.expires_after(toChrono(m_settings.startGrace));
    m_graceTimer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec)
            self->releaseStartWaiters();
    });
    m_instances->setOnDisconnect([weak = weak_from_this()](const std::string &address) {
        if (const auto self = weak.lock()) {
            self->m_scheduler.onDisconnect(address);
            self->schedule();
        }
    });
    armTimer(m_clock.now());
    return okStatus();
}

void FleetEntry::readConfiguration()
{
    const auto &view = m_watch->view();
    const bool isNewer = !m_configuration || view.documentVersion > m_configuration->version;
    if (!isNewer || view.documentVersion == 0)
        return;
    auto configuration = decodeMessage<FleetConfiguration>(view.documentContent);
    if (!configuration) {
        Log::error(LogEvent::ConfigurationUnreadable)
            .kv("version", view.documentVersion)
            .kv("reason", configuration.error().message);
        return;
    }
    auto inForce = std::move(configuration).value();
    for (auto &queue : inForce.queues)
        queue.host = canonicalHost(queue.host);
    m_configuration = std::make_shared<const FleetConfiguration>(std::move(inForce));
    m_scheduler.configure(m_configuration);
    Log::info(LogEvent::ConfigurationInForce)
        .kv("version", m_configuration->version)
        .kv("queues", m_configuration->queues.size());
}

void FleetEntry::onViewChanged()
{
    const auto &view = m_watch->view();
    readConfiguration();
    m_cells = CellMap(view.grants);
    m_heldCells.clear();
    for (const auto &[domain, cells] : m_cells.domains()) {
        for (const auto &grant : cells) {
            if (isOwn(grant))
                m_heldCells.push_back(grant.name());
        }
    }
    std::map<std::string, std::uint64_t> tokens;
    for (const auto &[id, report] : view.instances.instances()) {
        const auto *grant = m_cells.grantOf(report);
        if (grant != nullptr && isOwn(*grant))
            tokens[id] = grant->token;
    }
    m_scheduler.setDrains(view.drains);
    m_scheduler.setInstances(view.instances.instances(), tokens, m_clock.now());
    m_scheduler.addLosses(view.losses.addedSince(m_lossRevision), m_clock.now());
    m_lossRevision = view.losses.revision();
    if (m_configuration)
        releaseStartWaiters();
    schedule();
}

bool FleetEntry::isOwn(const CellGrant &grant) const
{
    return grant.holder == m_settings.self.name && grant.incarnation == m_settings.self.incarnation;
}

bool FleetEntry::isReady() const
{
    return m_configuration && !m_isLeaving && !m_watch->view().grants.empty();
}

std::string FleetEntry::metricsText(std::size_t callerConnections,
                                    const HttpServerCounters &callers)
{
    const auto now = m_clock.now();
    m_metrics.setGauge("camphorspindle_configuration_version", "Version in force.",
                       m_configuration ? static_cast<double>(m_configuration->version) : 0);
    m_metrics.setGauge("camphorspindle_jobs_waiting",
                       "Jobs whose callers wait for a response here.",
                       static_cast<double>(m_pendingJobs.size()));
    m_metrics.setGauge("camphorspindle_jobs_scheduled", "Jobs of the cells held here.",
                       static_cast<double>(m_scheduler.jobCount()));
    m_metrics.setGauge("camphorspindle_cells_held", "Cells held by this entry.",
                       static_cast<double>(m_heldCells.size()));
    m_metrics.setGauge("camphorspindle_domains_drained", "Failure domains that are drained.",
                       static_cast<double>(m_watch->view().drains.domains.size()));
    m_metrics.setGauge("camphorspindle_instances_usable", "Held instances that can start new runs.",
                       static_cast<double>(m_scheduler.usableInstances(now)));
    const auto speeds = m_scheduler.speeds().range();
    m_metrics.setGauge("camphorspindle_run_time_factor_lowest",
                       "Run time on the fastest instance, compared with the fleet.", speeds.lowest);
    m_metrics.setGauge("camphorspindle_run_time_factor_median",
                       "Run time on the median instance, compared with the fleet.", speeds.median);
    m_metrics.setGauge("camphorspindle_run_time_factor_highest",
                       "Run time on the slowest instance, compared with the fleet.",
                       speeds.highest);
    m_metrics.setGauge("camphorspindle_caller_connections", "Open connections of callers.",
                       static_cast<double>(callerConnections));
    m_metrics.setGauge("camphorspindle_caller_connections_evicted",
                       "Connections of callers closed in favour of new ones since the start.",
                       static_cast<double>(callers.evictedConnections));
    m_metrics.setGauge("camphorspindle_requests_oversized",
                       "Requests of callers beyond a limit for one request since the start.",
                       static_cast<double>(callers.oversizedRequests));
    m_metrics.setGauge("camphorspindle_requests_without_memory",
                       "Requests of callers refused by the memory budget since the start.",
                       static_cast<double>(callers.memoryRefusals));
    m_metrics.setGauge("camphorspindle_job_memory_limit_bytes", "What jobs in progress may take.",
                       static_cast<double>(m_settings.jobMemory->bytes()));
    m_metrics.setGauge("camphorspindle_job_memory_bytes", "What jobs in progress take.",
                       static_cast<double>(m_settings.jobMemory->used()));
    return m_metrics.text();
}

// --- Jobs of callers

void FleetEntry::submit(const FleetJob &job, OutcomeCallback callback,
                        std::shared_ptr<CallerConnection> caller)
{
    if (m_hasStoppedAccepting) {
        Log::decision(LogEvent::JobAnswered).kv("request", job.id).kv("reason", "shutting-down");
        callback(notRun("shutting-down", NoHolderRetryMs));
        return;
    }
    MemoryReservation memory(m_settings.jobMemory);
    if (!m_pendingJobs.contains(job.id) && !memory.resize(memoryOf(job))) {
        Log::decision(LogEvent::JobAnswered).kv("request", job.id).kv("reason", "memory-limit");
        callback(notRun("memory-limit", NoHolderRetryMs));
        return;
    }
    auto &pending = m_pendingJobs[job.id];
    pending.callers.push_back({std::move(callback), std::move(caller)});
    if (pending.callers.size() > 1) {
        Log::decision(LogEvent::JobJoined).kv("request", job.id);
        return;
    }
    pending.job = job;
    pending.memory = std::move(memory);
    pending.arrivedAt = m_clock.now() - Milliseconds{job.waitedMs};
    pending.submission = ++m_lastSubmission;
    route({job.id, pending.submission});
}

const CellGrant *FleetEntry::nextGrant(const std::vector<std::string> &tried, bool skipsFull)
{
    const auto now = m_clock.now();
    const auto isUsable = [&](const CellGrant &grant) {
        const auto full = m_fullUntil.find(grant.address);
        return std::ranges::find(tried, grant.address) == tried.end()
            && !m_watch->view().drains.contains(grant.domain)
            && (isOwn(grant) || m_link->isUsable(grant.address))
            && (!skipsFull || full == m_fullUntil.end() || now >= full->second);
    };
    const auto pick = [&](const std::vector<CellGrant> &cells) -> const CellGrant * {
        ++m_roundRobin;
        for (std::size_t n = 0; n < cells.size(); ++n) {
            const auto &grant = cells[(m_roundRobin + n) % cells.size()];
            if (isUsable(grant))
                return &grant;
        }
        return nullptr;
    };
    if (const auto *grant = pick(m_cells.cells(m_settings.self.domain)))
        return grant;
    // Jobs without a usable holder in the own domain are spread over the other domains.
    const auto &domains = m_cells.domains();
    for (std::size_t n = 0; n < domains.size(); ++n) {
        const auto it = std::next(domains.begin(), (m_roundRobin + n) % domains.size());
        if (const auto *grant = pick(it->second))
            return grant;
    }
    return nullptr;
}

std::optional<std::string> FleetEntry::nextHolder(const std::vector<std::string> &tried)
{
    auto excluded = tried;
    excluded.push_back(m_settings.self.address);
    const auto *grant = nextGrant(excluded, true);
    return grant == nullptr ? std::nullopt : std::optional(grant->address);
}

void FleetEntry::onHolderFull(const std::string &address)
{
    m_fullUntil[address] = m_clock.now() + m_settings.fullHolderBackoff;
}

FleetEntry::PendingJob *FleetEntry::find(const JobKey &key)
{
    const auto it = m_pendingJobs.find(key.id);
    const bool isPresent = it != m_pendingJobs.end() && it->second.submission == key.submission;
    return isPresent ? &it->second : nullptr;
}

bool FleetEntry::isWanted(const JobKey &job) const
{
    const auto it = m_pendingJobs.find(job.id);
    const bool isLocal = it != m_pendingJobs.end() && it->second.scheduled == job;
    return m_scheduler.isWanted(job, m_clock.now()) && !(isLocal && it->second.isAbandoned());
}

void FleetEntry::route(const JobKey &key)
{
    auto &pending = m_pendingJobs.at(key.id);
    // A caller that has disconnected may have resent its job, which must not run twice.
    if (pending.isAbandoned()) {
        abandon(key.id);
        return;
    }
    const auto *grant = nextGrant(pending.tried, true);
    if (grant == nullptr)
        grant = nextGrant(pending.tried, false);
    if (grant == nullptr) {
        onNoHolder(key);
        return;
    }
    pending.tried.push_back(grant->address);
    pending.job.waitedMs = (m_clock.now() - pending.arrivedAt).count();
    const bool isLocal = isOwn(*grant);
    pending.address = isLocal ? std::string() : grant->address;
    Log::decision(LogEvent::JobRouted)
        .kv("request", key.id)
        .kv("queue", pending.job.queue)
        .kv("cell", grant->name())
        .kv("holder", grant->holder)
        .kv("token", grant->token)
        .kv("configuration", m_configuration ? m_configuration->version : 0);
    if (isLocal) {
        pending.scheduled = m_scheduler.submit(pending.job, {}, m_clock.now());
        schedule();
        return;
    }
    m_link->submit(grant->address, {pending.job}, [self = shared_from_this(), key](const auto &it) {
        self->onForwardResult(key, it);
    });
}

bool FleetEntry::isStarting() const
{
    return m_clock.now() - m_startedAt < m_settings.startGrace && !m_isLeaving;
}

void FleetEntry::onNoHolder(const JobKey &key)
{
    if (!isStarting()) {
        respond(key.id, notRun("no-holder", NoHolderRetryMs));
        return;
    }
    // No holder has accepted the job, so all of them may be tried again.
    m_pendingJobs.at(key.id).tried.clear();
    auto timer =
        std::make_shared<boost::asio::steady_timer>(m_io, toChrono(m_settings.rerouteDelay));
    timer->async_wait([self = shared_from_this(), timer, key](const boost::system::error_code &) {
        if (self->find(key) != nullptr)
            self->route(key);
    });
}

void FleetEntry::whenConfigured(std::function<void(Milliseconds waited)> callback)
{
    const bool mayWait =
        !m_configuration && isStarting() && m_startWaiters.size() < m_settings.maxStartWaiters;
    if (!mayWait) {
        callback(Milliseconds{0});
        return;
    }
    m_startWaiters.push_back({m_clock.now(), std::move(callback)});
}

void FleetEntry::releaseStartWaiters()
{
    const auto now = m_clock.now();
    for (const auto &[since, callback] : std::exchange(m_startWaiters, {}))
        callback(now - since);
}

void FleetEntry::onForwardResult(const JobKey &key,
                                 const std::variant<JobOutcome, ForwardFailure> &it)
{
    if (find(key) == nullptr)
        return;
    if (const auto *failure = std::get_if<ForwardFailure>(&it)) {
        if (*failure == ForwardFailure::NotHandled)
            route(key);
        else
            respond(key.id, {JobVerdict::Unknown, "holder-lost", 0});
        return;
    }
    const auto &outcome = std::get<JobOutcome>(it);
    if (isNotHolder(outcome))
        route(key);
    else
        respond(key.id, outcome);
}

void FleetEntry::respond(const std::string &jobId, const JobOutcome &outcome)
{
    const auto node = m_pendingJobs.extract(jobId);
    if (node.empty())
        return;
    const auto &pending = node.mapped();
    // Outcomes that on-call engineers look for are not dropped with the routine lines under load.
    const bool isRoutine = outcome.verdict == JobVerdict::Completed;
    LogLine(isRoutine ? LogLevel::Decision : LogLevel::Info, LogEvent::JobAnswered)
        .kv("request", jobId)
        .kv("queue", pending.job.queue)
        .kv("verdict", jobVerdictName(outcome.verdict))
        .kv("reason", outcome.reason)
        .kv("ms", (m_clock.now() - pending.arrivedAt).count());
    m_metrics.countJob(pending.job.queue, outcome.verdict, m_clock.now() - pending.arrivedAt);
    for (const auto &caller : pending.callers)
        caller.respond(outcome);
}

void FleetEntry::onDisconnect(const std::string &jobId)
{
    const auto it = m_pendingJobs.find(jobId);
    if (it != m_pendingJobs.end() && it->second.isAbandoned())
        abandon(jobId);
}

void FleetEntry::abandonUnwantedJobs()
{
    std::vector<std::string> unwanted;
    for (const auto &[id, pending] : m_pendingJobs) {
        if (pending.isAbandoned())
            unwanted.push_back(id);
    }
    for (const auto &id : unwanted)
        abandon(id);
}

void FleetEntry::abandon(const std::string &jobId)
{
    const auto node = m_pendingJobs.extract(jobId);
    if (node.empty())
        return;
    const auto &pending = node.mapped();
    Log::decision(LogEvent::JobAbandoned)
        .kv("request", jobId)
        .kv("ms", (m_clock.now() - pending.arrivedAt).count());
    if (!pending.address.empty()) {
        m_link->cancel(pending.address, jobId);
        return;
    }
    m_scheduler.cancel(jobId, {}, m_scheduledAt, m_clock.now());
    schedule();
}

// --- Jobs of other entries

void FleetEntry::onRpc(const RequestOrigin &peer, MessageKind kind, const std::string &payload,
                       const RpcReply &reply, Milliseconds readAt)
{
    // A requester that has lost its connection has given up the jobs that it submitted on it, so
    // its contact on a new connection must not keep them alive.
    const auto requester = peer.instance + "/" + std::to_string(peer.incarnation) + "/"
        + std::to_string(peer.connection);
    const bool wasLate = readAt - peer.sentAfter > m_settings.maxRequestAge;
    const auto contactAt = wasLate ? peer.sentAfter : readAt;
    m_scheduler.onRequesterContact(requester, contactAt);
    switch (kind) {
    case MessageKind::Ping:
        return onPing(requester, payload, reply, contactAt);
    case MessageKind::SubmitJob:
        return onSubmit(requester, payload, reply);
    case MessageKind::CancelJob: {
        if (const auto request = decodeMessage<CancelJobRequest>(payload)) {
            m_scheduler.cancel(request.value().jobId, requester, peer.sentAfter, m_clock.now());
            schedule();
        }
        return reply(std::string());
    }
    case MessageKind::OfferRuns:
        return onOfferRuns(requester, payload, reply);
    case MessageKind::AwaitRuns:
        return onAwaitRuns(requester, payload, reply);
    case MessageKind::StopRuns:
        return onStopRuns(requester, payload, reply, peer.sentAfter);
    default:
        return reply(Error{ErrorCode::InvalidRequest, "an entry does not support this call"});
    }
}

bool FleetEntry::isExpired(const RequestOrigin &peer, MessageKind kind)
{
    const auto age = m_clock.now() - peer.sentAfter;
    if (age <= m_settings.maxRequestAge)
        return false;
    m_metrics.countExpiredRequest();
    Log::info(LogEvent::RequestExpired)
        .kv("from", peer.instance)
        .kv("kind", kind == MessageKind::SubmitJob ? "submission" : "offer")
        .kv("ms", age.count());
    return true;
}

bool FleetEntry::wasUnnoticedPause(Milliseconds now) const
{
    return now - m_scheduledAt > m_settings.link.pingPeriod * UnnoticedPauseShare;
}

std::string FleetEntry::pingPayload(const std::string &address) const
{
    const auto now = m_clock.now();
    // After a pause, nothing is said of callers whose connections have not been looked at.
    if (wasUnnoticedPause(now))
        return {};
    const auto ages = m_scheduler.requesterAges(address, now);
    return ages.jobs.empty() ? std::string() : encodeMessage(ages);
}

void FleetEntry::onPing(const std::string &requester, const std::string &payload,
                        const RpcReply &reply, Milliseconds contactAt)
{
    if (!payload.empty()) {
        const auto ages = decodeOrReject<RequesterAges>(payload, reply);
        if (!ages)
            return;
        m_scheduler.onRequesterAges(requester, *ages, contactAt);
    }
    reply(std::string());
}

void FleetEntry::onOfferRuns(const std::string &requester, const std::string &payload,
                             const RpcReply &reply)
{
    const auto offer = decodeOrReject<RunOffer>(payload, reply);
    if (!offer)
        return;
    RunOfferReply response;
    if (isHolder() && !m_isLeaving)
        response = m_scheduler.startOffered(*offer, requester, m_clock.now());
    m_metrics.countOffer(!response.started.empty());
    reply(encodeMessage(response));
    schedule();
}

void FleetEntry::onAwaitRuns(const std::string &requester, const std::string &payload,
                             const RpcReply &reply)
{
    const auto request = decodeOrReject<AwaitRunsRequest>(payload, reply);
    if (!request)
        return;
    std::vector<AcceptedRunKey> runs;
    std::ranges::transform(request->runs, std::back_inserter(runs), [&](const RunKey &it) {
        return AcceptedRunKey{requester, request->job.submission, it};
    });
    m_waiters.await(
        runs, [reply](const AwaitRunsReply &ended) { reply(encodeMessage(ended)); },
        [this](const AcceptedRunKey &key) { return m_scheduler.hasAccepted(key); });
}

void FleetEntry::onStopRuns(const std::string &requester, const std::string &payload,
                            const RpcReply &reply, Milliseconds sentAfter)
{
    const auto request = decodeOrReject<StopRunsRequest>(payload, reply);
    if (!request)
        return;
    m_scheduler.stopOffered(*request, requester, sentAfter, m_clock.now());
    schedule();
    reply(std::string());
}

void FleetEntry::onSubmit(const std::string &requester, const std::string &payload,
                          const RpcReply &reply)
{
    const auto request = decodeOrReject<SubmitJobRequest>(payload, reply);
    if (!request)
        return;
    if (!isHolder() || m_isLeaving) {
        reply(encodeMessage(notRun(NotHolderReason, NoHolderRetryMs)));
        return;
    }
    const auto key = m_scheduler.submit(request->job, requester, m_clock.now());
    m_replies[key].push_back(reply);
    schedule();
}

// --- Scheduling

void FleetEntry::schedule()
{
    if (std::exchange(m_isScheduling, true))
        return;
    // Coalesces events, so that those handled together share one scheduling pass.
    boost::asio::post(m_io, [self = shared_from_this()] {
        self->m_isScheduling = false;
        const auto now = self->m_clock.now();
        // No lease is renewed for callers that have left while this process did not run.
        if (self->wasUnnoticedPause(now))
            self->abandonUnwantedJobs();
        self->m_scheduledAt = now;
        std::vector<std::string> reachable;
        for (const auto &grant : self->m_cells.cells(self->m_settings.self.domain)) {
            if (self->m_link->hadRecentContact(grant.address))
                reachable.push_back(grant.holder);
        }
        self->m_watch->setReachableHolders(std::move(reachable));
        self->m_scheduler.advance(now);
        self->reportLosses();
        self->sendOrders();
        self->deliverResults();
        self->makeOffers(now);
        self->logEvents();
        self->armTimer(now);
    });
}

void FleetEntry::reportLosses()
{
    const auto losses = m_scheduler.takeLosses();
    if (!losses.empty())
        m_watch->reportLosses(losses);
}

void FleetEntry::sendOrders()
{
    const auto timeout = m_replyTimeout.timeout();
    const auto sentAt = m_clock.now();
    for (const auto &order : m_scheduler.takeStarts()) {
        m_instances->start(
            order, timeout, [self = shared_from_this(), order, sentAt](const auto &reply) {
                self->countReply("start", reply.result, self->m_clock.now() - sentAt);
                self->m_scheduler.onStartReply(order, reply, self->m_clock.now());
                self->schedule();
            });
    }
    for (const auto &order : m_scheduler.takeStops()) {
        m_instances->stop(order, timeout,
                          [self = shared_from_this(), order, sentAt](const auto &reply) {
                              self->countReply("stop", reply.result, self->m_clock.now() - sentAt);
                              self->m_scheduler.onStopReply(order, reply, self->m_clock.now());
                              self->schedule();
                          });
    }
    for (const auto &order : m_scheduler.takeHolds()) {
        m_instances->hold(order, Milliseconds{double(order.waitMs)} + timeout,
                          [self = shared_from_this(), order](const auto &reply) {
                              self->m_metrics.countOrder("hold", reply.result);
                              self->m_scheduler.onHoldReply(order, reply, self->m_clock.now());
                              self->schedule();
                          });
    }
}

void FleetEntry::countReply(const char *order, OrderResult result, Milliseconds elapsed)
{
    m_metrics.countOrder(order, result);
    if (result != OrderResult::NoReply && result != OrderResult::NotSent)
        m_replyTimeout.addReply(elapsed);
}

void FleetEntry::deliverResults()
{
    for (const auto &[key, outcome] : m_scheduler.takeResults()) {
        if (const auto node = m_replies.extract(key); !node.empty()) {
            for (const auto &reply : node.mapped())
                reply(encodeMessage(outcome));
        }
        const auto it = m_pendingJobs.find(key.id);
        if (it == m_pendingJobs.end() || it->second.scheduled != key)
            continue;
        if (isNotHolder(outcome))
            route({key.id, it->second.submission});
        else
            respond(key.id, outcome);
    }
}

void FleetEntry::makeOffers(Milliseconds now)
{
    for (const auto &stop : m_scheduler.takeRemoteStops())
        m_offers->stopRuns(stop);
    for (const auto &end : m_scheduler.takeAcceptedEnds())
        m_waiters.onEnd(end, now);
    m_waiters.evict(now);
    for (auto &offer : m_scheduler.takeOffers(now))
        m_offers->offer(std::move(offer));
}

void FleetEntry::logEvents()
{
    for (const auto &event : m_scheduler.takeEvents()) {
        if (event.kind == ScheduleEvent::Kind::Started)
            m_metrics.countStart(Milliseconds{event.value});
        if (event.end)
            m_metrics.countRunEnd(*event.end);
        LogLine(isRoutine(event) ? LogLevel::Decision : LogLevel::Info, eventOf(event.kind))
            .kv("request", event.jobId)
            .kv("task", event.run.task)
            .kv("run", event.run.run)
            .kv("instance", event.instance)
            .kv("reason", event.detail)
            .kv("value", event.value);
    }
}

void FleetEntry::armTimer(Milliseconds now)
{
    constexpr Milliseconds MinWait{1};
    const auto wait = std::max(MinWait, m_scheduler.nextDeadline(now) - now);
    m_timer.expires_after(toChrono(wait));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec)
            self->schedule();
    });
}

// --- Leaving

void FleetEntry::leave()
{
    m_isLeaving = true;
    m_leavingSince = m_clock.now();
    checkLeaving();
}

void FleetEntry::abandonAll()
{
    while (!m_pendingJobs.empty()) {
        const auto jobId = m_pendingJobs.begin()->first;
        const auto callers = m_pendingJobs.begin()->second.callers;
        abandon(jobId);
        for (const auto &caller : callers)
            caller.respond({JobVerdict::Unknown, "shutting-down", 0});
    }
}

void FleetEntry::stop()
{
    m_isLeaving = true;
    m_startWaiters.clear();
    m_timer.cancel();
    m_graceTimer.cancel();
    m_watch->stop();
    m_offers->stop();
    m_link->stop();
    m_rpc->stop();
    m_rpc.reset();
}

void FleetEntry::checkLeaving()
{
    const auto elapsed = m_clock.now() - m_leavingSince;
    // While its runs last, this entry keeps its cells: another holder would have to stop the runs.
    const bool isIdle = m_scheduler.jobCount() + m_scheduler.acceptedRunCount() == 0;
    if (isIdle || elapsed > m_settings.cellReleaseTimeout)
        m_watch->setLeaving(true);
    m_hasLeft = isIdle
        && (m_heldCells.empty() || elapsed > m_settings.cellReleaseTimeout + LeavePropagationTime);
    if (m_hasLeft)
        return;
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, toChrono(LeavePeriod));
    timer->async_wait([self = shared_from_this(), timer](const boost::system::error_code &) {
        self->checkLeaving();
    });
}

} // namespace Camphor
