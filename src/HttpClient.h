/// @file An HTTP/1.1 client with a pool of connections for each address.
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
    /// Idle connections are closed after this; shorter than the servers' own limit, so that a
    /// request rarely meets a connection that the server is closing.
    Milliseconds idleTimeout{20'000};

    auto operator<=>(const HttpClientSettings &) const = default;
};

/// Why a request has no answer.
struct HttpFailure
{
    Error error;
    /// False only if it is certain that no byte of the request was written.
    bool maybeSent = true;

    auto operator<=>(const HttpFailure &) const = default;
};

/// A whole response, or why there is none. A truncated response is a failure.
using HttpResult = std::variant<HttpResponse, HttpFailure>;

using HttpCallback = std::function<void(HttpResult)>;

/// The client. A request is written once to one connection and never repeated by the client. A
/// connection on which anything but the one answer arrived is closed and not used again.
class HttpClient
{
public:
    [[nodiscard]] static std::shared_ptr<HttpClient> make(boost::asio::io_context &io,
                                                          const HttpClientSettings &settings);
    virtual ~HttpClient() = default;

    /// Sends a request. The callback is called exactly once, on a thread of the io_context.
    /// @param timeout longest time from now to the whole answer.
    virtual void send(const Address &address, HttpRequest request, Milliseconds timeout,
                      HttpCallback callback) = 0;

    /// Bytes that arrived on connections when no answer was due, such as a second answer.
    [[nodiscard]] virtual std::uint64_t strayAnswers() const = 0;
    [[nodiscard]] virtual std::size_t openConnections() const = 0;
    /// Closes idle connections, so that a program can end.
    virtual void closeIdle() = 0;
};

} // namespace Camphor
