#include "EntryServer.h"

#include "CallerApi.h"
#include "ControlSubscription.h"
#include "DigestSocket.h"
#include "DrainController.h"
#include "FileDeclarationSource.h"
#include "MemoryLedger.h"
#include "PeerService.h"
#include "RemoteLedger.h"

#include "Log.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>

namespace Camphor {

namespace {

namespace Asio = boost::asio;

constexpr std::chrono::milliseconds TickPeriod{20};
constexpr std::chrono::milliseconds DigestPeriod{100};
/// Delay between closing the connections and stopping the io_context, so that handlers can finish.
constexpr std::chrono::milliseconds ConnectionCloseDelay{20};
/// Allowance for the fields of a frame besides the body that it carries.
constexpr std::size_t FrameOverheadBytes = std::size_t{1} << 20;

DispatcherSettings makeDispatcherSettings(const EntrySettings &settings, std::uint64_t incarnation)
{
    DispatcherSettings dispatcher;
    dispatcher.instance = settings.instance;
    dispatcher.domain = settings.domain;
    dispatcher.placement = parsePlacementKind(settings.placement).value();
    dispatcher.queue = parseQueueKind(settings.queue).value();
    dispatcher.seed = incarnation;
    dispatcher.maxQueuedTasks = static_cast<std::uint32_t>(settings.limits.maxQueuedTasks);
    return dispatcher;
}

RpcSettings makeRpcSettings(const EntrySettings &settings, std::uint64_t incarnation)
{
    RpcSettings rpc;
    rpc.cluster = settings.cluster;
    rpc.instance = settings.instance;
    rpc.incarnation = incarnation;
    rpc.maxFrameBytes =
        std::max(rpc.maxFrameBytes, settings.limits.maxBodyBytes + FrameOverheadBytes);
    return rpc;
}

HttpClientSettings makeClientSettings(const EntrySettings &settings)
{
    HttpClientSettings client;
    client.maxBodyBytes = settings.limits.maxBodyBytes;
    return client;
}

/// Converts the homes of all buckets to the type used by the ledger client.
BucketMap makeBucketMap(const std::vector<BucketHome> &homes)
{
    std::vector<std::string> domains;
    domains.reserve(homes.size());
    std::ranges::transform(homes, std::back_inserter(domains), &BucketHome::domain);
    return BucketMap::of(std::move(domains));
}

class EntryServerImpl : public EntryServer, public std::enable_shared_from_this<EntryServerImpl>
{
public:
    EntryServerImpl(Asio::io_context &io, const EntrySettings &settings)
        : m_io(io)
        , m_settings(settings)
        , m_incarnation(static_cast<std::uint64_t>(wallClockMs()))
        , m_rpc(makeRpcSettings(settings, m_incarnation))
        , m_explain(m_clock)
        , m_targets(HttpClient::make(io, makeClientSettings(settings)), m_clock)
        , m_peers(io, m_settings, m_rpc, m_metrics)
        , m_cluster(m_settings, m_incarnation, m_clock)
        , m_pools(makeDispatcherSettings(settings, m_incarnation),
                  ShardServices{m_clock, m_targets, m_peers, m_metrics, m_explain})
        , m_declaration(settings.dataFolder, [this](const auto &it) { applyDeclaration(it); })
        , m_remoteLedger(settings.control.empty() ? nullptr : RemoteLedger::make(io, m_rpc))
        , m_ledger(m_remoteLedger ? std::shared_ptr<SubmissionLedger>(m_remoteLedger)
                                  : std::make_shared<MemoryLedger>(m_clock))
        , m_flow(FlowServices{io, m_clock, settings.domain, m_cluster, m_pools, m_registry,
                              *m_ledger, m_metrics,
                              m_remoteLedger != nullptr || settings.peers.empty()})
        , m_directory(m_cluster, m_pools, m_peers)
        , m_peerService(m_clock, m_cluster, m_pools, m_directory, m_flow)
        , m_api(ApiServices{m_settings, m_cluster, m_pools, m_registry, m_flow, m_directory,
                            m_peers, m_declaration, m_metrics, m_explain})
        , m_exitTimer(io)
        , m_tickTimer(io)
        , m_digestTimer(io)
    {
    }

    Status start()
    {
        if (const auto status = m_declaration.restore(); !status)
            Log::error(LogEvent::DeclarationNotRestored).kv("error", status.error().message);
        if (const auto status = startDeclarationSource(); !status)
            return status;
        if (const auto status = startPeers(); !status)
            return status;
        return startHttp();
    }

    void run()
    {
        tick();
        sendDigests();
        m_drain = makeDrain();
        Log::info(LogEvent::EntryStarted)
            .kv("instance", m_settings.instance)
            .kv("incarnation", m_incarnation)
            .kv("domain", m_settings.domain)
            .kv("listen", m_settings.listen.toString());
    }

    void startDrain() override { m_drain->begin(); }

private:
    void applyDeclaration(const std::shared_ptr<const Declaration> &declaration)
    {
        if (m_remoteLedger)
            m_remoteLedger->applyDeclaration(*declaration);
        m_pools.apply(declaration);
    }

    Status startDeclarationSource()
    {
        if (const auto status = makeDeclarationSource(); !status)
            return status;
        m_source->subscribe(
            m_declaration.current().version,
            [this](const VersionedDeclaration &it) { m_declaration.applyIfNewer(it); });
        return okStatus();
    }

    Status makeDeclarationSource()
    {
        if (!m_settings.control.empty()) {
            auto source = ControlSubscription::make(m_io, m_settings.control, m_rpc);
            source->setBucketCallback([this](const std::vector<BucketHome> &homes) {
                m_remoteLedger->setBucketMap(makeBucketMap(homes));
            });
            m_source = std::move(source);
            return okStatus();
        }
        auto source = FileDeclarationSource::make(m_settings.declarationFile);
        if (!source)
            return source.error();
        Log::warning(LogEvent::NoControlGroup)
            .kv("declaration", m_settings.declarationFile)
            .kv("ledger", "memory")
            .kv("effect",
                m_settings.peers.empty() ? "claims are lost when this process stops"
                                         : "requests with a caller's key are refused");
        m_source = std::move(source).value();
        return okStatus();
    }

    Status startPeers()
    {
        if (m_settings.rpcListen) {
            auto server =
                RpcServer::make(m_io, *m_settings.rpcListen, m_rpc,
                                [this](const Hello &peer, MessageKind kind,
                                       const std::string &payload, const RpcReply &reply) {
                                    m_peerService.handle(peer, kind, payload, reply);
                                });
            if (!server)
                return server.error();
            m_rpcServer = std::move(server).value();
        }
        if (m_settings.digestListen) {
            auto socket =
                DigestSocket::make(m_io, m_settings, [this](const Digest &it) { onDigest(it); });
            if (!socket)
                return socket.error();
            m_digests = std::move(socket).value();
        }
        return okStatus();
    }

    Status startHttp()
    {
        HttpServerSettings http;
        http.listen = m_settings.listen;
        http.maxHeaderBytes = m_settings.limits.maxHeaderBytes;
        http.maxBodyBytes = m_settings.limits.maxBodyBytes;
        http.maxConnections = m_settings.limits.maxConnections;
        auto server =
            HttpServer::make(m_io, http, [this](HttpRequest request, const HttpRespond &respond) {
                m_api.handle(std::move(request), respond);
            });
        if (!server)
            return server.error();
        m_http = std::move(server).value();
        return okStatus();
    }

    void tick()
    {
        for (const auto &shard : m_pools.shards())
            shard->tick();
        m_tickTimer.expires_after(TickPeriod);
        m_tickTimer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
            if (!ec)
                self->tick();
        });
    }

    void sendDigests()
    {
        onMembershipEvents(m_cluster.tick());
        if (m_digests && !m_settings.peers.empty()) {
            m_digests->send(makeDigest());
            m_metrics.countDigest();
        }
        m_digestTimer.expires_after(DigestPeriod);
        m_digestTimer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
            if (!ec)
                self->sendDigests();
        });
    }

    Digest makeDigest()
    {
        Digest digest;
        digest.instance = m_settings.instance;
        digest.incarnation = m_incarnation;
        digest.sequence = m_digestSequence.fetch_add(1) + 1;
        digest.domain = m_settings.domain;
        digest.declarationVersion = m_declaration.current().version;
        digest.isDraining = m_hasStoppedAccepting;
        for (const auto &shard : m_pools.shards())
            digest.pools.push_back(shard->digest());
        return digest;
    }

    void onDigest(const Digest &digest)
    {
        onMembershipEvents(m_cluster.digestReceived(digest));
        if (!m_cluster.isUsable(digest.instance))
            return;
        for (const auto &shard : m_pools.shards())
            shard->peerDigest(digest);
    }

    void onMembershipEvents(const std::vector<MembershipEvent> &events)
    {
        for (const auto &event : events) {
            const bool isRestart = event.kind == MembershipEvent::Kind::Restarted;
            Log::info(LogEvent::PeerChanged)
                .kv("peer", event.instance)
                .kv("state", isRestart ? "restarted" : peerStateName(event.state))
                .kv("incarnation", event.incarnation);
            if (!isRestart && m_cluster.isUsable(event.instance))
                continue;
            for (const auto &shard : m_pools.shards())
                shard->peerUnusable(event.instance);
        }
        if (!events.empty())
            m_directory.ownershipChanged();
    }

    void stopAccepting()
    {
        m_hasStoppedAccepting = true;
        m_http->stopAccepting();
        m_cluster.startDraining();
        m_peerService.startDraining();
        if (m_digests)
            m_digests->send(makeDigest());
        m_directory.ownershipChanged();
        for (const auto &shard : m_pools.shards())
            shard->startDraining();
    }

    /// Closes all connections, so that their handlers release their resources, and then stops the
    /// io_context.
    void stop()
    {
        m_source->stop();
        m_peers.stop();
        m_targets.closeIdle();
        if (m_remoteLedger)
            m_remoteLedger->stop();
        if (m_rpcServer)
            m_rpcServer->stop();
        if (m_digests)
            m_digests->stop();
        m_exitTimer.expires_after(ConnectionCloseDelay);
        m_exitTimer.async_wait([this](const boost::system::error_code &) { m_io.stop(); });
    }

    std::shared_ptr<DrainController> makeDrain()
    {
        DrainSteps steps;
        steps.failReadiness = [this] {
            m_api.startDraining();
            m_http->startDrain();
        };
        steps.stopAccepting = [this] { stopAccepting(); };
        steps.isIdle = [this] {
            return m_registry.size() == 0 && m_pools.liveTasks() == 0
                && m_http->requestsInFlight() == 0;
        };
        steps.abandon = [this] { m_flow.abandonAll("drain-limit"); };
        steps.closeConnections = [this] { m_http->closeIdleConnections(); };
        steps.isClosed = [this] { return !m_http->isAccepting() && m_http->connections() == 0; };
        steps.exit = [this] { stop(); };
        return DrainController::make(m_io, m_settings.drain, std::move(steps));
    }

    Asio::io_context &m_io;
    const EntrySettings m_settings;
    const std::uint64_t m_incarnation;
    const RpcSettings m_rpc;
    const SteadyClock m_clock;
    EntryMetrics m_metrics;
    ExplainLog m_explain;
    TargetCaller m_targets;
    PeerLink m_peers;
    ClusterView m_cluster;
    PoolSet m_pools;
    AppliedDeclaration m_declaration;
    std::shared_ptr<RemoteLedger> m_remoteLedger; ///< Only set with a control group.
    std::shared_ptr<SubmissionLedger> m_ledger;
    JobRegistry m_registry;
    SubmissionFlow m_flow;
    TargetDirectory m_directory;
    PeerService m_peerService;
    CallerApi m_api;
    std::shared_ptr<DeclarationSource> m_source;
    std::shared_ptr<RpcServer> m_rpcServer;
    std::shared_ptr<DigestSocket> m_digests;
    std::shared_ptr<HttpServer> m_http;
    std::shared_ptr<DrainController> m_drain;
    std::atomic<std::uint64_t> m_digestSequence{0};
    std::atomic<bool> m_hasStoppedAccepting{false};
    Asio::steady_timer m_exitTimer;
    Asio::steady_timer m_tickTimer;
    Asio::steady_timer m_digestTimer;
};

} // namespace

Result<std::shared_ptr<EntryServer>> EntryServer::make(boost::asio::io_context &io,
                                                       const EntrySettings &settings)
{
    auto server = std::make_shared<EntryServerImpl>(io, settings);
    if (const auto status = server->start(); !status)
        return status.error();
    server->run();
    return std::shared_ptr<EntryServer>(std::move(server));
}

} // namespace Camphor
