#include "HttpClient.h"

#include "AsioSupport.h"

#include <utility>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace Camphor {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;
using ErrorCodeAsio = boost::system::error_code;

class Connection;

/// Idle connections by address.
class ConnectionPool
{
public:
    explicit ConnectionPool(const HttpClientSettings &clientSettings)
        : settings(clientSettings)
    {
    }

    std::shared_ptr<Connection> acquire(const Address &address)
    {
        const std::lock_guard lock(m_mutex);
        auto &idle = m_idle[address];
        if (idle.empty())
            return nullptr;
        auto connection = std::move(idle.back());
        idle.pop_back();
        return connection;
    }

    /// Returns false when the pool is full and the connection should be closed.
    bool release(const Address &address, const std::shared_ptr<Connection> &connection)
    {
        const std::lock_guard lock(m_mutex);
        auto &idle = m_idle[address];
        if (m_isClosed || idle.size() >= settings.maxIdlePerAddress)
            return false;
        idle.push_back(connection);
        return true;
    }

    /// Returns true if the connection was idle and has been removed from the pool.
    bool remove(const Address &address, const std::shared_ptr<Connection> &connection)
    {
        const std::lock_guard lock(m_mutex);
        return std::erase(m_idle[address], connection) > 0;
    }

    std::vector<std::shared_ptr<Connection>> closeAndTakeAll()
    {
        const std::lock_guard lock(m_mutex);
        m_isClosed = true;
        std::vector<std::shared_ptr<Connection>> all;
        for (auto &[address, idle] : m_idle)
            std::ranges::move(idle, std::back_inserter(all));
        m_idle.clear();
        return all;
    }

    void onConnected(const Address &address)
    {
        const std::lock_guard lock(m_mutex);
        ++m_connected[address];
    }

    void onDisconnected(const Address &address, bool isEndedByPeer)
    {
        std::function<void(const Address &)> callback;
        {
            const std::lock_guard lock(m_mutex);
            const auto it = m_connected.find(address);
            const bool wasLast = --it->second == 0;
            if (wasLast)
                m_connected.erase(it);
            if (!m_isClosed && (wasLast || isEndedByPeer))
                callback = m_onDisconnect;
        }
        if (callback)
            callback(address);
    }

    void setOnDisconnect(std::function<void(const Address &)> callback)
    {
        const std::lock_guard lock(m_mutex);
        m_onDisconnect = std::move(callback);
    }

    const HttpClientSettings settings;
    std::atomic<std::uint64_t> unsolicitedResponses = 0;
    std::atomic<std::size_t> open = 0;

private:
    std::mutex m_mutex;
    bool m_isClosed = false;
    std::map<Address, std::vector<std::shared_ptr<Connection>>> m_idle;
    std::map<Address, std::size_t> m_connected; ///< Number of established connections.
    std::function<void(const Address &)> m_onDisconnect;
};

/// One connection with at most one request at a time. All of its handlers run on its strand.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(Asio::io_context &io, Address address, std::shared_ptr<ConnectionPool> pool)
        : m_stream(Asio::make_strand(io))
        , m_address(std::move(address))
        , m_pool(std::move(pool))
    {
        m_pool->open.fetch_add(1);
    }
    ~Connection() { m_pool->open.fetch_sub(1); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void send(HttpRequest request, Milliseconds timeout, HttpCallback callback)
    {
        // dispatch() runs the request inline on a thread of the io_context, which avoids a thread
        // switch.
        Asio::dispatch(m_stream.get_executor(),
                       [self = shared_from_this(), request = std::move(request), timeout,
                        callback = std::move(callback)]() mutable {
                           self->begin(std::move(request), timeout, std::move(callback));
                       });
    }

    void close()
    {
        Asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->closeNow(); });
    }

private:
    void begin(HttpRequest request, Milliseconds timeout, HttpCallback callback)
    {
        m_callback = std::move(callback);
        m_timeout = timeout;
        m_bytesWritten = false;
        prepare(std::move(request));
        if (m_isConnected && m_isIdleReadPending) {
            // The pending read on the idle connection must end before the response is read. Its
            // completion handler continues with this request.
            m_startAfterIdleRead = true;
            ErrorCodeAsio ignored;
            m_stream.socket().cancel(ignored);
        } else if (m_isConnected) {
            write();
        } else if (m_hasEnded) {
            connectAgain();
        } else {
            connect();
        }
    }

    void prepare(HttpRequest request)
    {
        m_request = {};
        m_request.version(11);
        m_request.method_string(request.method);
        m_request.target(request.target);
        m_request.set(Http::field::host, m_address.toString());
        for (const auto &[name, value] : request.headers)
            m_request.set(name, value);
        m_request.body() = std::move(request.body);
        m_request.prepare_payload();
    }

    void connect()
    {
        ErrorCodeAsio ec;
        const auto ip = Asio::ip::make_address(m_address.host, ec);
        if (ec) {
            Asio::post(m_stream.get_executor(), [self = shared_from_this()] {
                self->fail(ErrorCode::ConnectionRefused,
                           "invalid address " + self->m_address.toString(), false);
            });
            return;
        }
        m_stream.expires_after(toChrono(std::min(m_timeout, m_pool->settings.connectTimeout)));
        m_stream.async_connect(
            Tcp::endpoint(ip, m_address.port),
            [self = shared_from_this()](ErrorCodeAsio result) { self->onConnect(result); });
    }

    void onConnect(ErrorCodeAsio ec)
    {
        if (ec) {
            fail(ErrorCode::ConnectionRefused, "connect failed: " + ec.message(), false);
            return;
        }
        m_isConnected = true;
        m_pool->onConnected(m_address);
        ErrorCodeAsio ignored;
        m_stream.socket().set_option(Tcp::no_delay(true), ignored);
        write();
    }

    void write()
    {
        m_stream.expires_after(toChrono(m_timeout));
        m_bytesWritten = true;
        Http::async_write(
            m_stream, m_request,
            [self = shared_from_this()](ErrorCodeAsio ec, std::size_t) { self->onWritten(ec); });
    }

    void onWritten(ErrorCodeAsio ec)
    {
        if (ec) {
            failTransfer(ec);
            return;
        }
        m_parser.emplace();
        m_parser->body_limit(m_pool->settings.maxBodyBytes);
        Http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](ErrorCodeAsio result, std::size_t) {
                             self->onRead(result);
                         });
    }

    void onRead(ErrorCodeAsio ec)
    {
        if (ec) {
            failTransfer(ec);
            return;
        }
        // Without a length, the body ends when the connection ends, and a truncated body could not
        // be distinguished from a complete one.
        const bool hasLength = m_parser->content_length().has_value() || m_parser->chunked();
        auto message = m_parser->release();
        if (!hasLength && message.result() != Http::status::no_content) {
            fail(ErrorCode::InvalidMessage, "response without a length", true);
            return;
        }
        HttpResponse response;
        response.status = static_cast<int>(message.result_int());
        for (const auto &field : message)
            response.headers[lowerCase({field.name_string().data(), field.name_string().size()})] =
                std::string(field.value());
        response.body = std::move(message.body());
        const bool keepAlive = message.keep_alive() && !hasUnsolicitedInput();
        finish(std::move(response), keepAlive);
    }

    bool hasUnsolicitedInput()
    {
        if (m_buffer.size() == 0)
            return false;
        m_pool->unsolicitedResponses.fetch_add(1);
        return true;
    }

    void finish(HttpResponse response, bool keepAlive)
    {
        m_stream.expires_never();
        auto callback = std::exchange(m_callback, nullptr);
        if (keepAlive && m_pool->release(m_address, shared_from_this()))
            startIdleRead();
        else
            closeNow();
        callback(std::move(response));
    }

    /// Reads on an idle connection to detect that the peer closes it or sends an unsolicited
    /// response.
    void startIdleRead()
    {
        m_isIdleReadPending = true;
        m_stream.expires_after(toChrono(m_pool->settings.idleTimeout));
        m_stream.async_read_some(m_buffer.prepare(1),
                                 [self = shared_from_this()](ErrorCodeAsio ec, std::size_t n) {
                                     self->onIdleRead(ec, n);
                                 });
    }

    void onIdleRead(ErrorCodeAsio ec, std::size_t n)
    {
        m_isIdleReadPending = false;
        if (n > 0)
            m_pool->unsolicitedResponses.fetch_add(1);
        const bool canStart =
            m_startAfterIdleRead && ec == Asio::error::operation_aborted && n == 0;
        const bool isEndedByPeer = ec != Beast::error::timeout;
        if (std::exchange(m_startAfterIdleRead, false)) {
            if (canStart) {
                write();
                return;
            }
            // The connection ended while it was idle, so nothing was sent.
            closeNow(isEndedByPeer);
            connectAgain();
            return;
        }
        m_pool->remove(m_address, shared_from_this());
        // A request may have taken the connection from the pool in the meantime. It finds the
        // connection closed.
        m_hasEnded = true;
        closeNow(isEndedByPeer);
    }

    void connectAgain()
    {
        if (!m_pool->settings.replacesEndedConnections) {
            Asio::post(m_stream.get_executor(), [self = shared_from_this()] {
                self->fail(ErrorCode::ConnectionLost, "the idle connection has ended", false);
            });
            return;
        }
        m_buffer.clear();
        connect();
    }

    void failTransfer(ErrorCodeAsio ec)
    {
        closeNow(ec != Beast::error::timeout);
        if (ec == Beast::error::timeout)
            fail(ErrorCode::Timeout, "response timed out", m_bytesWritten);
        else if (ec == Http::error::body_limit)
            fail(ErrorCode::TooLarge, "response body too large", true);
        else if (ec == Http::error::partial_message)
            fail(ErrorCode::InvalidMessage, "response was truncated", true);
        else
            fail(ErrorCode::ConnectionLost, "connection lost: " + ec.message(), m_bytesWritten);
    }

    void fail(ErrorCode code, std::string message, bool maybeSent)
    {
        closeNow();
        auto callback = std::exchange(m_callback, nullptr);
        callback(HttpFailure{Error{code, std::move(message)}, maybeSent});
    }

    void closeNow(bool isEndedByPeer = false)
    {
        ErrorCodeAsio ignored;
        m_stream.socket().close(ignored);
        if (std::exchange(m_isConnected, false))
            m_pool->onDisconnected(m_address, isEndedByPeer);
    }

    Beast::tcp_stream m_stream;
    Beast::flat_buffer m_buffer;
    Http::request<Http::string_body> m_request;
    std::optional<Http::response_parser<Http::string_body>> m_parser;
    Address m_address;
    std::shared_ptr<ConnectionPool> m_pool;
    HttpCallback m_callback;
    Milliseconds m_timeout;
    bool m_isConnected = false;
    bool m_hasEnded = false; ///< It was established and has ended while it was idle.
    bool m_isIdleReadPending = false;
    bool m_startAfterIdleRead = false;
    bool m_bytesWritten = false;
};

class PooledHttpClient : public HttpClient
{
public:
    PooledHttpClient(Asio::io_context &io, const HttpClientSettings &settings)
        : m_io(io)
        , m_pool(std::make_shared<ConnectionPool>(settings))
    {
    }
    /// The pool and its idle connections own each other; clearing the pool breaks the cycle.
    ~PooledHttpClient() override { (void)m_pool->closeAndTakeAll(); }
    PooledHttpClient(const PooledHttpClient &) = delete;
    PooledHttpClient &operator=(const PooledHttpClient &) = delete;

    void send(const Address &address, HttpRequest request, Milliseconds timeout,
              HttpCallback callback) override
    {
        auto connection = m_pool->acquire(address);
        if (!connection)
            connection = std::make_shared<Connection>(m_io, address, m_pool);
        connection->send(std::move(request), timeout, std::move(callback));
    }

    void setOnDisconnect(std::function<void(const Address &)> onDisconnect) override
    {
        m_pool->setOnDisconnect(std::move(onDisconnect));
    }
    [[nodiscard]] std::uint64_t unsolicitedResponses() const override
    {
        return m_pool->unsolicitedResponses;
    }
    [[nodiscard]] std::size_t openConnections() const override { return m_pool->open; }

    void closeIdle() override
    {
        for (const auto &connection : m_pool->closeAndTakeAll())
            connection->close();
    }

private:
    Asio::io_context &m_io;
    std::shared_ptr<ConnectionPool> m_pool;
};

} // namespace

std::shared_ptr<HttpClient> HttpClient::make(boost::asio::io_context &io,
                                             const HttpClientSettings &settings)
{
    return std::make_shared<PooledHttpClient>(io, settings);
}

} // namespace Camphor
