/// @file Serves requests of other processes of the cluster over TCP.
#pragma once

#include "Frame.h"
#include "Result.h"
#include "Settings.h"
#include "Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// Identity and limits of one end of an RPC connection between processes of the cluster.
struct RpcSettings
{
    std::string cluster;
    std::string instance;
    std::uint64_t incarnation = 0;
    std::size_t maxFrameBytes = DefaultMaxFrameBytes;
    std::size_t maxConnections = 256;
    Milliseconds connectTimeout{500};
    /// Longest wait for the first frame of a peer.
    Milliseconds helloTimeout{2'000};
    /// A client that knows the server's clock less exactly asks for the clock before it sends. 0 if
    /// the server need not know the age of requests.
    Milliseconds maxClockError{0};

    auto operator<=>(const RpcSettings &) const = default;
};

/// Sends the reply to one request. May be called once, from any thread.
using RpcReply = std::function<void(Result<std::string>)>;

/// Who sent a request, and a lower bound of when.
struct RequestOrigin : Hello
{
    /// The request was not made before this time of the server's clock; 0 if none is known. It may
    /// have waited since then at its sender, in a socket or on a link.
    Milliseconds sentAfter;
};

/// Handles one request of a peer; may reply later. An Error becomes a refusal frame; one with
/// ErrorCode::Expired tells the sender that the request was not handled.
using RpcHandler = std::function<void(const RequestOrigin &peer, MessageKind kind,
                                      std::string payload, RpcReply reply)>;

/// The server. The connection of a peer with a wrong version, cluster or frame is logged, counted
/// and closed.
class RpcServer
{
public:
    [[nodiscard]] static Result<std::shared_ptr<RpcServer>> make(boost::asio::io_context &io,
                                                                 const Address &listen,
                                                                 const RpcSettings &settings,
                                                                 RpcHandler handler);

    virtual ~RpcServer() = default;

    [[nodiscard]] virtual std::uint16_t port() const = 0;
    /// Returns the number of connections refused or closed because of invalid input, a hello
    /// timeout or too many connections.
    [[nodiscard]] virtual std::uint64_t refusedPeers() const = 0;
    /// Returns the number of open connections.
    [[nodiscard]] virtual std::size_t connections() const = 0;
    /// Stops accepting and closes all connections. They are closed on the threads of the
    /// io_context, which has to run until connections() is 0: an open connection and its server
    /// keep each other alive.
    virtual void stop() = 0;
};

} // namespace Camphor
