#include "HttpServer.h"

#include "AsioSupport.h"

#include <utility>

#include "Log.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <exception>
#include <functional>
#include <mutex>
#include <optional>
#include <set>

namespace Camphor {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;
using ErrorCodeAsio = boost::system::error_code;

HttpResponse makeLimitProblem(int status, const std::string &reason)
{
    return makeResponse(status, ProblemContentType,
                        R"({"outcome":"not-run","reason":")" + reason + R"(","started":0})");
}

/// Discards the first packet of every new connection, so that a caller finds no server instead of
/// having its connection reset. Closing a listening socket resets the connections that the kernel
/// has accepted and the process has not, although their requests may have been sent.
void filterNewConnections(int listeningSocket)
{
    // Byte 13 of the TCP header holds the flags; SYN without ACK opens a connection.
    std::array<sock_filter, 5> code{{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, 13),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, 0x12),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, 0x02, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, 0xFFFFFFFF),
    }};
    const sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
    if (::setsockopt(listeningSocket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) != 0)
        Log::warning(LogEvent::ListenFilterFailed).kv("errno", errno);
}

/// Lets the kernel close a connection whose peer is gone without a sign, such as one that was cut
/// off, within half a minute. Its default is hours, which remains in force where the options cannot
/// be set.
void probeIdlePeer(int socket)
{
    constexpr int FirstProbeAfterSeconds = 15;
    constexpr int SecondsBetweenProbes = 5;
    constexpr int LostProbes = 3;
    const auto set = [socket](int level, int option, int value) {
        (void)::setsockopt(socket, level, option, &value, sizeof(value));
    };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, FirstProbeAfterSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, SecondsBetweenProbes);
    set(IPPROTO_TCP, TCP_KEEPCNT, LostProbes);
}

class Session;

/// The open sessions, so that a drain can close them.
class SessionSet
{
public:
    void add(const std::shared_ptr<Session> &session)
    {
        const std::lock_guard lock(m_mutex);
        m_sessions.insert(session);
    }
    void remove(const std::shared_ptr<Session> &session)
    {
        const std::lock_guard lock(m_mutex);
        m_sessions.erase(session);
    }
    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_sessions.size();
    }
    [[nodiscard]] std::set<std::shared_ptr<Session>> copy() const
    {
        const std::lock_guard lock(m_mutex);
        return m_sessions;
    }
    /// The session that has waited the longest without a complete request, idle ones first; null if
    /// all of them are handling requests.
    [[nodiscard]] std::shared_ptr<Session> longestWaiting() const;
    [[nodiscard]] std::set<std::shared_ptr<Session>> removeAll()
    {
        const std::lock_guard lock(m_mutex);
        return std::exchange(m_sessions, {});
    }

private:
    mutable std::mutex m_mutex;
    std::set<std::shared_ptr<Session>> m_sessions;
};

/// State shared by the sessions. It outlives the server object while a session is open.
struct ServerState
{
    HttpServerSettings settings;
    HttpHandler handler;
    SessionSet sessions;
    std::atomic<bool> draining = false;
    std::atomic<std::uint64_t> oversizedRequests = 0;
    std::atomic<std::uint64_t> memoryRefusals = 0;
    std::atomic<std::uint64_t> evictedConnections = 0;
};

/// One connection. All of its handlers run on its strand.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(Tcp::socket socket, std::shared_ptr<ServerState> state)
        : m_stream(std::move(socket))
        , m_buffer(state->settings.maxHeaderBytes + ReadAheadBytes)
        , m_state(std::move(state))
        , m_memory(m_state->settings.memory)
    {
    }

    void start()
    {
        Asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->readNext(); });
    }

    [[nodiscard]] bool isHandling() const { return m_isHandling; }

    /// Orders connections by how well they can be spared: idle ones first, then those that have
    /// waited the longest.
    [[nodiscard]] std::pair<bool, std::int64_t> waitOrder() const
    {
        return {!m_isIdle, m_waitingSince};
    }

    void closeUnlessHandling()
    {
        Asio::post(m_stream.get_executor(), [self = shared_from_this()] {
            // A request has been completed since the connection was chosen, so it is kept.
            if (self->m_isHandling)
                self->m_state->sessions.add(self);
            else
                self->close();
        });
    }

    void closeIfIdle()
    {
        Asio::post(m_stream.get_executor(), [self = shared_from_this()] {
            // A caller that has just connected is about to send its request.
            const auto age = std::chrono::steady_clock::now() - self->m_createdAt;
            const bool isNew = !self->m_hadRequest && age < FirstRequestGrace;
            if (!self->m_isIdle || isNew)
                return;
            // Closing here could lose a request whose bytes have arrived but have not been handled.
            self->m_closeWhenCancelled = true;
            ErrorCodeAsio ignored;
            self->m_stream.socket().cancel(ignored);
        });
    }

private:
    void resetParser()
    {
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_state->settings.maxHeaderBytes));
        m_parser->body_limit(m_state->settings.maxBodyBytes);
        m_parser->on_chunk_header(m_onChunkHeader);
        m_extensionBytes = 0;
        m_hasHeader = false;
        m_waitingSince = std::chrono::steady_clock::now().time_since_epoch().count();
    }

    void readNext()
    {
        resetParser();
        if (m_buffer.size() > 0) {
            readRequest();
            return;
        }
        m_isIdle = true;
        m_stream.expires_after(toChrono(m_state->settings.idleTimeout));
        m_stream.async_read_some(m_buffer.prepare(ReadBytes),
                                 [self = shared_from_this()](ErrorCodeAsio ec, std::size_t n) {
                                     self->onFirstBytes(ec, n);
                                 });
    }

    void onFirstBytes(ErrorCodeAsio ec, std::size_t n)
    {
        m_isIdle = false;
        if (std::exchange(m_closeWhenCancelled, false) && ec == Asio::error::operation_aborted) {
            ErrorCodeAsio ignored;
            if (m_stream.socket().available(ignored) > 0) {
                readNext();
                return;
            }
        }
        if (ec) {
            close();
            return;
        }
        m_hadRequest = true;
        m_buffer.commit(n);
        readRequest();
    }

    void readRequest()
    {
        m_stream.expires_after(toChrono(m_state->settings.readTimeout));
        parse();
    }

    /// Parses what has arrived and reads more until the request is complete. The memory is charged
    /// after each read, also for an incomplete header.
    void parse()
    {
        while (!m_parser->is_done()) {
            ErrorCodeAsio ec;
            m_buffer.consume(m_parser->put(m_buffer.data(), ec));
            if (m_parser->is_header_done())
                takeHeader();
            const bool needsMore = ec == Http::error::need_more || m_buffer.size() == 0;
            if (ec && ec != Http::error::need_more) {
                rejectRequest(ec);
                return;
            }
            if (needsMore && !m_parser->is_done()) {
                readMore();
                return;
            }
        }
        if (reserveMemory())
            onRequest();
    }

    void readMore()
    {
        const auto room = m_buffer.max_size() - m_buffer.size();
        if (room == 0) {
            rejectRequest(Http::error::buffer_overflow);
            return;
        }
        // A small request stays small: its buffer does not grow for bytes that may never arrive.
        const bool isSmall = m_memory.bytes() <= SmallBufferBytes;
        const auto free =
            m_buffer.prepare(std::min(room, isSmall ? SmallReadBytes : LargeReadBytes));
        if (!reserveMemory())
            return;
        m_stream.async_read_some(free,
                                 [self = shared_from_this()](ErrorCodeAsio ec, std::size_t n) {
                                     if (ec) {
                                         self->close();
                                         return;
                                     }
                                     self->m_buffer.commit(n);
                                     self->parse();
                                 });
    }

    /// Takes the fields before the trailers are parsed, because the parser adds these to them,
    /// where they could replace a field such as the host.
    void takeHeader()
    {
        if (std::exchange(m_hasHeader, true))
            return;
        const auto &message = m_parser->get();
        m_keepAlive = message.keep_alive();
        m_request = {};
        m_request.method = std::string(message.method_string());
        m_request.target = std::string(message.target());
        for (const auto &field : message)
            m_request.headers[lowerCase({field.name_string().data(), field.name_string().size()})] =
                std::string(field.value());
    }

    /// Charges what has been read and the declared body. @return false if the request was refused.
    [[nodiscard]] bool reserveMemory()
    {
        const auto buffered = m_parser->get().body().capacity() + m_buffer.capacity();
        if (m_memory.resize(RequestOverheadBytes + buffered))
            return true;
        rejectForMemory();
        return false;
    }

    void onChunkHeader(std::size_t extensionBytes, ErrorCodeAsio &ec)
    {
        m_extensionBytes += extensionBytes;
        if (m_extensionBytes > MaxExtensionBytes)
            ec = Http::error::header_limit;
    }

    void onRequest()
    {
        m_stream.expires_never();
        auto request = std::exchange(m_request, {});
        request.body = std::move(m_parser->get().body());
        // The buffer lives as long as the connection, and is not charged while that is idle.
        if (m_buffer.size() == 0 && m_buffer.capacity() > SmallBufferBytes)
            m_buffer.shrink_to_fit();
        m_isHandling = true;
        if (m_state->settings.detectsDisconnects) {
            m_caller = std::make_shared<CallerConnection>([weak = weak_from_this()] {
                const auto self = weak.lock();
                return !self || self->hasPeerClosed();
            });
            request.caller = m_caller;
        }
        handle(std::move(request));
        if (m_caller && m_isHandling)
            startDisconnectRead();
    }

    /// An exception of the handler ends this request, not the process.
    void handle(HttpRequest request)
    {
        const auto respond = makeRespond();
        const auto path = std::string(request.path());
        try {
            m_state->handler(std::move(request), respond);
        } catch (const std::exception &e) {
            Log::error(LogEvent::RequestFailed).kv("path", path).kv("reason", e.what());
            respond(makeResponse(500, ProblemContentType,
                                 R"({"outcome":"unknown","reason":"internal-error"})"));
        }
    }

    /// Whether the peer has closed or reset the connection and nothing is left to read before that.
    [[nodiscard]] bool hasPeerClosed()
    {
        if (!m_stream.socket().is_open())
            return true;
        char byte = 0;
        const auto n = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && (errno == ECONNRESET || errno == EPIPE || errno == ETIMEDOUT));
    }

    void startDisconnectRead()
    {
        // The next requests have arrived and fill the buffer. They are read after the response.
        if (m_buffer.size() + ReadBytes > m_buffer.max_size())
            return;
        m_isDisconnectReadPending = true;
        m_stream.async_read_some(m_buffer.prepare(ReadBytes),
                                 [self = shared_from_this()](ErrorCodeAsio ec, std::size_t n) {
                                     self->onDisconnectRead(ec, n);
                                 });
    }

    void onDisconnectRead(ErrorCodeAsio ec, std::size_t n)
    {
        m_isDisconnectReadPending = false;
        if (std::exchange(m_lingerAfterDisconnectRead, false)) {
            discardInput();
        } else if (!m_isHandling) {
            onFirstBytes(ec, n);
        } else if (ec) {
            // Nobody is left to read a response, so the session ends here; a later response is
            // discarded.
            const auto caller = std::exchange(m_caller, nullptr);
            m_isHandling = false;
            close();
            caller->notifyDisconnect();
        } else {
            // The next request has begun to arrive; it is read after the response to this one.
            m_buffer.commit(n);
        }
    }

    HttpRespond makeRespond()
    {
        auto hasResponded = std::make_shared<std::atomic<bool>>(false);
        return [self = shared_from_this(), hasResponded](HttpResponse response) {
            if (hasResponded->exchange(true))
                return;
            // dispatch() writes inline on a thread of the io_context, which avoids a thread switch.
            Asio::dispatch(self->m_stream.get_executor(),
                           [self, response = std::move(response)]() mutable {
                               if (self->m_isHandling)
                                   self->write(std::move(response));
                           });
        };
    }

    void rejectForMemory()
    {
        ++m_state->memoryRefusals;
        Log::decision(LogEvent::RequestRefused)
            .kv("path", m_request.path())
            .kv("reason", "memory-limit")
            .kv("bytes", m_memory.bytes());
        m_keepAlive = false;
        m_request = {};
        m_memory.release();
        auto response = makeLimitProblem(503, "memory-limit");
        response.headers["retry-after"] = "1";
        write(std::move(response));
    }

    void rejectRequest(ErrorCodeAsio ec)
    {
        m_keepAlive = false;
        m_request = {};
        m_memory.release();
        const bool isParserError =
            ec.category() == Http::make_error_code(Http::error::bad_method).category();
        const bool isConnectionEnd =
            ec == Http::error::end_of_stream || ec == Http::error::partial_message;
        if (!isParserError || isConnectionEnd)
            close();
        else if (ec == Http::error::body_limit)
            rejectOversized(413, "body-too-large");
        else if (ec == Http::error::header_limit || ec == Http::error::buffer_overflow)
            rejectOversized(431, "header-too-large");
        else
            write(makeLimitProblem(400, "malformed-http"));
    }

    void rejectOversized(int status, const char *reason)
    {
        ++m_state->oversizedRequests;
        Log::decision(LogEvent::RequestRefused).kv("reason", reason);
        write(makeLimitProblem(status, reason));
    }

    void write(HttpResponse response)
    {
        m_response.emplace();
        m_response->version(11);
        m_response->result(static_cast<unsigned>(response.status));
        for (const auto &[name, value] : response.headers)
            m_response->set(name, value);
        const bool keepAlive = m_keepAlive && !m_state->draining.load();
        m_response->keep_alive(keepAlive);
        m_response->body() = std::move(response.body);
        m_response->prepare_payload();
        m_stream.expires_after(toChrono(m_state->settings.writeTimeout));
        Http::async_write(m_stream, *m_response,
                          [self = shared_from_this(), keepAlive](ErrorCodeAsio ec, std::size_t) {
                              self->onWritten(ec, keepAlive);
                          });
    }

    void onWritten(ErrorCodeAsio ec, bool keepAlive)
    {
        m_isHandling = false;
        m_caller.reset();
        m_memory.release();
        m_response.reset();
        m_stream.expires_never();
        if (ec) {
            close();
        } else if (keepAlive && m_isDisconnectReadPending) {
            // The read that detected disconnects of the caller now waits for the next request.
            resetParser();
            m_isIdle = true;
        } else if (keepAlive) {
            readNext();
        } else {
            lingeringClose();
        }
    }

    /// Shuts down the sending side first and reads until the peer closes. Closing at once could
    /// reset the connection and destroy a response that the peer has not read yet.
    void lingeringClose()
    {
        ErrorCodeAsio ignored;
        m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
        m_stream.expires_after(LingerTimeout);
        if (m_isDisconnectReadPending) {
            m_lingerAfterDisconnectRead = true;
            m_stream.socket().cancel(ignored);
            return;
        }
        discardInput();
    }

    void discardInput()
    {
        m_buffer.clear();
        m_stream.async_read_some(m_buffer.prepare(ReadBytes),
                                 [self = shared_from_this()](ErrorCodeAsio ec, std::size_t) {
                                     if (ec)
                                         self->close();
                                     else
                                         self->discardInput();
                                 });
    }

    void close()
    {
        ErrorCodeAsio ignored;
        m_stream.socket().close(ignored);
        m_memory.release();
        m_state->sessions.remove(shared_from_this());
    }

    /// Enough for a typical request. The buffer stays allocated while a request is queued, so it is
    /// a large part of the memory that one queued request needs.
    static constexpr std::size_t ReadBytes = 1024;
    /// Read at a time once a request has begun, while it takes no more than SmallBufferBytes and
    /// after that. An idle connection keeps no larger buffer.
    static constexpr std::size_t SmallReadBytes = std::size_t{2} * 1024;
    static constexpr std::size_t SmallBufferBytes = 2 * SmallReadBytes;
    static constexpr std::size_t LargeReadBytes = std::size_t{16} * 1024;
    /// What the buffer may hold beside a header. Trailers and the header of a chunk, with its
    /// extensions, must fit into it, because the parser needs them whole.
    static constexpr std::size_t ReadAheadBytes = std::size_t{16} * 1024;
    /// Extensions of all chunks of one body. Ordinary clients send none.
    static constexpr std::size_t MaxExtensionBytes = std::size_t{16} * 1024;
    /// Memory of a request beside its body: its fields, the parser and the response.
    static constexpr std::size_t RequestOverheadBytes = std::size_t{2} * 1024;
    static constexpr std::chrono::seconds LingerTimeout{2};
    static constexpr std::chrono::seconds FirstRequestGrace{1};

    Beast::tcp_stream m_stream;
    Beast::flat_buffer m_buffer;
    std::optional<Http::request_parser<Http::string_body>> m_parser;
    std::optional<Http::response<Http::string_body>> m_response;
    std::shared_ptr<ServerState> m_state;
    MemoryReservation m_memory; ///< Of the request that is read or handled.
    HttpRequest m_request; ///< Whose body is being read.
    bool m_hasHeader = false; ///< Whether m_request has the header.
    std::size_t m_extensionBytes = 0;
    /// The parser keeps a reference to it.
    std::function<void(std::uint64_t, Beast::string_view, ErrorCodeAsio &)> m_onChunkHeader =
        [this](std::uint64_t, Beast::string_view extensions, ErrorCodeAsio &ec) {
            onChunkHeader(extensions.size(), ec);
        };
    bool m_keepAlive = false;
    std::atomic<bool> m_isIdle = false;
    /// When the wait for the present request began, in ticks of the steady clock.
    std::atomic<std::int64_t> m_waitingSince = 0;
    bool m_hadRequest = false;
    bool m_closeWhenCancelled = false;
    std::shared_ptr<CallerConnection> m_caller; ///< The caller of the request in progress.
    std::atomic<bool> m_isHandling = false; ///< Set until the response is completely written.
    bool m_isDisconnectReadPending = false; ///< A read is pending while a request is being handled.
    bool m_lingerAfterDisconnectRead = false;
    const std::chrono::steady_clock::time_point m_createdAt = std::chrono::steady_clock::now();
};

std::shared_ptr<Session> SessionSet::longestWaiting() const
{
    const std::lock_guard lock(m_mutex);
    std::shared_ptr<Session> chosen;
    for (const auto &session : m_sessions) {
        if (!session->isHandling() && (!chosen || session->waitOrder() < chosen->waitOrder()))
            chosen = session;
    }
    return chosen;
}

class BeastHttpServer : public HttpServer, public std::enable_shared_from_this<BeastHttpServer>
{
public:
    BeastHttpServer(Asio::io_context &io, const HttpServerSettings &settings, HttpHandler handler)
        : m_io(io)
        , m_acceptor(Asio::make_strand(io))
        , m_retryTimer(m_acceptor.get_executor())
        , m_closeTimer(m_acceptor.get_executor())
        , m_state(std::make_shared<ServerState>())
    {
        m_state->settings = settings;
        m_state->handler = std::move(handler);
    }

    /// The shared state and the open sessions own each other; clearing the set breaks the cycle.
    ~BeastHttpServer() override { (void)m_state->sessions.removeAll(); }
    BeastHttpServer(const BeastHttpServer &) = delete;
    BeastHttpServer &operator=(const BeastHttpServer &) = delete;

    Status listen()
    {
        if (auto status = listenOn(m_acceptor, m_state->settings.listen); !status)
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
    [[nodiscard]] std::size_t requestsInFlight() const override
    {
        const auto sessions = m_state->sessions.copy();
        return static_cast<std::size_t>(
            std::ranges::count_if(sessions, [](const auto &it) { return it->isHandling(); }));
    }
    [[nodiscard]] std::size_t connections() const override { return m_state->sessions.size(); }
    [[nodiscard]] bool hasRoom() const override
    {
        return !isFull() || m_state->sessions.longestWaiting() != nullptr;
    }

    [[nodiscard]] HttpServerCounters counters() const override
    {
        return {m_state->oversizedRequests, m_state->memoryRefusals, m_state->evictedConnections};
    }

    void startDrain() override { m_state->draining = true; }

    void stopAccepting() override
    {
        Asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            filterNewConnections(self->m_acceptor.native_handle());
            self->m_closeTimer.expires_after(HandshakeGrace);
            self->m_closeTimer.async_wait([self](ErrorCodeAsio) {
                ErrorCodeAsio ignored;
                self->m_acceptor.close(ignored);
                self->m_retryTimer.cancel();
                self->m_isAccepting = false;
            });
        });
    }
    [[nodiscard]] bool isAccepting() const override { return m_isAccepting; }

    void closeIdleConnections() override
    {
        for (const auto &session : m_state->sessions.copy())
            session->closeIfIdle();
    }

private:
    [[nodiscard]] bool isFull() const
    {
        return m_state->sessions.size() >= m_state->settings.maxConnections;
    }

    void onAccept(ErrorCodeAsio ec, Tcp::socket socket)
    {
        if (!m_acceptor.is_open())
            return;
        if (ec) {
            // Running out of file descriptors is the usual cause, so retrying at once would spin.
            Log::warning(LogEvent::AcceptFailed).kv("error", ec.message());
            (void)evictConnection();
            m_retryTimer.expires_after(AcceptRetryDelay);
            m_retryTimer.async_wait([self = shared_from_this()](ErrorCodeAsio) {
                if (self->m_acceptor.is_open())
                    self->accept();
            });
            return;
        }
        if (!isFull() || evictConnection()) {
            ErrorCodeAsio ignored;
            socket.set_option(Tcp::no_delay(true), ignored);
            probeIdlePeer(socket.native_handle());
            auto session = std::make_shared<Session>(std::move(socket), m_state);
            m_state->sessions.add(session);
            session->start();
        } else {
            // Every connection has a request in progress.
            Log::decision(LogEvent::ConnectionRefused).kv("reason", "too-many-connections");
        }
        accept();
    }

    /// Closes the connection that can be spared best. @return whether there was one.
    bool evictConnection()
    {
        const auto session = m_state->sessions.longestWaiting();
        if (!session)
            return false;
        ++m_state->evictedConnections;
        Log::decision(LogEvent::ConnectionEvicted).kv("connections", connections());
        // It no longer counts, so that the next new connection evicts another one.
        m_state->sessions.remove(session);
        session->closeUnlessHandling();
        return true;
    }

    static constexpr std::chrono::milliseconds AcceptRetryDelay{50};
    /// Connections whose handshake has begun are accepted within this time.
    static constexpr std::chrono::milliseconds HandshakeGrace{100};

    Asio::io_context &m_io;
    Tcp::acceptor m_acceptor;
    Asio::steady_timer m_retryTimer;
    Asio::steady_timer m_closeTimer;
    std::atomic<bool> m_isAccepting{true};
    std::shared_ptr<ServerState> m_state;
    std::uint16_t m_port = 0;
};

} // namespace

Result<std::shared_ptr<HttpServer>> HttpServer::make(boost::asio::io_context &io,
                                                     const HttpServerSettings &settings,
                                                     HttpHandler handler)
{
    auto server = std::make_shared<BeastHttpServer>(io, settings, std::move(handler));
    if (const auto status = server->listen(); !status)
        return status.error();
    server->accept();
    return std::shared_ptr<HttpServer>(std::move(server));
}

} // namespace Camphor
