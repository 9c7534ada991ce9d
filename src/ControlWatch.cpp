#include "ControlWatch.h"

#include "AsioSupport.h"
#include "Log.h"
#include "Wire.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace Camphor {

namespace {

constexpr int MaxTimeoutDoublings = 4;
constexpr Milliseconds ReportLossesTimeout{2'000};

} // namespace

ControlWatch::ControlWatch(boost::asio::io_context &io, ControlWatchSettings settings,
                           OnChange onChange)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_onChange(std::move(onChange))
{
}

void ControlWatch::start() { addSeeds(m_settings.seeds); }

void ControlWatch::stop()
{
    m_isStopped = true;
    for (auto &[address, source] : m_sources) {
        source.timer->cancel();
        if (const auto client = std::exchange(source.client, nullptr))
            client->stop();
    }
}

void ControlWatch::addSeeds(const std::vector<std::string> &addresses)
{
    for (const auto &address : addresses) {
        if (!Address::parse(address)) {
            Log::warning(LogEvent::AddressUnreadable).kv("address", address);
            continue;
        }
        auto &source = m_sources[address];
        source.namedAt = m_clock.now();
        if (!source.timer) {
            source.timer = std::make_unique<boost::asio::steady_timer>(m_io);
            watch(address);
        }
    }
}

void ControlWatch::watch(const std::string &address)
{
    auto &source = m_sources.at(address);
    if (!source.client) {
        auto rpc = m_settings.rpc;
        rpc.connectTimeout = nextAttempt(source).timeout;
        source.client = RpcClient::make(m_io, Address::parse(address).value(), rpc);
    }
    const auto wait = source.isLeader ? m_settings.leaderWait : m_settings.followerWait;
    WatchFleetRequest request;
    request.entry = m_settings.self;
    request.isLeaving = m_isLeaving;
    request.reachableHolders = m_reachableHolders;
    request.instances = m_instances;
    request.directoryEpoch = source.epoch;
    request.directoryRevision = source.revision;
    request.lossRevision = source.lossRevision;
    request.cpuShare = m_settings.cpuShare;
    request.drainRevision = m_view.drains.revision;
    request.documentVersion = m_announcedVersion;
    request.waitMs = static_cast<std::uint32_t>(wait.count());
    for (const auto &[name, grant] : m_view.grants)
        request.lastToken = std::max(request.lastToken, grant.token);
    source.client->call(MessageKind::WatchFleet, encodeMessage(request),
                        wait + m_settings.replyMargin,
                        [self = shared_from_this(), address](const RpcResult &result) {
                            boost::asio::post(self->m_io, [self, address, result] {
                                self->onResult(address, result);
                            });
                        });
}

void ControlWatch::onResult(const std::string &address, const RpcResult &result)
{
    if (m_isStopped)
        return;
    auto &source = m_sources.at(address);
    if (const auto *failure = std::get_if<RpcFailure>(&result)) {
        if (std::exchange(source.isConnected, false))
            Log::warning(LogEvent::ControlLost)
                .kv("address", address)
                .kv("reason", failure->error.message);
        // A connection can stop delivering without an error, so the next call uses a new one.
        source.client->stop();
        source.client.reset();
        source.isLeader = false;
        if (isReplaced(source)) {
            Log::info(LogEvent::ControlForgotten).kv("address", address);
            m_sources.erase(address);
            return;
        }
        retryLater(address);
        ++source.failures;
        return;
    }
    source.failures = 0;
    const auto update = decodeMessage<FleetUpdate>(std::get<std::string>(result));
    if (!update) {
        Log::warning(LogEvent::MessageUnreadable).kv("address", address);
        retryLater(address);
        return;
    }
    const bool isRegained = !std::exchange(source.isConnected, true);
    if (isRegained)
        Log::info(LogEvent::ControlRegained).kv("address", address);
    // It may have missed reports, and a restarted process remembers none.
    if (isRegained || source.epoch != update.value().directoryEpoch)
        sendLosses(source, newestLosses());
    onUpdate(source, update.value());
    fetchDocument({});
    watch(address);
}

void ControlWatch::fetchDocument(const std::string &failed)
{
    if (m_isFetching || m_announcedVersion <= m_view.documentVersion)
        return;
    const auto canSend = [&](const auto &it) {
        return it.second.client && it.second.documentVersion >= m_announcedVersion;
    };
    auto chosen = std::ranges::find_if(
        m_sources, [&](const auto &it) { return it.first != failed && canSend(it); });
    if (chosen == m_sources.end())
        chosen = std::ranges::find_if(m_sources, canSend);
    if (chosen == m_sources.end())
        return;
    m_isFetching = true;
    const auto factor = std::exp2(std::min(m_fetchFailures, MaxTimeoutDoublings));
    chosen->second.client->call(
        MessageKind::FetchDocument, encodeMessage(FetchDocumentRequest{m_view.documentVersion}),
        m_settings.fetchTimeout * factor,
        [self = shared_from_this(), address = chosen->first](const RpcResult &result) {
            boost::asio::post(self->m_io,
                              [self, address, result] { self->onFetched(address, result); });
        });
}

void ControlWatch::onFetched(const std::string &address, const RpcResult &result)
{
    m_isFetching = false;
    if (m_isStopped)
        return;
    const auto *payload = std::get_if<std::string>(&result);
    auto reply = payload != nullptr
        ? decodeMessage<FetchDocumentReply>(*payload)
        : Result<FetchDocumentReply>(std::get<RpcFailure>(result).error);
    const bool isStored = reply && storeDocument(std::move(reply).value());
    m_fetchFailures = isStored ? 0 : m_fetchFailures + 1;
    if (!isStored) {
        Log::warning(LogEvent::ConfigurationNotFetched)
            .kv("address", address)
            .kv("announced", m_announcedVersion)
            .kv("held", m_view.documentVersion);
        // A member that restarts may have announced more than it can send now.
        if (const auto it = m_sources.find(address); it != m_sources.end())
            it->second.documentVersion = 0;
    }
    fetchDocument(isStored ? std::string() : address);
    if (isStored)
        m_onChange();
}

bool ControlWatch::storeDocument(FetchDocumentReply reply)
{
    // The view never goes back.
    if (reply.version <= m_view.documentVersion)
        return false;
    if (reply.baseVersion != 0) {
        if (reply.baseVersion != m_view.documentVersion)
            return false;
        auto content = applyDelta(m_view.documentContent, reply.delta);
        if (!content)
            return false;
        reply.content = std::move(content).value();
    }
    m_view.documentVersion = reply.version;
    m_view.documentContent = std::move(reply.content);
    return true;
}

void ControlWatch::onUpdate(Source &source, const FleetUpdate &update)
{
    const auto now = m_clock.now();
    m_updatedAt = now;
    source.epoch = update.directoryEpoch;
    source.revision = update.directoryRevision;
    source.lossRevision = update.lossRevision;
    source.isLeader = update.isLeader;
    bool hasChanged = m_view.instances.evictGone(now);
    for (const auto &report : update.instances)
        hasChanged = m_view.instances.merge(report, now) || hasChanged;
    m_view.losses.evict(now);
    hasChanged = addLosses(update.losses) || hasChanged;
    source.documentVersion = update.documentVersion;
    m_announcedVersion = std::max(m_announcedVersion, update.documentVersion);
    // A member that lags or was partitioned may have an older state; the view never goes back.
    for (const auto &grant : update.grants) {
        if (!Address::parse(grant.address)) {
            Log::warning(LogEvent::AddressUnreadable).kv("address", grant.address);
            continue;
        }
        auto &known = m_view.grants[grant.name()];
        if (grant.token <= known.token)
            continue;
        known = grant;
        hasChanged = true;
        Log::info(LogEvent::CellHeld)
            .kv("cell", grant.name())
            .kv("holder", grant.holder)
            .kv("token", grant.token);
    }
    hasChanged = raiseDrains(update.drains) || hasChanged;
    addSeeds(update.controlAddresses);
    m_instances = static_cast<std::uint32_t>(
        std::ranges::count_if(m_view.instances.instances(), [&](const auto &it) {
            return it.second.domain == m_settings.self.domain
                && it.second.state != InstanceState::Gone;
        }));
    if (hasChanged)
        m_onChange();
}

bool ControlWatch::raiseDrains(const DomainDrains &drains)
{
    if (drains.revision <= m_view.drains.revision)
        return false;
    m_view.drains = drains;
    // The order comes from another process, and contains() requires it.
    std::ranges::sort(m_view.drains.domains);
    std::string names;
    for (const auto &domain : m_view.drains.domains)
        names += (names.empty() ? "" : ",") + domain;
    Log::info(LogEvent::DomainDrainsInForce).kv("revision", drains.revision).kv("domains", names);
    return true;
}

void ControlWatch::reportLosses(const std::vector<InstanceLoss> &losses)
{
    (void)addLosses(losses);
    // A source that is not connected gets them when it is regained.
    for (auto &[address, source] : m_sources) {
        if (source.client && source.isConnected)
            sendLosses(source, losses);
    }
}

bool ControlWatch::addLosses(const std::vector<InstanceLoss> &losses)
{
    bool hasNew = false;
    for (const auto &loss : losses)
        hasNew = m_view.losses.add(loss, m_clock.now()) || hasNew;
    return hasNew;
}

std::vector<InstanceLoss> ControlWatch::newestLosses()
{
    m_view.losses.evict(m_clock.now());
    auto losses = m_view.losses.addedSince(0);
    const auto extra = losses.size() - std::min(losses.size(), MaxLossesPerMessage);
    losses.erase(losses.begin(), losses.begin() + static_cast<std::ptrdiff_t>(extra));
    return losses;
}

void ControlWatch::sendLosses(Source &source, std::span<const InstanceLoss> losses) const
{
    while (!losses.empty()) {
        const auto batch = losses.first(std::min(losses.size(), MaxLossesPerMessage));
        losses = losses.subspan(batch.size());
        ReportLossesRequest request;
        std::ranges::copy_if(batch, std::back_inserter(request.losses),
                             [](const auto &it) { return bool(checkLoss(it)); });
        source.client->call(MessageKind::ReportLosses, encodeMessage(request), ReportLossesTimeout,
                            [](const RpcResult &) { });
    }
}

bool ControlWatch::isReplaced(const Source &source) const
{
    // While no member replies, none can name the address: this entry itself may be partitioned.
    return m_updatedAt && *m_updatedAt - source.namedAt > m_settings.addressRetention;
}

ConnectAttempt ControlWatch::nextAttempt(const Source &source) const
{
    return connectAttempt(m_settings.connect, source.failures, !m_updatedAt);
}

void ControlWatch::retryLater(const std::string &address)
{
    auto &timer = *m_sources.at(address).timer;
    timer.expires_after(toChrono(nextAttempt(m_sources.at(address)).retryDelay));
    timer.async_wait([self = shared_from_this(), address](const boost::system::error_code &ec) {
        if (!ec)
            self->watch(address);
    });
}

} // namespace Camphor
