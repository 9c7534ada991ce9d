/// @file Digests to and from the peers, over UDP.
#pragma once

#include "DispatchTypes.h"
#include "EntrySettings.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// Sends to all peers and receives from anybody. A datagram of another cluster or version, or one
/// that can't be decoded, is counted and dropped.
class DigestSocket
{
public:
    using Callback = std::function<void(const Digest &)>;

    /// Binds `digestListen` of the settings and starts to receive.
    [[nodiscard]] static Result<std::shared_ptr<DigestSocket>>
    make(boost::asio::io_context &io, const EntrySettings &settings, Callback callback);

    virtual ~DigestSocket() = default;

    /// Sends one datagram to each peer. Thread-safe.
    virtual void send(const Digest &digest) = 0;
    [[nodiscard]] virtual std::uint64_t droppedDatagrams() const = 0;
    virtual void stop() = 0;
};

} // namespace Camphor
