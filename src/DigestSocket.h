/// @file Exchange of digests with the peers over UDP.
#pragma once

#include "DispatchTypes.h"
#include "EntrySettings.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// Sends to all peers and receives from any address. A datagram of another cluster or version, or
/// one that cannot be decoded, is counted and discarded.
class DigestSocket
{
public:
    using Callback = std::function<void(const Digest &)>;

    /// Binds to `digestListen` of the settings and starts receiving.
    [[nodiscard]] static Result<std::shared_ptr<DigestSocket>>
    make(boost::asio::io_context &io, const EntrySettings &settings, Callback callback);

    virtual ~DigestSocket() = default;

    /// Sends one datagram to each peer. Thread-safe.
    virtual void send(const Digest &digest) = 0;
    [[nodiscard]] virtual std::uint64_t droppedDatagrams() const = 0;
    virtual void stop() = 0;
};

} // namespace Camphor
