/// @file Orders of operators, at the leader or forwarded to it: changes and reads of the
/// configuration, and drains of failure domains.
#include "FleetControl.h"

#include "Log.h"
#include "RpcDecode.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace Camphor {

namespace {

namespace Asio = boost::asio;

/// Operators try another member after a second without a response.
constexpr Milliseconds ForwardTimeout{800};
/// An older order to drain a domain may have been overtaken by a later one for the same domain.
constexpr Milliseconds MaxDrainOrderAge{1'000};
/// How exactly a member must know the leader's clock before it forwards an order, so that the
/// leader knows the age of the order.
constexpr Milliseconds MaxLeaderClockError{200};

/// Returns a callback that sends a response to the member that has forwarded the request.
OperatorCallback responseTo(const RpcReply &reply)
{
    return [reply](const OperatorResponse &response) { reply(encodeMessage(response)); };
}

} // namespace

void FleetControl::forwardToLeader(MessageKind kind, std::string payload, OperatorCallback callback)
{
    const auto *leader = m_node->leader();
    const auto address =
        leader == nullptr ? std::nullopt : std::optional(Address::parse(leader->address));
    if (leader == nullptr || leader->instance == m_name || !*address) {
        callback({});
        return;
    }
    if (!m_leaderClient || m_leaderClient->address() != address->value()) {
        auto settings = m_rpcSettings;
        settings.maxClockError = MaxLeaderClockError;
        m_leaderClient = RpcClient::make(m_io, address->value(), settings);
    }
    m_leaderClient->call(kind, std::move(payload), ForwardTimeout,
                         [self = shared_from_this(), client = m_leaderClient,
                          callback = std::move(callback)](const RpcResult &result) {
                             Asio::post(self->m_node->strand(), [self, client, callback, result] {
                                 const auto *reply = std::get_if<std::string>(&result);
                                 const auto response = decodeMessage<OperatorResponse>(
                                     reply ? *reply : std::string());
                                 if (!response) {
                                     Log::warning(LogEvent::LeaderUnanswered)
                                         .kv("address", client->address().toString());
                                     client->stop();
                                     if (self->m_leaderClient == client)
                                         self->m_leaderClient.reset();
                                 }
                                 callback(response ? response.value() : OperatorResponse{});
                             });
                         });
}

void FleetControl::storeAsLeader(StoredDocument document, OperatorCallback callback)
{
    const auto version = document.version;
    m_node->propose(StoreDocumentCommand{std::move(document)},
                    [self = shared_from_this(), version, since = m_clock.now(),
                     callback = std::move(callback)](const std::optional<ControlReply> &reply) {
                        const auto *stored =
                            reply ? std::get_if<StoreDocumentReply>(&*reply) : nullptr;
                        self->m_metrics.countStore(stored != nullptr ? "accepted" : "unknown",
                                                   self->m_clock.now() - since);
                        Log::info(LogEvent::ConfigurationStored)
                            .kv("version", version)
                            .kv("result", stored != nullptr ? "accepted" : "unknown")
                            .kv("inForce", stored != nullptr ? stored->currentVersion : 0);
                        callback({stored != nullptr, 0, {}});
                    });
}

void FleetControl::readAsLeader(OperatorCallback callback)
{
    m_node->read([self = shared_from_this(), callback = std::move(callback)](bool isConfirmed) {
        const auto &document = self->m_node->state().document();
        callback(isConfirmed ? OperatorResponse{true, document.version, document.text}
                             : OperatorResponse{});
    });
}

OperatorCallback FleetControl::logAnswer(std::uint64_t version, OperatorCallback callback)
{
    return [self = shared_from_this(), version, since = m_clock.now(),
            callback = std::move(callback)](const OperatorResponse &response) {
        const auto *leader = self->m_node->leader();
        Log::info(LogEvent::ConfigurationAnswered)
            .kv("version", version)
            .kv("result", response.isDone ? "acknowledged" : "unknown")
            .kv("inForce", self->m_node->state().document().version)
            .kv("leader", leader ? leader->address : "")
            .kv("ms", (self->m_clock.now() - since).count());
        callback(response);
    };
}

void FleetControl::storeDocument(const FleetConfiguration &configuration, std::string text,
                                 OperatorCallback callback)
{
    callback = logAnswer(configuration.version, std::move(callback));
    StoredDocument document{configuration.version, std::move(text), encodeMessage(configuration)};
    Asio::dispatch(m_node->strand(),
                   [self = shared_from_this(), document = std::move(document),
                    callback = std::move(callback)]() mutable {
                       // What is applied is on a majority of disks, so this change is stored or was
                       // superseded.
                       if (document.version <= self->m_node->state().document().version) {
                           callback({true, 0, {}});
                           return;
                       }
                       if (self->m_node->isLeader())
                           self->storeAsLeader(std::move(document), std::move(callback));
                       else
                           self->forwardToLeader(MessageKind::StoreDocument,
                                                 encodeMessage(document), std::move(callback));
                   });
}

void FleetControl::readDocument(OperatorCallback callback)
{
    Asio::dispatch(
        m_node->strand(), [self = shared_from_this(), callback = std::move(callback)]() mutable {
            if (self->m_node->isLeader())
                self->readAsLeader(std::move(callback));
            else
                self->forwardToLeader(MessageKind::ReadDocument, {}, std::move(callback));
        });
}

void FleetControl::onStore(const std::string &payload, const RpcReply &reply)
{
    auto request = decodeOrReject<StoredDocument>(payload, reply);
    if (!request)
        return;
    if (!m_node->isLeader()) {
        reply(encodeMessage(OperatorResponse{}));
        return;
    }
    storeAsLeader(std::move(*request), responseTo(reply));
}

bool FleetControl::hasDomain(const std::string &domain) const
{
    return std::ranges::find(m_settings.domains, domain) != m_settings.domains.end();
}

void FleetControl::drainDomain(const DrainDomainCommand &order,
                               std::shared_ptr<CallerConnection> caller, OperatorCallback callback)
{
    const auto logged = [self = shared_from_this(), order, since = m_clock.now(),
                         callback = std::move(callback)](const OperatorResponse &response) {
        Log::info(LogEvent::DomainDrainAnswered)
            .kv("domain", order.domain)
            .kv("drained", order.isDrained)
            .kv("result", response.isDone ? "acknowledged" : "unknown")
            .kv("ms", (self->m_clock.now() - since).count());
        callback(response);
    };
    Asio::dispatch(
        m_node->strand(), [self = shared_from_this(), order, caller = std::move(caller), logged] {
            // The order may have waited in this process while it was paused.
            if (caller && caller->isDisconnected()) {
                Log::info(LogEvent::DomainDrainExpired)
                    .kv("domain", order.domain)
                    .kv("drained", order.isDrained)
                    .kv("reason", "operator-disconnected");
                logged({});
            } else if (self->m_node->isLeader()) {
                self->drainAsLeader(order, logged);
            } else {
                self->forwardToLeader(MessageKind::DrainDomain, encodeMessage(order), logged);
            }
        });
}

void FleetControl::drainAsLeader(const DrainDomainCommand &order, OperatorCallback callback)
{
    m_node->propose(
        order, [order, callback = std::move(callback)](const std::optional<ControlReply> &reply) {
            const auto *stored = reply ? std::get_if<DrainDomainReply>(&*reply) : nullptr;
            Log::info(LogEvent::DomainDrainStored)
                .kv("domain", order.domain)
                .kv("drained", order.isDrained)
                .kv("result", stored != nullptr ? "accepted" : "unknown")
                .kv("revision", stored != nullptr ? stored->revision : 0);
            callback({stored != nullptr, 0, {}});
        });
}

void FleetControl::onDrain(const RequestOrigin &peer, const std::string &payload,
                           const RpcReply &reply)
{
    const auto order = decodeOrReject<DrainDomainCommand>(payload, reply);
    if (!order)
        return;
    const auto age = m_clock.now() - peer.sentAfter;
    if (age > MaxDrainOrderAge) {
        Log::info(LogEvent::DomainDrainExpired)
            .kv("domain", order->domain)
            .kv("drained", order->isDrained)
            .kv("reason", "late")
            .kv("ms", age.count());
        reply(Error{ErrorCode::Expired, "the order has become too old"});
        return;
    }
    if (!m_node->isLeader()) {
        reply(encodeMessage(OperatorResponse{}));
        return;
    }
    drainAsLeader(*order, responseTo(reply));
}

void FleetControl::onRead(const RpcReply &reply)
{
    if (!m_node->isLeader()) {
        reply(encodeMessage(OperatorResponse{}));
        return;
    }
    readAsLeader(responseTo(reply));
}

} // namespace Camphor
