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
#include <unordered_map>
#include <vector>

namespace Camphor {

namespace {

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;
using ErrorCodeAsio = boost::system::error_code;

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
        Asio::post(m_strand,
                   [self = shared_from_this(), kind, payload = std::move(payload), timeout,
                    callback = std::move(callback)]() mutable {
                       self->begin(kind, payload, timeout, std::move(callback));
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
        RpcCallback callback;
        std::shared_ptr<Asio::steady_timer> timer;
        std::string unsentFrame; ///< Empty after the frame was passed to the connection.
    };

    void begin(MessageKind kind, const std::string &payload, Milliseconds timeout,
               RpcCallback callback)
    {
        if (m_isStopped || payload.size() > m_settings.maxFrameBytes) {
            const auto code = m_isStopped ? ErrorCode::Unavailable : ErrorCode::TooLarge;
            callback(RpcFailure{Error{code,
                                      "request was not sent: the client is stopped or the request "
                                      "exceeds the frame size limit"},
                                false});
            return;
        }
        const auto correlation = ++m_lastCorrelation;
        auto &pending = m_pending[correlation];
        pending.callback = std::move(callback);
        pending.timer = std::make_shared<Asio::steady_timer>(m_strand, toChrono(timeout));
        pending.timer->async_wait([self = shared_from_this(), correlation](ErrorCodeAsio ec) {
            if (!ec)
                self->fail(correlation, Error{ErrorCode::Timeout, "reply timed out"});
        });
        auto frame =
            encodeFrame({0, correlation, m_serverClockMs, kind, FrameType::Request}, payload);
        if (m_stream) {
            m_stream->send(std::move(frame));
            return;
        }
        pending.unsentFrame = std::move(frame);
        m_unsent.push_back(correlation);
        if (!m_socket)
            connect();
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
        m_serverClockMs = 0;
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
        for (const auto correlation : std::exchange(m_unsent, {})) {
            const auto it = m_pending.find(correlation);
            if (it != m_pending.end())
                m_stream->send(std::exchange(it->second.unsentFrame, {}));
        }
    }

    void onFrame(const FrameHeader &header, std::string payload)
    {
        m_serverClockMs = std::max(m_serverClockMs, header.serverClockMs);
        if (header.type == FrameType::ClockProbe) {
            m_stream->send(
                encodeFrame({0, 0, m_serverClockMs, MessageKind::Ping, FrameType::ClockEcho}, {}));
            return;
        }
        const auto it = m_pending.find(header.correlation);
        // The entry of a call that timed out is gone, so its late reply is discarded.
        if (it == m_pending.end())
            return;
        auto pending = std::move(it->second);
        m_pending.erase(it);
        pending.timer->cancel();
        if (header.type == FrameType::Reply)
            pending.callback(std::move(payload));
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
        pending.callback(RpcFailure{error, pending.unsentFrame.empty()});
    }

    void failAll(const Error &error)
    {
        m_unsent.clear();
        for (auto &[correlation, pending] : std::exchange(m_pending, {})) {
            pending.timer->cancel();
            pending.callback(RpcFailure{error, pending.unsentFrame.empty()});
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
    std::uint64_t m_serverClockMs = 0; ///< Latest clock of the server on this connection.
    bool m_isStopped = false;
};

} // namespace

std::shared_ptr<RpcClient> RpcClient::make(boost::asio::io_context &io, const Address &address,
                                           const RpcSettings &settings)
{
    return std::make_shared<TcpRpcClient>(io, address, settings);
}

} // namespace Camphor
