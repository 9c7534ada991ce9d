/// @file The HTTP server of a stand-in target. Unlike HttpServer, it can break its responses on
/// purpose and delay them as a network would.
#pragma once

#include "Http.h"
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

/// How a response is written to the connection.
enum class ReplyMode : std::uint8_t {
    Complete,
    Truncated, ///< Half of the body is written, then the connection is closed.
    Twice,
    Reset, ///< The connection is reset and nothing is written.
};

using TargetRespond = std::function<void(HttpResponse, ReplyMode)>;
using TargetHandler = std::function<void(HttpRequest, TargetRespond)>;

/// Serves one address. It may only be used on the one thread that runs the io_context.
class TargetServer
{
public:
    /// @param oneWayDelay delay added to each request and to each response.
    [[nodiscard]] static Result<std::shared_ptr<TargetServer>> make(boost::asio::io_context &io,
                                                                    const Address &listen,
                                                                    Milliseconds oneWayDelay,
                                                                    TargetHandler handler);
    virtual ~TargetServer() = default;

    /// Returns the port in use; differs from the requested address if that specifies port 0.
    [[nodiscard]] virtual std::uint16_t port() const = 0;
};

} // namespace Camphor
