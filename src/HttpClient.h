/// @file An HTTP/1.1 client with a connection pool for each address.
#pragma once

#include "Http.h"
#include "Result.h"
#include "Settings.h"
#include "Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <variant>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// Limits of an HTTP client.
struct HttpClientSettings
{
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    std::size_t maxIdlePerAddress = 64;
    Milliseconds connectTimeout{1'000};
    /// Idle connections are closed after this time. It is shorter than the idle timeout of the
    /// servers, so that a request rarely uses a connection that the server is closing.
    Milliseconds idleTimeout{20'000};
    /// Whether a request whose idle connection turns out to have ended uses a new one. Otherwise it
    /// fails unsent, because another process may have started at the address.
    bool replacesEndedConnections = true;

    auto operator<=>(const HttpClientSettings &) const = default;
};

/// The reason why a request has no response.
struct HttpFailure
{
    Error error;
    /// False only if it is certain that no byte of the request was written.
    bool maybeSent = true;

    auto operator<=>(const HttpFailure &) const = default;
};

/// A complete response, or the reason why there is none. A truncated response is a failure.
using HttpResult = std::variant<HttpResponse, HttpFailure>;

using HttpCallback = std::function<void(HttpResult)>;

/// Sends requests. A request is written once to one connection and never retried by the client. A
/// connection that receives anything other than the one expected response is closed and not reused.
class HttpClient
{
public:
    [[nodiscard]] static std::shared_ptr<HttpClient> make(boost::asio::io_context &io,
                                                          const HttpClientSettings &settings);
    virtual ~HttpClient() = default;

    /// Sends a request. The callback is called exactly once, on a thread of the io_context.
    /// @param timeout longest time from now until the complete response has arrived.
    virtual void send(const Address &address, HttpRequest request, Milliseconds timeout,
                      HttpCallback callback) = 0;

    /// Sets a callback for connections that end. It is called with the address when the peer has
    /// ended a connection, and when the last one to an address has ended in any way: a process that
    /// accepts the next one may be another one. On a thread of the io_context.
    virtual void setOnDisconnect(std::function<void(const Address &)> onDisconnect) = 0;

    /// Returns how often bytes arrived that belong to no request, such as a second response.
    [[nodiscard]] virtual std::uint64_t unsolicitedResponses() const = 0;
    [[nodiscard]] virtual std::size_t openConnections() const = 0;
    /// Closes idle connections, so that the io_context can run out of work.
    virtual void closeIdle() = 0;
};

} // namespace Camphor
