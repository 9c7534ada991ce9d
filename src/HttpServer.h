/// @file An HTTP/1.1 server on Boost.Beast with limits on headers, bodies, connections and times.
#pragma once

#include "Http.h"
#include "MemoryBudget.h"
#include "Result.h"
#include "Settings.h"
#include "Time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// Limits of an HTTP server.
struct HttpServerSettings
{
    Address listen;
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    std::size_t maxConnections = 4096;
    Milliseconds idleTimeout{60'000}; ///< Longest wait for the next request on a connection.
    Milliseconds readTimeout{10'000}; ///< Longest time from the first byte to the complete request.
    Milliseconds writeTimeout{10'000}; ///< Longest time to write a response.
    /// Reads from the connection while a request is being handled, so that the handler is notified
    /// when the caller disconnects. That ends the session; a later response is discarded. Once such
    /// a connection has served a request, TCP keep-alive probes and not idleTimeout close it if it
    /// is idle and its peer is gone.
    bool detectsDisconnects = false;

    /// What requests of all connections may take together, from their first byte until their
    /// response is written. Not bounded if null.
    std::shared_ptr<MemoryBudget> memory = nullptr;

    auto operator<=>(const HttpServerSettings &) const = default;
};

/// What a server has refused since its start.
struct HttpServerCounters
{
    std::uint64_t oversizedRequests = 0; ///< Beyond a limit for one request.
    std::uint64_t memoryRefusals = 0; ///< Requests for which the memory budget had no room.
    std::uint64_t evictedConnections = 0; ///< Closed in favour of new ones.

    auto operator<=>(const HttpServerCounters &) const = default;
};

/// Sends the response to one request. May be called once, from any thread.
using HttpRespond = std::function<void(HttpResponse)>;

/// Handles one request; may respond later.
using HttpHandler = std::function<void(HttpRequest, HttpRespond)>;

/// The server. A request that exceeds a limit gets a problem response with outcome "not-run", and
/// its connection is closed. Trailers and chunk extensions are read and discarded; they count
/// against limits, too. When all connections are in use, a new one replaces the one that has waited
/// the longest without a complete request.
class HttpServer
{
public:
    /// Binds and starts accepting. @return an error if the address can't be bound.
    [[nodiscard]] static Result<std::shared_ptr<HttpServer>>
    make(boost::asio::io_context &io, const HttpServerSettings &settings, HttpHandler handler);

    virtual ~HttpServer() = default;

    /// Returns the port in use; differs from the settings if these specify port 0.
    [[nodiscard]] virtual std::uint16_t port() const = 0;
    /// Returns the number of requests that were read and whose response is not yet completely
    /// written.
    [[nodiscard]] virtual std::size_t requestsInFlight() const = 0;
    [[nodiscard]] virtual std::size_t connections() const = 0;
    /// Returns whether another connection would be accepted.
    [[nodiscard]] virtual bool hasRoom() const = 0;

    [[nodiscard]] virtual HttpServerCounters counters() const = 0;

    /// From now on every response closes its connection, so that callers reconnect to other
    /// entries.
    virtual void startDrain() = 0;
    /// Ignores new connection attempts, waits until connections whose handshake has begun are
    /// accepted, and closes the listening socket.
    virtual void stopAccepting() = 0;
    /// Returns whether the listening socket is still open.
    [[nodiscard]] virtual bool isAccepting() const = 0;
    /// Closes connections on which no request is being read or handled.
    virtual void closeIdleConnections() = 0;
};

} // namespace Camphor
