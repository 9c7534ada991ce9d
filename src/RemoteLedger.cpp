#include "RemoteLedger.h"

#include "AsioSupport.h"
#include "LedgerMessages.h"
#include "Log.h"
#include "RpcClient.h"
#include "Wire.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <set>

namespace Camphor {

namespace {

namespace Asio = boost::asio;

/// What a reply means for the progress of a call.
struct CallProgress
{
    LedgerRpcStatus state = LedgerRpcStatus::NotReady;
    std::string primary;
};

/// A call in flight. Only one of its steps runs at a time, so it needs no lock.
struct LedgerCall
{
    MessageKind kind = MessageKind::Claim;
    std::string key;
    std::string payload;
    Milliseconds deadline;
    bool maybeRecorded = false; ///< A ledger may have recorded it although no reply arrived.
    /// Parses a reply. Fails if it is malformed.
    std::function<Result<CallProgress>(const std::string &payload)> parseReply;
    /// Completes the call with the last parsed reply, or as unreachable.
    std::function<void(bool hasReply, bool maybeRecorded)> onDone;
};

class TcpRemoteLedger : public RemoteLedger, public std::enable_shared_from_this<TcpRemoteLedger>
{
public:
    TcpRemoteLedger(Asio::io_context &io, RpcSettings rpc, const RemoteLedgerSettings &settings)
        : m_io(io)
        , m_rpc(std::move(rpc))
        , m_settings(settings)
    {
    }

    void claim(ClaimRequest request, Milliseconds timeout, ClaimCallback callback) override
    {
        startClaimOrQuery(MessageKind::Claim, request.key, encodeMessage(request), timeout,
                          std::move(callback));
    }

    void query(std::string key, Milliseconds timeout, ClaimCallback callback) override
    {
        auto payload = encodeMessage(QueryRequest{key});
        startClaimOrQuery(MessageKind::Query, std::move(key), std::move(payload), timeout,
                          std::move(callback));
    }

    void finish(FinishRequest request, Milliseconds timeout, FinishCallback callback) override
    {
        if (request.response.size() > MaxStoredResponseBytes)
            request.response.clear();
        const auto rpcReply = std::make_shared<FinishRpcReply>();
        auto call = std::make_shared<LedgerCall>();
        call->kind = MessageKind::Finish;
        call->payload = encodeMessage(request);
        call->key = std::move(request.key);
        call->parseReply = [rpcReply](const std::string &payload) -> Result<CallProgress> {
            auto decoded = decodeMessage<FinishRpcReply>(payload);
            if (!decoded)
                return decoded.error();
            *rpcReply = std::move(decoded).value();
            return CallProgress{rpcReply->state, rpcReply->primary};
        };
        call->onDone = [rpcReply, callback = std::move(callback)](bool hasReply, bool) {
            callback(hasReply && rpcReply->isRecorded);
        };
        startCall(std::move(call), timeout);
    }

    void applyDeclaration(const Declaration &declaration) override
    {
        std::vector<std::string> domains;
        for (const auto &domain : declaration.domains())
            domains.push_back(domain.name);
        setLedgers(declaration.ledgers(), domains);
    }

    void setLedgers(const std::vector<LedgerDeclaration> &ledgers,
                    const std::vector<std::string> &domains) override
    {
        std::vector<std::shared_ptr<RpcClient>> unused;
        {
            const std::lock_guard lock(m_mutex);
            std::map<std::string, DomainLedgers> next;
            std::set<std::string> used;
            for (const auto &ledger : ledgers) {
                next[ledger.domain].addresses.push_back(ledger.address);
                used.insert(ledger.address.toString());
            }
            for (auto &[name, domain] : next) {
                const auto it = m_ledgers.find(name);
                if (it != m_ledgers.end())
                    domain.current = it->second.current % domain.addresses.size();
            }
            m_ledgers = std::move(next);
            if (!m_hasExplicitMap && m_settings.spreadsBuckets)
                m_bucketMap = BucketMap::spread(domains);
            std::erase_if(m_clients, [&](auto &item) {
                if (used.contains(item.first))
                    return false;
                unused.push_back(item.second);
                return true;
            });
        }
        for (const auto &client : unused)
            client->stop();
    }

    void setBucketMap(BucketMap map) override
    {
        const std::lock_guard lock(m_mutex);
        m_bucketMap = std::move(map);
        m_hasExplicitMap = true;
    }

    [[nodiscard]] std::string homeDomainOf(const std::string &key) const override
    {
        const std::lock_guard lock(m_mutex);
        return m_bucketMap.homeDomainOf(key);
    }

    [[nodiscard]] std::uint64_t sentMessages() const override { return m_sentMessages; }

    void stop() override
    {
        std::map<std::string, std::shared_ptr<RpcClient>> clients;
        {
            const std::lock_guard lock(m_mutex);
            m_isStopped = true;
            clients = std::exchange(m_clients, {});
        }
        for (const auto &[address, client] : clients)
            client->stop();
    }

private:
    struct DomainLedgers
    {
        std::vector<Address> addresses;
        std::size_t current = 0; ///< Index of the replica to call: the primary, once it is known.
    };

    using CallPtr = std::shared_ptr<LedgerCall>;

    void startClaimOrQuery(MessageKind kind, std::string key, std::string payload,
                           Milliseconds timeout, ClaimCallback callback)
    {
        const auto rpcReply = std::make_shared<ClaimRpcReply>();
        auto call = std::make_shared<LedgerCall>();
        call->kind = kind;
        call->key = std::move(key);
        call->payload = std::move(payload);
        call->parseReply = [rpcReply](const std::string &bytes) -> Result<CallProgress> {
            auto decoded = decodeMessage<ClaimRpcReply>(bytes);
            if (!decoded)
                return decoded.error();
            *rpcReply = std::move(decoded).value();
            return CallProgress{rpcReply->state, rpcReply->primary};
        };
        call->onDone = [rpcReply, callback = std::move(callback)](bool hasReply,
                                                                  bool maybeRecorded) {
            ClaimReply reply;
            if (hasReply)
                reply = std::move(rpcReply->reply);
            else
                reply.maybeGranted = maybeRecorded;
            callback(std::move(reply));
        };
        startCall(std::move(call), timeout);
    }

    void startCall(CallPtr call, Milliseconds timeout)
    {
        call->deadline = m_clock.now() + timeout;
        send(std::move(call));
    }

    void send(CallPtr call)
    {
        const auto remaining = call->deadline - m_clock.now();
        std::shared_ptr<RpcClient> client;
        if (remaining > Milliseconds{0})
            client = pickClient(call->key);
        if (!client) {
            // The callback must not run inside the caller's call, which may hold a lock.
            Asio::post(m_io,
                       [call = std::move(call)] { call->onDone(false, call->maybeRecorded); });
            return;
        }
        m_sentMessages.fetch_add(1);
        auto payload = call->payload;
        const auto kind = call->kind;
        client->call(kind, std::move(payload), std::min(remaining, m_settings.attemptTimeout),
                     [self = shared_from_this(), call = std::move(call),
                      address = client->address()](const RpcResult &result) {
                         self->onResult(call, address, result);
                     });
    }

    void onResult(const CallPtr &call, const Address &replica, const RpcResult &result)
    {
        const auto home = homeDomainOf(call->key);
        if (const auto *failure = std::get_if<RpcFailure>(&result)) {
            call->maybeRecorded = call->maybeRecorded || failure->maybeSent;
            selectReplica(home, replica, {});
            retryLater(call);
            return;
        }
        const auto progress = call->parseReply(std::get<std::string>(result));
        if (!progress) {
            Log::warning(LogEvent::LedgerReplyMalformed)
                .kv("ledger", replica.toString())
                .kv("error", progress.error().message);
            call->maybeRecorded = true;
            selectReplica(home, replica, {});
            retryLater(call);
            return;
        }
        switch (progress.value().state) {
        case LedgerRpcStatus::Handled:
            call->onDone(true, call->maybeRecorded);
            return;
        case LedgerRpcStatus::Redirect:
            // A declared primary is called almost at once; the short pause limits the calls to two
            // replicas that redirect to each other. Otherwise the usual pause follows.
            if (selectReplica(home, replica, progress.value().primary)) {
                retryLater(call, Milliseconds{1});
                return;
            }
            break;
        case LedgerRpcStatus::Undetermined:
            call->maybeRecorded = true;
            break;
        case LedgerRpcStatus::NotReady:
            selectReplica(home, replica, {});
            break;
        default:
            call->maybeRecorded = true;
            break;
        }
        retryLater(call);
    }

    /// Switches from the given replica to the named primary, or to the next replica in order.
    /// Returns false if the named primary is not a declared ledger.
    bool selectReplica(const std::string &domain, const Address &replica,
                       const std::string &primary)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_ledgers.find(domain);
        if (it == m_ledgers.end())
            return false;
        auto &ledgers = it->second;
        const auto declared = std::ranges::find(ledgers.addresses, primary, &Address::toString);
        if (!primary.empty() && declared != ledgers.addresses.end()) {
            ledgers.current = static_cast<std::size_t>(declared - ledgers.addresses.begin());
            return true;
        }
        // Many calls fail at the same time; only the first of them may switch to the next replica.
        if (ledgers.addresses[ledgers.current] == replica)
            ledgers.current = (ledgers.current + 1) % ledgers.addresses.size();
        return false;
    }

    void retryLater(const CallPtr &call) { retryLater(call, m_settings.retryPause); }

    void retryLater(const CallPtr &call, Milliseconds pause)
    {
        const auto remaining = std::max(call->deadline - m_clock.now(), Milliseconds{0});
        auto timer =
            std::make_shared<Asio::steady_timer>(m_io, toChrono(std::min(pause, remaining)));
        timer->async_wait([self = shared_from_this(), timer,
                           call](const boost::system::error_code &) { self->send(call); });
    }

    /// The client for the home domain of a key, or nullptr if the domain has no ledger or after
    /// stop().
    std::shared_ptr<RpcClient> pickClient(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_ledgers.find(m_bucketMap.homeDomainOf(key));
        if (it == m_ledgers.end() || m_isStopped)
            return nullptr;
        const auto &address = it->second.addresses[it->second.current];
        auto &client = m_clients[address.toString()];
        if (!client)
            client = RpcClient::make(m_io, address, m_rpc);
        return client;
    }

    Asio::io_context &m_io;
    RpcSettings m_rpc;
    RemoteLedgerSettings m_settings;
    SteadyClock m_clock;
    std::atomic<std::uint64_t> m_sentMessages = 0;
    mutable std::mutex m_mutex;
    std::map<std::string, DomainLedgers> m_ledgers;
    std::map<std::string, std::shared_ptr<RpcClient>> m_clients;
    BucketMap m_bucketMap;
    bool m_hasExplicitMap = false;
    bool m_isStopped = false;
};

} // namespace

std::shared_ptr<RemoteLedger> RemoteLedger::make(boost::asio::io_context &io,
                                                 const RpcSettings &rpc,
                                                 const RemoteLedgerSettings &settings)
{
    return std::make_shared<TcpRemoteLedger>(io, rpc, settings);
}

} // namespace Camphor
