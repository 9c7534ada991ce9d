/// @file Sends requests to another process of the cluster over TCP.
#pragma once

#include "Frame.h"
#include "Result.h"
#include "RpcServer.h"
#include "Settings.h"
#include "Time.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// The reason why a request has no reply.
struct RpcFailure
{
    Error error;
    /// False only if it is certain that the peer has not handled the request and won't.
    bool maybeSent = true;

    auto operator<=>(const RpcFailure &) const = default;
};

/// The payload of a reply, or the reason why there is none.
using RpcResult = std::variant<std::string, RpcFailure>;

using RpcCallback = std::function<void(RpcResult)>;

/// A client for one address. It connects on first use and reconnects after a connection loss. A
/// request is written at most once.
class RpcClient
{
public:
    [[nodiscard]] static std::shared_ptr<RpcClient>
    make(boost::asio::io_context &io, const Address &address, const RpcSettings &settings);

    virtual ~RpcClient() = default;

    /// Sends a request. The callback is called exactly once, on a thread of the io_context. A
    /// refusal by the peer is a failure with maybeSent true, unless the request had expired.
    virtual void call(MessageKind kind, std::string payload, Milliseconds timeout,
                      RpcCallback callback) = 0;
    /// Closes the connection and fails all pending calls. Later calls fail immediately.
    virtual void stop() = 0;
    [[nodiscard]] virtual const Address &address() const = 0;
};

} // namespace Camphor
