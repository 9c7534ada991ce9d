#include "TargetServer.h"

#include "AsioSupport.h"

#include <utility>

#include "Log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <sstream>

namespace Camphor {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;
using ErrorCodeAsio = boost::system::error_code;

constexpr std::size_t MaxInputBytes = std::size_t{16} * 1024 * 1024;
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

HttpRequest toRequest(Http::request<Http::string_body> message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message)
        request.headers[lowerCase({field.name_string().data(), field.name_string().size()})] =
            std::string(field.value());
    request.body = std::move(message.body());
    return request;
}

std::string serialize(const HttpResponse &response)
{
    Http::response<Http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    for (const auto &[name, value] : response.headers)
        message.set(name, value);
    message.body() = response.body;
    message.prepare_payload();
    std::ostringstream text;
    text << message;
    return std::move(text).str();
}

struct ServerContext
{
    Asio::io_context &io;
    Milliseconds oneWayDelay;
    TargetHandler handler;
};

class TargetSession : public std::enable_shared_from_this<TargetSession>
{
public:
    TargetSession(Tcp::socket socket, std::shared_ptr<const ServerContext> context)
        : m_socket(std::move(socket))
        , m_timer(context->io)
        , m_context(std::move(context))
    {
    }

    void readNext()
    {
        m_parser.emplace();
        m_parser->body_limit(MaxInputBytes);
        Http::async_read(m_socket, m_buffer, *m_parser,
                         [self = shared_from_this()](ErrorCodeAsio ec, std::size_t) {
                             if (!ec)
                                 self->onRequest();
                         });
    }

private:
    void onRequest()
    {
        afterDelay([self = shared_from_this()] {
            self->m_context->handler(toRequest(self->m_parser->release()),
                                     [self](const HttpResponse &response, ReplyMode mode) {
                                         self->respond(response, mode);
                                     });
        });
    }

    void respond(const HttpResponse &response, ReplyMode mode)
    {
        m_serialized = serialize(response);
        m_mode = mode;
        if (mode == ReplyMode::Truncated)
            m_serialized.resize(m_serialized.size() - (response.body.size() + 1) / 2);
        else if (mode == ReplyMode::Twice)
            m_serialized += m_serialized;
        afterDelay([self = shared_from_this()] { self->write(); });
    }

    void write()
    {
        if (m_mode == ReplyMode::Reset) {
            ErrorCodeAsio ignored;
            // With a linger time of zero, close() sends a reset.
            m_socket.set_option(Asio::socket_base::linger(true, 0), ignored);
            m_socket.close(ignored);
            return;
        }
        Asio::async_write(m_socket, Asio::buffer(m_serialized),
                          [self = shared_from_this()](ErrorCodeAsio ec, std::size_t) {
                              if (!ec && self->m_mode != ReplyMode::Truncated)
                                  self->readNext();
                          });
    }

    void afterDelay(std::function<void()> step)
    {
        if (m_context->oneWayDelay <= Milliseconds{0}) {
            step();
            return;
        }
        m_timer.expires_after(std::chrono::microseconds(
            static_cast<std::int64_t>(m_context->oneWayDelay.count() * 1000.0)));
        m_timer.async_wait([step = std::move(step)](ErrorCodeAsio ec) {
            if (!ec)
                step();
        });
    }

    Tcp::socket m_socket;
    Asio::steady_timer m_timer;
    Beast::flat_buffer m_buffer;
    std::optional<Http::request_parser<Http::string_body>> m_parser;
    std::shared_ptr<const ServerContext> m_context;
    std::string m_serialized;
    ReplyMode m_mode = ReplyMode::Complete;
};

class BeastTargetServer : public TargetServer,
                          public std::enable_shared_from_this<BeastTargetServer>
{
public:
    BeastTargetServer(Asio::io_context &io, Milliseconds oneWayDelay, TargetHandler handler)
        : m_acceptor(io)
        , m_retryTimer(io)
        , m_context(
              std::make_shared<ServerContext>(ServerContext{io, oneWayDelay, std::move(handler)}))
    {
    }

    Status listen(const Address &address)
    {
        if (auto status = listenOn(m_acceptor, address); !status)
            return status;
        return okStatus();
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](ErrorCodeAsio ec, Tcp::socket socket) {
            self->onAccept(ec, std::move(socket));
        });
    }

    [[nodiscard]] std::uint16_t port() const override { return m_acceptor.local_endpoint().port(); }

private:
    void onAccept(ErrorCodeAsio ec, Tcp::socket socket)
    {
        if (ec) {
            Log::warning(LogEvent::AcceptFailed).kv("error", ec.message());
            m_retryTimer.expires_after(AcceptRetryDelay);
            m_retryTimer.async_wait([self = shared_from_this()](ErrorCodeAsio) { self->accept(); });
            return;
        }
        ErrorCodeAsio ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        std::make_shared<TargetSession>(std::move(socket), m_context)->readNext();
        accept();
    }

    Tcp::acceptor m_acceptor;
    Asio::steady_timer m_retryTimer;
    std::shared_ptr<const ServerContext> m_context;
};

} // namespace

Result<std::shared_ptr<TargetServer>> TargetServer::make(boost::asio::io_context &io,
                                                         const Address &listen,
                                                         Milliseconds oneWayDelay,
                                                         TargetHandler handler)
{
    auto server = std::make_shared<BeastTargetServer>(io, oneWayDelay, std::move(handler));
    if (const auto status = server->listen(listen); !status)
        return status.error();
    server->accept();
    return std::shared_ptr<TargetServer>(std::move(server));
}

} // namespace Camphor
