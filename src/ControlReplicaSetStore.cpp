#include "ControlReplicaSetStore.h"

#include "ControlProtocol.h"
#include "RpcClient.h"
#include "Wire.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <chrono>
#include <map>

namespace Camphor {

namespace {

namespace Asio = boost::asio;

/// Longer than the control group needs to elect a new leader.
constexpr Milliseconds CallTimeout{6'000};
constexpr Milliseconds AttemptTimeout{1'500};
constexpr Milliseconds RetryDelay{50};

class TcpControlReplicaSetStore : public ControlReplicaSetStore,
                                  public std::enable_shared_from_this<TcpControlReplicaSetStore>
{
public:
    TcpControlReplicaSetStore(Asio::io_context &io, std::vector<Address> addresses,
                              RpcSettings settings)
        : m_io(io)
        , m_strand(Asio::make_strand(io))
        , m_addresses(std::move(addresses))
        , m_settings(std::move(settings))
        , m_memberAddress(m_addresses.front())
    {
    }

    void read(const std::string &domain, ReadCallback callback) override
    {
        startCall(MessageKind::ReadReplicaSet, encodeMessage(ReadReplicaSetRequest{domain}),
                  std::move(callback));
    }

    void compareAndSet(const std::string &domain, std::uint64_t expectedEpoch, ReplicaSet next,
                       ReadCallback callback) override
    {
        // A change is resent after a lost reply; the group recognises a change that is already in
        // force.
        startCall(MessageKind::CompareAndSet,
                  encodeMessage(CompareAndSetCommand{domain, expectedEpoch, std::move(next)}),
                  std::move(callback));
    }

    void stop() override
    {
        Asio::post(m_strand, [self = shared_from_this()] {
            self->m_isStopped = true;
            for (auto &[address, client] : self->m_clients)
                client->stop();
        });
    }

private:
    struct Call
    {
        explicit Call(const Asio::strand<Asio::io_context::executor_type> &strand)
            : timer(strand)
        {
        }

        MessageKind kind = MessageKind::ReadReplicaSet;
        std::string payload;
        ReadCallback callback;
        Milliseconds deadline;
        Asio::steady_timer timer; ///< Delays the next attempt.
        bool maybeCommitted = false;
    };
    using CallPointer = std::shared_ptr<Call>;

    void startCall(MessageKind kind, std::string payload, ReadCallback callback)
    {
        auto call = std::make_shared<Call>(m_strand);
        call->kind = kind;
        call->payload = std::move(payload);
        call->callback = std::move(callback);
        call->deadline = m_clock.now() + CallTimeout;
        Asio::post(m_strand, [self = shared_from_this(), call] { self->sendAttempt(call); });
    }

    void sendAttempt(const CallPointer &call)
    {
        const auto remaining = call->deadline - m_clock.now();
        if (m_isStopped || remaining <= Milliseconds{0}) {
            const bool isUnknown = call->maybeCommitted;
            call->callback(Error{
                isUnknown ? ErrorCode::Timeout : ErrorCode::Unavailable,
                isUnknown ? "the change may have been committed; read the replica set to find out"
                          : "the control group did not reply in time"});
            return;
        }
        const auto address = m_memberAddress;
        auto &client = m_clients[address];
        if (!client)
            client = RpcClient::make(m_io, address, m_settings);
        client->call(call->kind, call->payload, std::min(remaining, AttemptTimeout),
                     [self = shared_from_this(), call, address](const RpcResult &result) {
                         Asio::post(self->m_strand, [self, call, address, result] {
                             self->onResult(call, address, result);
                         });
                     });
    }

    void onResult(const CallPointer &call, const Address &address, const RpcResult &result)
    {
        if (const auto *failure = std::get_if<RpcFailure>(&result)) {
            call->maybeCommitted |= failure->maybeSent && call->kind == MessageKind::CompareAndSet;
            // A connection that has lost replies may stay slow for long, so the next call opens a
            // new one.
            if (const auto node = m_clients.extract(address); !node.empty())
                node.mapped()->stop();
            retry(call, nextAddress(address));
            return;
        }
        auto decoded = decodeMessage<ReplicaSetReply>(std::get<std::string>(result));
        if (!decoded) {
            call->callback(decoded.error());
            return;
        }
        onReply(call, address, std::move(decoded).value());
    }

    void onReply(const CallPointer &call, const Address &address, ReplicaSetReply reply)
    {
        switch (reply.outcome) {
        case ControlOutcome::Accepted:
            call->callback(std::move(reply.current));
            return;
        case ControlOutcome::Conflict:
            call->callback(Error{ErrorCode::Conflict, reply.message});
            return;
        case ControlOutcome::NotLeader: {
            const auto leader = Address::parse(reply.leader);
            retry(call,
                  leader && leader.value() != address ? leader.value() : nextAddress(address));
            return;
        }
        case ControlOutcome::Unknown:
        case ControlOutcome::Unavailable:
            call->maybeCommitted |= reply.outcome == ControlOutcome::Unknown;
            retry(call, address);
            return;
        case ControlOutcome::Invalid:
        case ControlOutcome::Refused:
            call->callback(Error{ErrorCode::InvalidRequest, reply.message});
            return;
        }
    }

    [[nodiscard]] Address nextAddress(const Address &address) const
    {
        const auto it = std::ranges::find(m_addresses, address);
        return it == m_addresses.end() || std::next(it) == m_addresses.end() ? m_addresses.front()
                                                                             : *std::next(it);
    }

    void retry(const CallPointer &call, Address address)
    {
        m_memberAddress = std::move(address);
        call->timer.expires_after(
            std::chrono::milliseconds(static_cast<std::int64_t>(RetryDelay.count())));
        call->timer.async_wait([self = shared_from_this(), call](
                                   const boost::system::error_code &) { self->sendAttempt(call); });
    }

    Asio::io_context &m_io;
    Asio::strand<Asio::io_context::executor_type> m_strand;
    SteadyClock m_clock;
    std::vector<Address> m_addresses;
    RpcSettings m_settings;
    Address m_memberAddress; ///< The last known leader, or the next member to try.
    std::map<Address, std::shared_ptr<RpcClient>> m_clients;
    bool m_isStopped = false;
};

} // namespace

std::shared_ptr<ControlReplicaSetStore>
ControlReplicaSetStore::make(boost::asio::io_context &io, std::vector<Address> controlAddresses,
                             RpcSettings settings)
{
    if (controlAddresses.empty()) {
        throw UserError(Error{ErrorCode::InvalidSettings,
                              "no control addresses. Fix: list them under 'control'"});
    }
    return std::make_shared<TcpControlReplicaSetStore>(io, std::move(controlAddresses),
                                                       std::move(settings));
}

} // namespace Camphor
