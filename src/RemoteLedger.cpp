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

/// What one reply means for a call.
struct CallProgress
{
    LedgerAnswerState state = LedgerAnswerState::NotReady;
    std::string primary;
};

/// One call on its way. Only one step of it runs at a time, so it needs no lock.
struct LedgerCall
{
    MessageKind kind = MessageKind::Claim;
    std::string key;
    std::string payload;
    Milliseconds deadline;
    bool wasMaybeRecorded = false; ///< A ledger may have recorded it without a word to us.
    /// Reads a reply. An error when the reply is malformed.
    std::function<Result<CallProgress>(const std::string &payload)> read;
    /// Ends the call: with the reply that `read` saw last, or as unreachable.
    std::function<void(bool isAnswered, bool wasMaybeRecorded)> done;
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
        beginClaimLike(MessageKind::Claim, request.key, encodeMessage(request), timeout,
                       std::move(callback));
    }

    void query(std::string key, Milliseconds timeout, ClaimCallback callback) override
    {
        auto payload = encodeMessage(QueryRequest{key});
        beginClaimLike(MessageKind::Query, std::move(key), std::move(payload), timeout,
                       std::move(callback));
    }

    void finish(FinishRequest request, Milliseconds timeout, FinishCallback callback) override
    {
        if (request.answer.size() > MaxStoredAnswerBytes)
            request.answer.clear();
        const auto answer = std::make_shared<FinishAnswer>();
        auto call = std::make_shared<LedgerCall>();
        call->kind = MessageKind::Finish;
        call->payload = encodeMessage(request);
        call->key = std::move(request.key);
        call->read = [answer](const std::string &payload) -> Result<CallProgress> {
            auto decoded = decodeMessage<FinishAnswer>(payload);
            if (!decoded)
                return decoded.error();
            *answer = std::move(decoded).value();
            return CallProgress{answer->state, answer->primary};
        };
        call->done = [answer, callback = std::move(callback)](bool isAnswered, bool) {
            callback(isAnswered && answer->isRecorded);
        };
        begin(std::move(call), timeout);
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
                    domain.turn = it->second.turn % domain.addresses.size();
            }
            m_ledgers = std::move(next);
            if (!m_hasOwnMap && m_settings.spreadsBuckets)
                m_map = BucketMap::spread(domains);
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
        m_map = std::move(map);
        m_hasOwnMap = true;
    }

    [[nodiscard]] std::string homeOf(const std::string &key) const override
    {
        const std::lock_guard lock(m_mutex);
        return m_map.homeOf(key);
    }

    [[nodiscard]] std::uint64_t sentMessages() const override { return m_sent; }

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
        std::size_t turn = 0; ///< Index of the replica to ask; the primary once it is known.
    };

    using CallPtr = std::shared_ptr<LedgerCall>;

    void beginClaimLike(MessageKind kind, std::string key, std::string payload,
                        Milliseconds timeout, ClaimCallback callback)
    {
        const auto answer = std::make_shared<ClaimAnswer>();
        auto call = std::make_shared<LedgerCall>();
        call->kind = kind;
        call->key = std::move(key);
        call->payload = std::move(payload);
        call->read = [answer](const std::string &bytes) -> Result<CallProgress> {
            auto decoded = decodeMessage<ClaimAnswer>(bytes);
            if (!decoded)
                return decoded.error();
            *answer = std::move(decoded).value();
            return CallProgress{answer->state, answer->primary};
        };
        call->done = [answer, callback = std::move(callback)](bool isAnswered,
                                                              bool wasMaybeRecorded) {
            ClaimReply reply;
            if (isAnswered)
                reply = std::move(answer->reply);
            else
                reply.maybeGranted = wasMaybeRecorded;
            callback(std::move(reply));
        };
        begin(std::move(call), timeout);
    }

    void begin(CallPtr call, Milliseconds timeout)
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
            // The callback never runs inside the caller's call, which may hold a lock.
            Asio::post(m_io,
                       [call = std::move(call)] { call->done(false, call->wasMaybeRecorded); });
            return;
        }
        m_sent.fetch_add(1);
        auto payload = call->payload;
        const auto kind = call->kind;
        client->call(kind, std::move(payload), std::min(remaining, m_settings.attemptTimeout),
                     [self = shared_from_this(), call = std::move(call),
                      address = client->address()](const RpcResult &result) {
                         self->onResult(call, address, result);
                     });
    }

    void onResult(const CallPtr &call, const Address &asked, const RpcResult &result)
    {
        const auto home = homeOf(call->key);
        if (const auto *failure = std::get_if<RpcFailure>(&result)) {
            call->wasMaybeRecorded = call->wasMaybeRecorded || failure->maybeSent;
            askNext(home, asked, {});
            sendLater(call);
            return;
        }
        const auto progress = call->read(std::get<std::string>(result));
        if (!progress) {
            Log::warning(LogEvent::LedgerReplyMalformed)
                .kv("ledger", asked.toString())
                .kv("error", progress.error().message);
            call->wasMaybeRecorded = true;
            askNext(home, asked, {});
            sendLater(call);
            return;
        }
        switch (progress.value().state) {
        case LedgerAnswerState::Answered:
            call->done(true, call->wasMaybeRecorded);
            return;
        case LedgerAnswerState::Redirect:
            // A known primary is asked at once. Without one, and after a redirect back and forth,
            // the pause keeps two replicas that disagree from being flooded.
            if (askNext(home, asked, progress.value().primary)) {
                sendLater(call, Milliseconds{1});
                return;
            }
            break;
        case LedgerAnswerState::Undetermined:
            call->wasMaybeRecorded = true;
            break;
        case LedgerAnswerState::NotReady:
            askNext(home, asked, {});
            break;
        default:
            call->wasMaybeRecorded = true;
            break;
        }
        sendLater(call);
    }

    /// Turns from the replica that was asked to the named one, or to the next one in order. False
    /// when the named one is not a declared ledger.
    bool askNext(const std::string &domain, const Address &asked, const std::string &primary)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_ledgers.find(domain);
        if (it == m_ledgers.end())
            return false;
        auto &ledgers = it->second;
        const auto named = std::ranges::find(ledgers.addresses, primary, &Address::toString);
        if (!primary.empty() && named != ledgers.addresses.end()) {
            ledgers.turn = static_cast<std::size_t>(named - ledgers.addresses.begin());
            return true;
        }
        // Many calls fail together; only the first one of them may turn to the next replica.
        if (ledgers.addresses[ledgers.turn] == asked)
            ledgers.turn = (ledgers.turn + 1) % ledgers.addresses.size();
        return false;
    }

    void sendLater(const CallPtr &call) { sendLater(call, m_settings.retryPause); }

    void sendLater(const CallPtr &call, Milliseconds pause)
    {
        const auto remaining = std::max(call->deadline - m_clock.now(), Milliseconds{0});
        auto timer =
            std::make_shared<Asio::steady_timer>(m_io, toChrono(std::min(pause, remaining)));
        timer->async_wait([self = shared_from_this(), timer,
                           call](const boost::system::error_code &) { self->send(call); });
    }

    /// The client for the home of a key, or nothing when its domain has no ledger or after stop().
    std::shared_ptr<RpcClient> pickClient(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_ledgers.find(m_map.homeOf(key));
        if (it == m_ledgers.end() || m_isStopped)
            return nullptr;
        const auto &address = it->second.addresses[it->second.turn];
        auto &client = m_clients[address.toString()];
        if (!client)
            client = RpcClient::make(m_io, address, m_rpc);
        return client;
    }

    Asio::io_context &m_io;
    RpcSettings m_rpc;
    RemoteLedgerSettings m_settings;
    SteadyClock m_clock;
    std::atomic<std::uint64_t> m_sent = 0;
    mutable std::mutex m_mutex;
    std::map<std::string, DomainLedgers> m_ledgers;
    std::map<std::string, std::shared_ptr<RpcClient>> m_clients;
    BucketMap m_map;
    bool m_hasOwnMap = false;
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
