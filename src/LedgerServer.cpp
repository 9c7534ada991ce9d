#include "LedgerServer.h"

#include "AsioSupport.h"
#include "LedgerJournal.h"
#include "Log.h"
#include "RpcClient.h"
#include "Wire.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <vector>

namespace Camphor {

namespace {

namespace Asio = boost::asio;

/// Interval between two ticks if no other event occurs.
constexpr Milliseconds TickInterval{10};
/// Timeout of a call to another replica. Longer than a slow sync, because the lease and not this
/// timeout decides whether a replica counts as lost.
constexpr Milliseconds ReplicaCallTimeout{2'000};
/// Upper bound on the time to close all connections at the end of a drain.
constexpr Milliseconds CloseLimit{500};
/// Bytes of claims copied in one snapshot step, during which calls wait.
constexpr std::size_t SnapshotStepBytes = std::size_t{512} * 1024;

/// Runs blocking jobs one after the other on its own thread. A job must not own the object that
/// owns the thread, because a thread cannot join itself.
class DiskThread
{
public:
    DiskThread()
        : m_thread([this](const std::stop_token &stop) { run(stop); })
    {
    }

    void post(std::function<void()> job)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_jobs.push_back(std::move(job));
        }
        m_wake.notify_one();
    }

private:
    void run(const std::stop_token &stop)
    {
        while (true) {
            std::function<void()> job;
            {
                std::unique_lock lock(m_mutex);
                if (!m_wake.wait(lock, stop, [&] { return !m_jobs.empty(); }))
                    return;
                job = std::move(m_jobs.front());
                m_jobs.pop_front();
            }
            job();
        }
    }

    std::mutex m_mutex;
    std::condition_variable_any m_wake;
    std::deque<std::function<void()>> m_jobs;
    /// Declared last, so that it is joined before the members it uses are destroyed.
    std::jthread m_thread;
};

class RpcLedgerServer : public LedgerServer, public std::enable_shared_from_this<RpcLedgerServer>
{
public:
    RpcLedgerServer(Asio::io_context &io, LedgerServerSettings settings)
        : m_io(io)
        , m_strand(Asio::make_strand(io))
        , m_timer(m_strand)
        , m_settings(std::move(settings))
    {
    }

    Status start(std::shared_ptr<SyncedFolder> folder, const ReplicaSetStoreFactory &makeStore)
    {
        LedgerLog log(m_settings.retention);
        m_folder = std::move(folder);
        if (m_folder) {
            auto journal = LedgerJournal::open(m_folder, m_settings.retention, log);
            if (!journal)
                return journal.error();
            m_journal = std::move(journal).value();
            m_disk = std::make_unique<DiskThread>();
            m_snapshotDisk = std::make_unique<DiskThread>();
        }
        m_rpc.cluster = m_settings.cluster;
        m_rpc.instance = m_settings.instance;
        m_rpc.incarnation = m_settings.incarnation;
        m_rpc.maxConnections = m_settings.maxConnections;
        auto server = RpcServer::make(
            m_io, m_settings.listen, m_rpc,
            [weak = weak_from_this()](const Hello &peer, MessageKind kind, std::string payload,
                                      RpcReply reply) {
                if (const auto self = weak.lock())
                    self->onRequest(peer, kind, std::move(payload), std::move(reply));
            });
        if (!server)
            return server.error();
        m_server = std::move(server).value();
        LedgerReplicaSettings replica;
        replica.instance = m_settings.instance;
        replica.domain = m_settings.domain;
        replica.address = Address{m_settings.listen.host, m_server->port()}.toString();
        replica.incarnation = m_settings.incarnation;
        replica.hasDisk = m_folder != nullptr;
        replica.timing = m_settings.timing;
        replica.retention = m_settings.retention;
        Log::info(LogEvent::LedgerRecovered)
            .kv("claims", log.state().size())
            .kv("last", log.last())
            .kv("epoch", log.promisedEpoch())
            .kv("disk", m_folder ? "yes" : "no");
        m_replica = std::make_unique<LedgerReplica>(replica, std::move(log), m_clock.now());
        m_store = makeStore(m_replica->self(), m_replica->log().promisedEpoch());
        Asio::post(m_strand, [self = shared_from_this()] { self->onTimer(); });
        return okStatus();
    }

    [[nodiscard]] std::uint16_t port() const override { return m_server->port(); }

    void setRetention(const RetentionDeclaration &retention) override
    {
        Asio::post(m_strand, [self = shared_from_this(), retention] {
            self->m_replica->setRetention(retention);
        });
    }

    void drain(Milliseconds limit, std::function<void()> onDone) override
    {
        Asio::post(m_strand, [self = shared_from_this(), limit, onDone = std::move(onDone)] {
            Log::info(LogEvent::LedgerDraining).kv("waiting", self->m_calls.size());
            self->m_drainEnd = self->m_clock.now() + limit;
            self->m_onDrained = onDone;
        });
    }

private:
    using Strand = Asio::strand<Asio::io_context::executor_type>;

    // Incoming requests.

    void onRequest(const Hello &peer, MessageKind kind, std::string payload, RpcReply reply)
    {
        Asio::post(m_strand,
                   [self = shared_from_this(), peer, kind, payload = std::move(payload),
                    reply = std::move(reply)]() mutable {
                       self->handle(peer, kind, payload, std::move(reply));
                   });
    }

    void handle(const Hello &peer, MessageKind kind, const std::string &payload, RpcReply reply)
    {
        if (m_isStopped
            || (m_onDrained && kind != MessageKind::Replicate && kind != MessageKind::LeaseRenew)) {
            reply(Error{ErrorCode::Unavailable, "the ledger is shutting down"});
            return;
        }
        switch (kind) {
        case MessageKind::Claim:
            handleClaim(peer, payload, std::move(reply));
            break;
        case MessageKind::Finish:
            handleFinish(peer, payload, std::move(reply));
            break;
        case MessageKind::Query:
            handleQuery(peer, payload, std::move(reply));
            break;
        case MessageKind::LedgerStatus:
            handleStatus(reply);
            break;
        case MessageKind::Replicate:
        case MessageKind::LeaseRenew:
            handleReplicate(peer, kind, payload, std::move(reply));
            break;
        case MessageKind::Catchup:
            handleCatchup(peer, payload, std::move(reply));
            break;
        default:
            refuse(peer, reply, "unknown message kind");
            break;
        }
        runActions();
    }

    void refuse(const Hello &peer, const RpcReply &reply, const std::string &reason)
    {
        ++m_refusedMessages;
        Log::warning(LogEvent::LedgerMessageRefused).kv("peer", peer.instance).kv("reason", reason);
        reply(Error{ErrorCode::InvalidMessage, reason});
    }

    static bool isValidKey(const std::string &key)
    {
        return !key.empty() && key.size() <= MaxKeyBytes;
    }

    void handleClaim(const Hello &peer, const std::string &payload, RpcReply reply)
    {
        const auto request = decodeMessage<ClaimRequest>(payload);
        if (!request || !isValidKey(request.value().key) || request.value().nonce.empty()) {
            refuse(peer, reply, "malformed claim");
            return;
        }
        const auto call = registerCall(std::move(reply));
        m_replica->claim(call, request.value(), static_cast<std::int64_t>(wallClockMs()),
                         m_clock.now());
    }

    void handleFinish(const Hello &peer, const std::string &payload, RpcReply reply)
    {
        const auto request = decodeMessage<FinishRequest>(payload);
        if (!request || !isValidKey(request.value().key)
            || request.value().outcome > Outcome::Unknown
            || request.value().outcome < Outcome::NotRun) {
            refuse(peer, reply, "malformed finish");
            return;
        }
        const auto call = registerCall(std::move(reply));
        m_replica->finish(call, request.value(), m_clock.now());
    }

    void handleQuery(const Hello &peer, const std::string &payload, RpcReply reply)
    {
        const auto request = decodeMessage<QueryRequest>(payload);
        if (!request || !isValidKey(request.value().key)) {
            refuse(peer, reply, "malformed query");
            return;
        }
        const auto call = registerCall(std::move(reply));
        m_replica->query(call, request.value(), static_cast<std::int64_t>(wallClockMs()),
                         m_clock.now());
    }

    void handleStatus(const RpcReply &reply)
    {
        auto status = m_replica->status(m_clock.now());
        status.syncs = m_journalSyncs;
        status.refusedMessages += m_refusedMessages + m_server->refusedPeers();
        reply(encodeMessage(status));
    }

    void handleReplicate(const Hello &peer, MessageKind kind, const std::string &payload,
                         RpcReply reply)
    {
        const auto request = decodeMessage<ReplicateRequest>(payload);
        if (!request || (kind == MessageKind::LeaseRenew) != request.value().entries.empty()) {
            refuse(peer, reply, "malformed replication message");
        } else if (peer.instance != request.value().set.primary.instance) {
            refuse(peer, reply, "the sender is not the primary of the set in its message");
        } else {
            const auto call = registerCall(std::move(reply));
            m_replica->replicateReceived(call, request.value(), m_clock.now());
        }
    }

    void handleCatchup(const Hello &peer, const std::string &payload, RpcReply reply)
    {
        const auto request = decodeMessage<CatchupRequest>(payload);
        if (!request || !Address::parse(request.value().member.address)) {
            refuse(peer, reply, "malformed catch-up message");
        } else if (peer.instance != request.value().member.instance
                   || request.value().domain != m_settings.domain) {
            refuse(peer, reply,
                   "the sender's instance or domain does not match its catch-up request");
        } else {
            m_replica->catchupReceived(registerCall(std::move(reply)), request.value(),
                                       m_clock.now());
        }
    }

    LedgerCallId registerCall(RpcReply reply)
    {
        m_calls.emplace(++m_lastCall, std::move(reply));
        return m_lastCall;
    }

    template <typename T>
    void replyTo(LedgerCallId call, const T &message)
    {
        const auto it = m_calls.find(call);
        if (it == m_calls.end())
            return;
        const auto reply = std::move(it->second);
        m_calls.erase(it);
        reply(encodeMessage(message));
    }

    // Actions of the replica.

    /// Ticks the replica and executes its actions. Must be called after every event.
    void runActions()
    {
        if (m_isStopped)
            return;
        m_replica->tick(m_clock.now());
        for (auto &action : m_replica->takeActions())
            std::visit([this](auto &it) { execute(it); }, action);
        writeJournal();
    }

    void execute(LedgerActions::WriteJournal &action)
    {
        m_queuedRecords.push_back(std::move(action.record));
        m_queuedPosition = action.position;
    }

    void execute(LedgerActions::SendReplicate &action)
    {
        const auto kind =
            action.request.entries.empty() ? MessageKind::LeaseRenew : MessageKind::Replicate;
        callReplica(action.to, kind, encodeMessage(action.request), [this](const std::string &it) {
            if (const auto reply = decodeMessage<ReplicateReply>(it))
                m_replica->replicateReplied(reply.value(), m_clock.now());
        });
    }

    void execute(LedgerActions::SendCatchup &action)
    {
        callReplica(action.to, MessageKind::Catchup, encodeMessage(action.request),
                    [this](const std::string &it) {
                        auto reply = decodeMessage<CatchupReply>(it);
                        if (reply)
                            m_replica->catchupReplied(std::move(reply).value(), m_clock.now());
                    });
    }

    void execute(LedgerActions::ReadSet &)
    {
        m_store->read(m_settings.domain, [self = shared_from_this()](Result<ReplicaSet> result) {
            Asio::post(self->m_strand, [self, result = std::move(result)] {
                self->m_replica->setRead(result, self->m_clock.now());
                self->runActions();
            });
        });
    }

    void execute(LedgerActions::ChangeSet &action)
    {
        const auto next = action.next;
        Log::info(LogEvent::LedgerChangeSet)
            .kv("expected", action.expectedEpoch)
            .kv("primary", next.primary.instance)
            .kv("backups", next.backups.size());
        m_store->compareAndSet(
            m_settings.domain, action.expectedEpoch, next,
            [self = shared_from_this(), next](Result<ReplicaSet> result) {
                Asio::post(self->m_strand, [self, next, result = std::move(result)] {
                    self->m_replica->setChanged(next, result, self->m_clock.now());
                    self->runActions();
                });
            });
    }

    void execute(LedgerActions::ReplyToClaim &action) { replyTo(action.call, action.reply); }
    void execute(LedgerActions::ReplyToFinish &action) { replyTo(action.call, action.reply); }
    void execute(LedgerActions::ReplyToReplicate &action) { replyTo(action.call, action.reply); }
    void execute(LedgerActions::ReplyToCatchup &action) { replyTo(action.call, action.reply); }

    void execute(LedgerActions::Notice &action)
    {
        LogLine(action.isWarning ? LogLevel::Warning : LogLevel::Info, action.event)
            .kv("domain", m_settings.domain)
            .kv("detail", action.detail);
    }

    void callReplica(const ReplicaMember &to, MessageKind kind, std::string payload,
                     std::function<void(const std::string &)> onReply)
    {
        auto &client = m_clients[to.address];
        if (!client) {
            const auto address = Address::parse(to.address);
            if (!address)
                return;
            client = RpcClient::make(m_io, address.value(), m_rpc);
        }
        client->call(kind, std::move(payload), ReplicaCallTimeout,
                     [self = shared_from_this(), onReply = std::move(onReply)](RpcResult result) {
                         Asio::post(self->m_strand, [self, onReply, result = std::move(result)] {
                             const auto *bytes = std::get_if<std::string>(&result);
                             if (bytes != nullptr && !self->m_isStopped)
                                 onReply(*bytes);
                             self->runActions();
                         });
                     });
    }

    /// Runs a handler on the strand after a job of a disk thread.
    template <typename Handler>
    void postToStrand(Handler handler)
    {
        if (const auto self = weak_from_this().lock())
            Asio::post(m_strand, [self, handler = std::move(handler)]() mutable { handler(); });
    }

    // Journal. One batch is written at a time; records queued meanwhile form the next batch.

    void writeJournal()
    {
        if (m_isWriting || m_queuedRecords.empty() || !m_journal)
            return;
        m_isWriting = true;
        auto batch =
            std::make_shared<std::vector<LedgerRecord>>(std::exchange(m_queuedRecords, {}));
        m_disk->post([this, batch, position = m_queuedPosition] {
            const auto status = m_journal->write(*batch);
            postToStrand([this, status, position] { onWritten(status, position); });
        });
    }

    void onWritten(const Status &status, std::uint64_t position)
    {
        m_isWriting = false;
        if (!status) {
            handleDiskFailure(status.error());
            return;
        }
        m_journalSyncs = m_journal->syncs();
        m_syncedPosition = position;
        m_replica->journalSynced(position);
        startSnapshotIfDue();
        runActions();
    }

    void handleDiskFailure(const Error &error)
    {
        Log::error(LogEvent::LedgerDiskFailed).kv("error", error.message);
        m_queuedRecords.clear();
        // Stays set, so that nothing is written any more.
        m_isWriting = true;
        m_replica->journalFailed(error.message);
        runActions();
    }

    // Snapshots.

    void startSnapshotIfDue()
    {
        const auto threshold =
            std::max<std::uint64_t>(m_settings.snapshotBytes, m_lastSnapshotBytes);
        if (m_isSnapshotRunning || m_isWriting || m_journal->bytes() < threshold
            || !m_replica->canSnapshot() || m_replica->role() == LedgerRole::Stopped) {
            return;
        }
        // Queued records are written to the new file after its initial records (the promised epoch
        // and the entries that are uncommitted now). Records that appear twice are harmless.
        m_isSnapshotRunning = true;
        m_isWriting = true;
        const auto &log = m_replica->log();
        m_snapshotBase = {};
        m_snapshotBase.kind = LedgerRecordKind::ImagesEnd;
        m_snapshotBase.sequence = log.committed();
        m_snapshotBase.epoch = log.epochAt(log.committed()).value_or(0);
        m_snapshotBase.incarnation = log.incarnation();
        m_disk->post([this, records = m_replica->initialJournalRecords()] {
            const auto status = m_journal->rotate(records);
            postToStrand([this, status] {
                m_isWriting = false;
                if (!status) {
                    handleDiskFailure(status.error());
                    return;
                }
                beginSnapshot();
                runActions();
            });
        });
    }

    void beginSnapshot()
    {
        auto snapshot = LedgerSnapshot::begin(m_folder, m_journal->number());
        if (!snapshot) {
            abortSnapshot(snapshot.error());
            return;
        }
        m_snapshot = std::move(snapshot).value();
        m_lastSnapshotBytes = 0;
        m_snapshotIncarnation = m_snapshotBase.incarnation;
        LedgerRecord reset;
        reset.kind = LedgerRecordKind::Reset;
        reset.incarnation = m_snapshotBase.incarnation;
        writeSnapshotRecord(std::move(reset), 0, false);
    }

    void writeSnapshotRecord(LedgerRecord record, std::uint64_t cursor, bool isLast)
    {
        m_snapshotDisk->post([this, record = std::move(record), cursor, isLast] {
            const auto status = m_snapshot->write(record);
            postToStrand([this, status, cursor, isLast] {
                if (!status)
                    abortSnapshot(status.error());
                else
                    continueSnapshot(cursor, isLast);
            });
        });
    }

    void continueSnapshot(std::uint64_t cursor, bool isLast)
    {
        // A reset of the log invalidates the images written so far.
        if (m_isStopped || !m_replica->canSnapshot()
            || m_replica->log().incarnation() != m_snapshotIncarnation) {
            abortSnapshot(Error{ErrorCode::Unavailable, "the log was reset"});
            return;
        }
        const auto &state = m_replica->log().state();
        if (!isLast) {
            auto images = state.images(cursor, SnapshotStepBytes);
            LedgerRecord record;
            record.kind = LedgerRecordKind::Images;
            record.claims = std::move(images.claims);
            m_lastSnapshotBytes += SnapshotStepBytes;
            writeSnapshotRecord(std::move(record), images.nextCursor, images.isLast);
            return;
        }
        m_snapshotBase.timeMs = state.timeMs();
        m_snapshotBase.maxEvictedIssueSeconds = state.maxEvictedIssueSeconds();
        finishSnapshot(m_queuedRecords.empty() && !m_isWriting ? m_syncedPosition
                                                               : m_queuedPosition);
    }

    /// Waits until the journal is synced up to the position, because the images may contain effects
    /// of entries up to it, and then completes the snapshot.
    void finishSnapshot(std::uint64_t position)
    {
        if (m_syncedPosition < position) {
            const auto timer =
                std::make_shared<Asio::steady_timer>(m_strand, toChrono(TickInterval));
            timer->async_wait(
                [self = shared_from_this(), timer, position](const boost::system::error_code &) {
                    if (!self->m_isStopped && self->m_replica->role() != LedgerRole::Stopped)
                        self->finishSnapshot(position);
                });
            return;
        }
        m_snapshotDisk->post([this, end = m_snapshotBase] {
            auto status = m_snapshot->write(end);
            if (status)
                status = m_snapshot->finish();
            postToStrand([this, status] {
                if (!status) {
                    abortSnapshot(status.error());
                    return;
                }
                m_isSnapshotRunning = false;
                m_snapshot = nullptr;
                Log::info(LogEvent::LedgerSnapshot).kv("journal", m_journal->number());
            });
        });
    }

    /// The journal files remain complete, so the next threshold triggers another attempt.
    void abortSnapshot(const Error &error)
    {
        Log::warning(LogEvent::LedgerSnapshotFailed).kv("error", error.message);
        m_snapshot = nullptr;
        m_isSnapshotRunning = false;
    }

    // Timer and shutdown.

    void onTimer()
    {
        if (m_isStopped)
            return;
        runActions();
        if (m_onDrained && (m_calls.empty() || m_clock.now() >= m_drainEnd)) {
            stop();
            return;
        }
        m_timer.expires_after(toChrono(TickInterval));
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
            if (!ec)
                self->onTimer();
        });
    }

    void stop()
    {
        m_isStopped = true;
        m_server->stop();
        for (const auto &[address, client] : m_clients)
            client->stop();
        for (const auto &[call, reply] : std::exchange(m_calls, {}))
            reply(Error{ErrorCode::Unavailable, "the ledger is shutting down"});
        endWhenClosed(m_clock.now() + CloseLimit);
    }

    /// Ends the drain once all connections are closed, because the caller may stop the loop then.
    void endWhenClosed(Milliseconds limit)
    {
        if (m_server->connections() > 0 && m_clock.now() < limit) {
            m_timer.expires_after(toChrono(TickInterval));
            m_timer.async_wait(
                [self = shared_from_this(), limit](const boost::system::error_code &) {
                    self->endWhenClosed(limit);
                });
            return;
        }
        const auto onDrained = std::exchange(m_onDrained, nullptr);
        Log::info(LogEvent::LedgerDrained);
        onDrained();
    }

    Asio::io_context &m_io;
    Strand m_strand;
    Asio::steady_timer m_timer;
    LedgerServerSettings m_settings;
    SteadyClock m_clock;
    RpcSettings m_rpc;
    std::shared_ptr<RpcServer> m_server;
    std::shared_ptr<ReplicaSetStore> m_store;
    std::map<std::string, std::shared_ptr<RpcClient>> m_clients;
    std::unique_ptr<LedgerReplica> m_replica;
    std::unordered_map<LedgerCallId, RpcReply> m_calls;
    LedgerCallId m_lastCall = 0;
    std::uint64_t m_refusedMessages = 0;
    bool m_isStopped = false;
    Milliseconds m_drainEnd;
    std::function<void()> m_onDrained;

    std::vector<LedgerRecord> m_queuedRecords;
    std::uint64_t m_queuedPosition = 0;
    std::uint64_t m_syncedPosition = 0;
    std::uint64_t m_journalSyncs = 0;
    bool m_isWriting = false;
    bool m_isSnapshotRunning = false;
    LedgerRecord m_snapshotBase;
    std::uint64_t m_snapshotIncarnation = 0;
    std::uint64_t m_lastSnapshotBytes = 0;
    std::shared_ptr<SyncedFolder> m_folder;
    std::unique_ptr<LedgerJournal> m_journal; ///< Used on m_disk while m_isWriting.
    std::unique_ptr<LedgerSnapshot> m_snapshot; ///< Used on m_snapshotDisk.
    std::unique_ptr<DiskThread> m_disk;
    std::unique_ptr<DiskThread> m_snapshotDisk;
};

} // namespace

Result<std::shared_ptr<LedgerServer>> LedgerServer::make(boost::asio::io_context &io,
                                                         const LedgerServerSettings &settings,
                                                         std::shared_ptr<SyncedFolder> folder,
                                                         const ReplicaSetStoreFactory &makeStore)
{
    auto server = std::make_shared<RpcLedgerServer>(io, settings);
    if (const auto status = server->start(std::move(folder), makeStore); !status)
        return status.error();
    return std::shared_ptr<LedgerServer>(std::move(server));
}

} // namespace Camphor
