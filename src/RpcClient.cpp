#include "RpcClient.h"

#include "AsioSupport.h"
#include "FrameStream.h"
#include "Wire.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Camphor {

namespace {

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;
using ErrorCodeAsio = boost::system::error_code;

/// Highest relative difference between the rates of two machines' monotonic clocks.
constexpr double MaxClockDrift = 0.02;

/// What a client knows of the server's clock. All other times are of its own clock.
struct ClockReading
{
    Milliseconds serverTime; ///< When the server made the reading.
    Milliseconds readAt;
    Milliseconds requestedAt; ///< The reading was made between this time and readAt.

    /// Returns how much earlier than the present time of the server's clock serverTimeMs(now) may
    /// be.
    [[nodiscard]] Milliseconds error(Milliseconds now) const
    {
        return readAt - requestedAt + (now - readAt) * (2 * MaxClockDrift);
    }

    /// Returns a time of the server's clock that is not after a time of the own clock, and not 0.
    [[nodiscard]] std::uint64_t serverTimeMs(Milliseconds time) const
    {
        const auto elapsed = time - readAt;
        const bool isLater = elapsed >= Milliseconds{0};
        const auto least = serverTime + elapsed * (isLater ? 1 - MaxClockDrift : 1 + MaxClockDrift);
        return static_cast<std::uint64_t>(std::max(1.0, std::floor(least.count())));
    }
};

class TcpRpcClient : public RpcClient, public std::enable_shared_from_this<TcpRpcClient>
{
public:
    TcpRpcClient(Asio::io_context &io, Address address, RpcSettings settings)
        : m_strand(Asio::make_strand(io))
        , m_address(std::move(address))
        , m_settings(std::move(settings))
    {
    }

    void call(MessageKind kind, std::string payload, Milliseconds timeout,
              RpcCallback callback) override
    {
        Pending call{kind, std::move(payload), m_clock.now(), std::move(callback), nullptr, {}};
        Asio::post(m_strand,
                   [self = shared_from_this(), call = std::move(call), timeout]() mutable {
                       self->begin(std::move(call), timeout);
                   });
    }

    void stop() override
    {
        Asio::post(m_strand, [self = shared_from_this()] {
            self->m_isStopped = true;
            const Error reason{ErrorCode::Unavailable, "client is stopping"};
            if (self->m_socket) {
                ErrorCodeAsio ignored;
                self->m_socket->close(ignored);
            }
            if (self->m_stream)
                self->m_stream->close(reason);
            else
                self->failAll(reason);
        });
    }

    [[nodiscard]] const Address &address() const override { return m_address; }

private:
    using Strand = Asio::strand<Asio::io_context::executor_type>;

    struct Pending
    {
        MessageKind kind = MessageKind::Ping;
        std::string payload; ///< Moved out when it is sent.
        Milliseconds calledAt;
        RpcCallback callback;
        std::shared_ptr<Asio::steady_timer> timer;
        std::optional<Milliseconds> sentAt; ///< When it was passed to the connection.
    };

    void begin(Pending call, Milliseconds timeout)
    {
        if (m_isStopped || call.payload.size() > m_settings.maxFrameBytes) {
            const auto code = m_isStopped ? ErrorCode::Unavailable : ErrorCode::TooLarge;
            call.callback(
                RpcFailure{Error{code,
                                 "request was not sent: the client is stopped or the request "
                                 "exceeds the frame size limit"},
                           false});
            return;
        }
        const auto correlation = ++m_lastCorrelation;
        call.timer = std::make_shared<Asio::steady_timer>(m_strand, toChrono(timeout));
        call.timer->async_wait([self = shared_from_this(), correlation](ErrorCodeAsio ec) {
            if (!ec)
                self->fail(correlation, Error{ErrorCode::Timeout, "reply timed out"});
        });
        m_pending[correlation] = std::move(call);
        m_unsent.push_back(correlation);
        trySend();
    }

    /// Sends what waits, or first connects or asks for the server's clock.
    void trySend()
    {
        if (m_stream && knowsClock())
            sendUnsent();
        else if (m_stream)
            requestClock();
        else if (!m_socket)
            connect();
    }

    void sendUnsent()
    {
        for (const auto correlation : std::exchange(m_unsent, {})) {
            const auto it = m_pending.find(correlation);
            if (it == m_pending.end())
                continue;
            auto &pending = it->second;
            pending.sentAt = m_clock.now();
            const auto calledAtMs = m_reading ? m_reading->serverTimeMs(pending.calledAt) : 0;
            m_stream->send(
                encodeFrame({0, correlation, calledAtMs, pending.kind, FrameType::Request},
                            std::exchange(pending.payload, {})));
        }
    }

    [[nodiscard]] bool knowsClock() const
    {
        const auto maxError = m_settings.maxClockError;
        return maxError == Milliseconds{0}
        || (m_reading && m_reading->error(m_clock.now()) <= maxError);
    }

    void requestClock()
    {
        if (std::exchange(m_isClockRequested, true))
            return;
        m_lastClockRequestAt = m_clock.now();
        m_stream->send(encodeFrame({0, 0, 0, MessageKind::Ping, FrameType::ClockRequest}, {}));
    }

    /// @param requestedAt when the frame that the server has replied to was sent.
    void readClock(const FrameHeader &header, Milliseconds requestedAt)
    {
        const auto now = m_clock.now();
        const Milliseconds serverTime{static_cast<double>(header.serverClockMs)};
        const ClockReading reading{serverTime, now, requestedAt};
        if (!m_reading || reading.error(now) <= m_reading->error(now))
            m_reading = reading;
    }

    void connect()
    {
        ErrorCodeAsio ec;
        const auto ip = Asio::ip::make_address(m_address.host, ec);
        if (ec) {
            failAll(Error{ErrorCode::ConnectionRefused, "invalid address"});
            return;
        }
        m_socket = std::make_unique<Tcp::socket>(m_strand);
        auto timer =
            std::make_shared<Asio::steady_timer>(m_strand, toChrono(m_settings.connectTimeout));
        timer->async_wait([self = shared_from_this()](ErrorCodeAsio result) {
            if (!result && self->m_socket) {
                ErrorCodeAsio ignored;
                self->m_socket->close(ignored);
            }
        });
        m_socket->async_connect(Tcp::endpoint(ip, m_address.port),
                                [self = shared_from_this(), timer](ErrorCodeAsio result) {
                                    timer->cancel();
                                    self->onConnect(result);
                                });
    }

    void onConnect(ErrorCodeAsio ec)
    {
        auto socket = std::move(m_socket);
        if (ec || m_isStopped || !socket->is_open()) {
            failAll(Error{ErrorCode::ConnectionRefused, "connect failed: " + ec.message()});
            return;
        }
        m_stream = std::make_shared<FrameStream>(std::move(*socket), m_settings.maxFrameBytes);
        m_reading.reset();
        m_isClockRequested = false;
        m_stream->start(
            [self = shared_from_this()](const FrameHeader &header, std::string payload) {
                self->onFrame(header, std::move(payload));
            },
            [self = shared_from_this()](const Error &reason) {
                self->m_stream = nullptr;
                self->failAll(reason);
            });
        const Hello hello{WireVersion, m_settings.cluster, m_settings.instance,
                          m_settings.incarnation};
        m_stream->send(
            encodeFrame({0, 0, 0, MessageKind::Hello, FrameType::Request}, encodeMessage(hello)));
        trySend();
    }

    void onFrame(const FrameHeader &header, std::string payload)
    {
        if (header.type == FrameType::Clock) {
            m_isClockRequested = false;
            readClock(header, m_lastClockRequestAt);
            // However inexact: a server that is slow to reply is so the next time, too.
            sendUnsent();
            return;
        }
        const auto it = m_pending.find(header.correlation);
        // The entry of a call that timed out is gone, so its late reply is discarded.
        if (it == m_pending.end())
            return;
        auto pending = std::move(it->second);
        m_pending.erase(it);
        pending.timer->cancel();
        if (pending.sentAt)
            readClock(header, *pending.sentAt);
        if (header.type == FrameType::Reply)
            pending.callback(std::move(payload));
        else if (header.type == FrameType::Expired)
            pending.callback(RpcFailure{Error{ErrorCode::Expired, std::move(payload)}, false});
        else
            pending.callback(RpcFailure{Error{ErrorCode::Unavailable, std::move(payload)}, true});
    }

    void fail(std::uint64_t correlation, const Error &error)
    {
        const auto it = m_pending.find(correlation);
        if (it == m_pending.end())
            return;
        auto pending = std::move(it->second);
        m_pending.erase(it);
        pending.timer->cancel();
        pending.callback(RpcFailure{error, pending.sentAt.has_value()});
    }

    void failAll(const Error &error)
    {
        m_unsent.clear();
        for (auto &[correlation, pending] : std::exchange(m_pending, {})) {
            pending.timer->cancel();
            pending.callback(RpcFailure{error, pending.sentAt.has_value()});
        }
    }

    Strand m_strand;
    Address m_address;
    RpcSettings m_settings;
    std::unique_ptr<Tcp::socket> m_socket; ///< Set while a connection is being established.
    std::shared_ptr<FrameStream> m_stream; ///< Set while a connection is open.
    std::unordered_map<std::uint64_t, Pending> m_pending;
    std::vector<std::uint64_t> m_unsent;
    std::uint64_t m_lastCorrelation = 0;
    SteadyClock m_clock;
    std::optional<ClockReading> m_reading; ///< The most exact one on this connection.
    Milliseconds m_lastClockRequestAt;
    bool m_isClockRequested = false;
    bool m_isStopped = false;
};

} // namespace

std::shared_ptr<RpcClient> RpcClient::make(boost::asio::io_context &io, const Address &address,
                                           const RpcSettings &settings)
{
    return std::make_shared<TcpRpcClient>(io, address, settings);
}

} // namespace Camphor
