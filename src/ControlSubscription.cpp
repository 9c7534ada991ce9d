#include "ControlSubscription.h"

#include "ControlProtocol.h"
#include "Log.h"
#include "RpcClient.h"
#include "Wire.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>

namespace Camphor {

namespace {

namespace Asio = boost::asio;

/// A half-open connection is detected after MaxWait plus ReplyMargin.
constexpr Milliseconds MaxWait{3'000};
constexpr Milliseconds ReplyMargin{1'000};
constexpr Milliseconds InitialRetryDelay{50};
constexpr Milliseconds MaxRetryDelay{1'000};

class TcpControlSubscription : public ControlSubscription,
                               public std::enable_shared_from_this<TcpControlSubscription>
{
public:
    TcpControlSubscription(Asio::io_context &io, std::vector<Address> addresses,
                           RpcSettings settings)
        : m_io(io)
        , m_strand(Asio::make_strand(io))
        , m_timer(m_strand)
        , m_addresses(std::move(addresses))
        , m_settings(std::move(settings))
        // Distributes the subscribers over the members.
        , m_memberIndex(std::hash<std::string>()(m_settings.instance) % m_addresses.size())
    {
    }

    void setBucketCallback(BucketCallback callback) override
    {
        m_bucketCallback = std::move(callback);
    }

    void subscribe(std::uint64_t lastVersion, Callback callback) override
    {
        Asio::post(m_strand,
                   [self = shared_from_this(), lastVersion, callback = std::move(callback)] {
                       self->m_lastVersion = lastVersion;
                       self->m_callback = callback;
                       self->sendSubscribe();
                   });
    }

    void stop() override
    {
        Asio::post(m_strand, [self = shared_from_this()] {
            self->m_isStopped = true;
            self->m_timer.cancel();
            if (self->m_client)
                self->m_client->stop();
        });
    }

    [[nodiscard]] std::uint64_t calls() const override { return m_calls; }

private:
    void sendSubscribe()
    {
        if (m_isStopped)
            return;
        if (!m_client)
            m_client = RpcClient::make(m_io, m_addresses[m_memberIndex], m_settings);
        m_calls.fetch_add(1);
        const SubscribeRequest request{m_lastVersion, m_lastBucketVersion,
                                       static_cast<std::uint32_t>(MaxWait.count())};
        m_client->call(MessageKind::Subscribe, encodeMessage(request), MaxWait + ReplyMargin,
                       [self = shared_from_this()](RpcResult result) {
                           Asio::post(self->m_strand, [self, result = std::move(result)] {
                               self->onResult(result);
                           });
                       });
    }

    void onResult(const RpcResult &result)
    {
        if (m_isStopped)
            return;
        const auto *payload = std::get_if<std::string>(&result);
        const auto reply = payload != nullptr
            ? decodeMessage<SubscribeReply>(*payload)
            : Result<SubscribeReply>(std::get<RpcFailure>(result).error);
        if (!reply) {
            Log::warning(LogEvent::SubscriptionFailed)
                .kv("member", m_addresses[m_memberIndex].toString())
                .kv("reason", reply.error().message);
            tryNextMember();
            return;
        }
        deliver(reply.value());
        if (reply.value().isCurrent) {
            m_consecutiveFailures = 0;
            sendSubscribe();
        } else {
            tryNextMember();
        }
    }

    void deliver(const SubscribeReply &reply)
    {
        // A member that lags behind the previous one must not revert the declaration.
        if (reply.declaration.version > m_lastVersion) {
            m_lastVersion = reply.declaration.version;
            m_callback(reply.declaration);
        }
        if (reply.bucketVersion > m_lastBucketVersion && !reply.buckets.empty()) {
            m_lastBucketVersion = reply.bucketVersion;
            if (m_bucketCallback)
                m_bucketCallback(reply.buckets);
        }
    }

    void tryNextMember()
    {
        if (m_client)
            std::exchange(m_client, nullptr)->stop();
        m_memberIndex = (m_memberIndex + 1) % m_addresses.size();
        // The first round over the members has the shortest delay; the delay doubles with each
        // further round.
        const auto round = m_consecutiveFailures++ / m_addresses.size();
        const auto delay = std::min(
            MaxRetryDelay,
            InitialRetryDelay * static_cast<double>(1ULL << std::min<std::size_t>(round, 10)));
        m_timer.expires_after(std::chrono::milliseconds(static_cast<std::int64_t>(delay.count())));
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
            if (!ec)
                self->sendSubscribe();
        });
    }

    Asio::io_context &m_io;
    Asio::strand<Asio::io_context::executor_type> m_strand;
    Asio::steady_timer m_timer;
    std::vector<Address> m_addresses;
    RpcSettings m_settings;
    std::size_t m_memberIndex;
    std::shared_ptr<RpcClient> m_client;
    Callback m_callback;
    BucketCallback m_bucketCallback;
    std::uint64_t m_lastVersion = 0;
    std::uint64_t m_lastBucketVersion = 0;
    std::size_t m_consecutiveFailures = 0;
    std::atomic<std::uint64_t> m_calls = 0;
    bool m_isStopped = false;
};

} // namespace

std::shared_ptr<ControlSubscription>
ControlSubscription::make(boost::asio::io_context &io, std::vector<Address> controlAddresses,
                          RpcSettings settings)
{
    if (controlAddresses.empty()) {
        throw UserError(Error{ErrorCode::InvalidSettings,
                              "no control addresses. Fix: list them under 'control'"});
    }
    return std::make_shared<TcpControlSubscription>(io, std::move(controlAddresses),
                                                    std::move(settings));
}

} // namespace Camphor
