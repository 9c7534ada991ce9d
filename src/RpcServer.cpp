#include "RpcServer.h"

#include "AsioSupport.h"
#include "FrameStream.h"
#include "Log.h"
#include "Wire.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <chrono>
#include <mutex>
#include <optional>
#include <set>

namespace Camphor {

namespace {

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;
using ErrorCodeAsio = boost::system::error_code;

class Peer;

struct RpcServerState
{
    RpcSettings settings;
    RpcHandler handler;
    std::mutex mutex;
    std::set<std::shared_ptr<Peer>> peers;
    bool isStopped = false;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<std::uint64_t> lastConnection = 0;
};

/// One accepted connection.
class Peer : public std::enable_shared_from_this<Peer>
{
public:
    Peer(Tcp::socket socket, std::shared_ptr<RpcServerState> state)
        : m_timer(socket.get_executor())
        , m_state(std::move(state))
    {
        ErrorCodeAsio ignored;
        m_remote = socket.remote_endpoint(ignored).address().to_string();
        m_stream =
            std::make_shared<FrameStream>(std::move(socket), m_state->settings.maxFrameBytes);
    }

    void start()
    {
        Asio::post(m_stream->executor(), [self = shared_from_this()] {
            self->armHelloTimer();
            self->m_stream->start(
                [self](const FrameHeader &header, std::string payload) {
                    self->onFrame(header, std::move(payload));
                },
                [self](const Error &reason) { self->onClosed(reason); });
        });
    }

    void stop()
    {
        Asio::post(m_stream->executor(), [self = shared_from_this()] {
            self->m_stream->close(Error{ErrorCode::Unavailable, "server is stopping"});
        });
    }

private:
    void onFrame(const FrameHeader &header, std::string payload)
    {
        if (!m_hello) {
            onHello(header, payload);
            return;
        }
        if (header.type == FrameType::ClockRequest)
            sendClock();
        else if (header.type == FrameType::Request)
            onRequest(header, std::move(payload));
        else
            refuse(Error{ErrorCode::InvalidMessage,
                         "a server accepts request and clock request frames only"});
    }

    void onRequest(const FrameHeader &header, std::string payload)
    {
        // A time that is still to come says nothing.
        const auto sentAfterMs = header.serverClockMs <= clockMs() ? header.serverClockMs : 0;
        const RequestOrigin peer{*m_hello, Milliseconds{static_cast<double>(sentAfterMs)}};
        m_state->handler(peer, header.kind, std::move(payload), makeReply(header));
    }

    [[nodiscard]] std::uint64_t clockMs() const
    {
        return static_cast<std::uint64_t>(m_clock.now().count());
    }

    void sendClock()
    {
        m_stream->send(encodeFrame({0, 0, clockMs(), MessageKind::Ping, FrameType::Clock}, {}));
    }

    void armHelloTimer()
    {
        m_timer.expires_after(toChrono(m_state->settings.helloTimeout));
        m_timer.async_wait([self = shared_from_this()](ErrorCodeAsio ec) {
            if (!ec && !self->m_hello)
                self->refuse(Error{ErrorCode::Timeout, "hello timed out"});
        });
    }

    void onHello(const FrameHeader &header, std::string_view payload)
    {
        auto hello = decodeMessage<Hello>(payload);
        if (header.kind != MessageKind::Hello || !hello) {
            refuse(Error{ErrorCode::InvalidMessage, "the first frame is not a hello"});
        } else if (hello.value().version != WireVersion) {
            refuse(Error{ErrorCode::InvalidMessage, "wrong protocol version"});
        } else if (hello.value().cluster != m_state->settings.cluster) {
            refuse(Error{ErrorCode::InvalidMessage, "wrong cluster name"});
        } else {
            m_hello = std::move(hello).value();
            m_hello->connection = m_state->lastConnection.fetch_add(1) + 1;
            m_timer.cancel();
        }
    }

    RpcReply makeReply(const FrameHeader &request)
    {
        return [self = shared_from_this(), request](Result<std::string> result) {
            Asio::post(
                self->m_stream->executor(), [self, request, result = std::move(result)]() mutable {
                    FrameHeader header = request;
                    header.serverClockMs = self->clockMs();
                    header.type = result                            ? FrameType::Reply
                        : result.error().code == ErrorCode::Expired ? FrameType::Expired
                                                                    : FrameType::Refusal;
                    self->m_stream->send(
                        encodeFrame(header, result ? result.value() : result.error().message));
                });
        };
    }

    void refuse(const Error &reason)
    {
        Log::warning(LogEvent::PeerRefused).kv("remote", m_remote).kv("reason", reason.message);
        m_state->refused.fetch_add(1);
        m_stream->close(Error{ErrorCode::Unavailable, reason.message});
    }

    void onClosed(const Error &reason)
    {
        m_timer.cancel();
        if (reason.code == ErrorCode::InvalidMessage || reason.code == ErrorCode::TooLarge) {
            Log::warning(LogEvent::PeerRefused).kv("remote", m_remote).kv("reason", reason.message);
            m_state->refused.fetch_add(1);
        }
        const std::lock_guard lock(m_state->mutex);
        m_state->peers.erase(shared_from_this());
    }

    std::shared_ptr<FrameStream> m_stream;
    Asio::steady_timer m_timer;
    std::shared_ptr<RpcServerState> m_state;
    SteadyClock m_clock;
    std::optional<Hello> m_hello;
    std::string m_remote;
};

class TcpRpcServer : public RpcServer, public std::enable_shared_from_this<TcpRpcServer>
{
public:
    TcpRpcServer(Asio::io_context &io, const RpcSettings &settings, RpcHandler handler)
        : m_io(io)
        , m_acceptor(Asio::make_strand(io))
        , m_retryTimer(m_acceptor.get_executor())
        , m_state(std::make_shared<RpcServerState>())
    {
        m_state->settings = settings;
        m_state->handler = std::move(handler);
    }

    Status listen(const Address &listen)
    {
        if (auto status = listenOn(m_acceptor, listen); !status)
            return status;
        m_port = m_acceptor.local_endpoint().port();
        return okStatus();
    }

    void accept()
    {
        m_acceptor.async_accept(Asio::make_strand(m_io),
                                [self = shared_from_this()](ErrorCodeAsio ec, Tcp::socket socket) {
                                    self->onAccept(ec, std::move(socket));
                                });
    }

    [[nodiscard]] std::uint16_t port() const override { return m_port; }
    [[nodiscard]] std::uint64_t refusedPeers() const override { return m_state->refused; }

    [[nodiscard]] std::size_t connections() const override
    {
        const std::lock_guard lock(m_state->mutex);
        return m_state->peers.size();
    }

    void stop() override
    {
        Asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            ErrorCodeAsio ignored;
            self->m_acceptor.close(ignored);
            self->m_retryTimer.cancel();
        });
        std::set<std::shared_ptr<Peer>> peers;
        {
            const std::lock_guard lock(m_state->mutex);
            m_state->isStopped = true;
            peers = m_state->peers;
        }
        for (const auto &peer : peers)
            peer->stop();
    }

private:
    void onAccept(ErrorCodeAsio ec, Tcp::socket socket)
    {
        if (!m_acceptor.is_open())
            return;
        if (ec) {
            Log::warning(LogEvent::AcceptFailed).kv("error", ec.message());
            m_retryTimer.expires_after(std::chrono::milliseconds(50));
            m_retryTimer.async_wait([self = shared_from_this()](ErrorCodeAsio) {
                if (self->m_acceptor.is_open())
                    self->accept();
            });
            return;
        }
        admit(std::move(socket));
        accept();
    }

    void admit(Tcp::socket socket)
    {
        std::shared_ptr<Peer> peer;
        {
            const std::lock_guard lock(m_state->mutex);
            if (m_state->isStopped)
                return;
            if (m_state->peers.size() >= m_state->settings.maxConnections) {
                Log::warning(LogEvent::PeerRefused).kv("reason", "too-many-connections");
                m_state->refused.fetch_add(1);
                return;
            }
            peer = std::make_shared<Peer>(std::move(socket), m_state);
            m_state->peers.insert(peer);
        }
        peer->start();
    }

    Asio::io_context &m_io;
    Tcp::acceptor m_acceptor;
    Asio::steady_timer m_retryTimer;
    std::shared_ptr<RpcServerState> m_state;
    std::uint16_t m_port = 0;
};

} // namespace

Result<std::shared_ptr<RpcServer>> RpcServer::make(boost::asio::io_context &io,
                                                   const Address &listen,
                                                   const RpcSettings &settings, RpcHandler handler)
{
    auto server = std::make_shared<TcpRpcServer>(io, settings, std::move(handler));
    if (const auto status = server->listen(listen); !status)
        return status.error();
    server->accept();
    return std::shared_ptr<RpcServer>(std::move(server));
}

} // namespace Camphor
