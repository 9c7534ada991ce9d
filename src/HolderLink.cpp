#include "HolderLink.h"

#include "AsioSupport.h"
#include "Log.h"
#include "Wire.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Camphor {

HolderLink::HolderLink(boost::asio::io_context &io, const RpcSettings &rpc,
                       const HolderLinkSettings &settings)
    : m_io(io)
    , m_rpc(rpc)
    , m_settings(settings)
    , m_timer(io)
{
}

HolderLink::Peer &HolderLink::peerOf(const std::string &address)
{
    auto &peer = m_peers[address];
    if (!peer.client) {
        peer.client = RpcClient::make(m_io, Address::parse(address).value(), m_rpc);
        peer.lastContactAt = m_clock.now();
    }
    return peer;
}

void HolderLink::submit(const std::string &address, const SubmitJobRequest &request,
                        Callback callback)
{
    call(address, MessageKind::SubmitJob, encodeMessage(request),
         [address, callback = std::move(callback)](const CallResult &result) {
             if (const auto *failure = std::get_if<ForwardFailure>(&result)) {
                 callback(*failure);
                 return;
             }
             const auto outcome = decodeMessage<JobOutcome>(std::get<std::string>(result));
             if (outcome) {
                 callback(outcome.value());
                 return;
             }
             Log::warning(LogEvent::MessageUnreadable).kv("address", address);
             callback(ForwardFailure::Unknown);
         });
}

void HolderLink::call(const std::string &address, MessageKind kind, std::string payload,
                      std::function<void(const CallResult &)> callback)
{
    auto &peer = peerOf(address);
    peer.sentAt = m_clock.now();
    if (peer.outstanding++ == 0)
        peer.lastContactAt = std::max(peer.lastContactAt, m_clock.now());
    peer.client->call(kind, std::move(payload), m_settings.jobTimeout,
                      [self = shared_from_this(), address, client = peer.client,
                       callback = std::move(callback)](RpcResult result) {
                          boost::asio::post(
                              self->m_io,
                              [self, address, client, callback, result = std::move(result)] {
                                  --self->m_peers[address].outstanding;
                                  callback(self->onResult(address, client, result));
                              });
                      });
    armTimer();
}

CallResult HolderLink::onResult(const std::string &address,
                                const std::shared_ptr<RpcClient> &client, const RpcResult &result)
{
    auto &peer = m_peers[address];
    const auto *failure = std::get_if<RpcFailure>(&result);
    // A holder that has refused a request for its age is there.
    if (failure == nullptr || failure->error.code == ErrorCode::Expired)
        peer.lastContactAt = m_clock.now();
    else if (peer.client == client)
        markLost(address, failure->error.message);
    if (failure == nullptr)
        return std::get<std::string>(result);
    return failure->maybeSent ? ForwardFailure::Unknown : ForwardFailure::NotHandled;
}

void HolderLink::cancel(const std::string &address, const std::string &jobId)
{
    constexpr Milliseconds CancelTimeout{500};
    // A missing reply is harmless: the job ends, and its result is discarded.
    peerOf(address).client->call(MessageKind::CancelJob, encodeMessage(CancelJobRequest{jobId}),
                                 CancelTimeout, [](const RpcResult &) { });
}

void HolderLink::stop()
{
    m_timer.cancel();
    for (auto &[address, peer] : m_peers) {
        if (const auto client = std::exchange(peer.client, nullptr))
            client->stop();
    }
}

bool HolderLink::isUsable(const std::string &address) const
{
    const auto it = m_peers.find(address);
    return it == m_peers.end() || m_clock.now() >= it->second.backoffUntil;
}

bool HolderLink::hadRecentContact(const std::string &address) const
{
    const auto it = m_peers.find(address);
    return it != m_peers.end()
        && m_clock.now() - it->second.lastContactAt < m_settings.contactTimeout;
}

void HolderLink::markLost(const std::string &address, const std::string &reason)
{
    auto &peer = m_peers[address];
    if (!peer.client)
        return;
    Log::warning(LogEvent::HolderLost)
        .kv("address", address)
        .kv("reason", reason)
        .kv("outstanding", peer.outstanding);
    peer.backoffUntil = m_clock.now() + m_settings.lostHolderBackoff;
    peer.isPinging = false;
    const auto client = std::exchange(peer.client, nullptr);
    client->stop();
    armTimer();
}

void HolderLink::ping(const std::string &address, std::string payload)
{
    auto &peer = m_peers.at(address);
    peer.isPinging = true;
    peer.sentAt = m_clock.now();
    peer.client->call(
        MessageKind::Ping, std::move(payload), m_settings.pingTimeout,
        [self = shared_from_this(), address, client = peer.client](const RpcResult &result) {
            boost::asio::post(
                self->m_io,
                [self, address, client, isReply = std::holds_alternative<std::string>(result)] {
                    self->onPong(address, client, isReply);
                });
        });
}

void HolderLink::onPong(const std::string &address, const std::shared_ptr<RpcClient> &client,
                        bool isReply)
{
    auto &peer = m_peers[address];
    if (peer.client != client)
        return;
    peer.isPinging = false;
    const auto now = m_clock.now();
    if (isReply) {
        peer.lastContactAt = now;
        if (std::exchange(peer.backoffUntil, now) > now)
            Log::info(LogEvent::HolderRegained).kv("address", address);
    } else if (peer.backoffUntil > now) {
        std::exchange(peer.client, nullptr)->stop();
    } else if (now - peer.lastContactAt > m_settings.contactTimeout) {
        markLost(address, "silent");
    }
}

void HolderLink::armTimer()
{
    if (std::exchange(m_isTimerArmed, true))
        return;
    m_timer.expires_after(toChrono(m_settings.pingPeriod));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
        self->m_isTimerArmed = false;
        if (!ec)
            self->tick();
    });
}

void HolderLink::tick()
{
    bool isNeeded = false;
    for (auto &[address, peer] : m_peers) {
        const bool isLost = peer.backoffUntil > m_clock.now();
        if (!isLost && (peer.outstanding == 0 || !peer.client))
            continue;
        isNeeded = true;
        if (isLost) {
            (void)peerOf(address);
            if (!peer.isPinging)
                ping(address, {});
            continue;
        }
        // Submitted jobs and received outcomes show liveness as well as pings do.
        const auto now = m_clock.now();
        const bool isIdle = now - peer.sentAt >= m_settings.pingPeriod
            || now - peer.lastContactAt >= m_settings.pingPeriod;
        if (peer.isPinging)
            continue;
        auto payload = m_pingPayload(address);
        if (isIdle || !payload.empty())
            ping(address, std::move(payload));
    }
    if (isNeeded)
        armTimer();
}

} // namespace Camphor
