/// @file Subscription to the declarations and the bucket map of the control group.
#pragma once

#include "ControlState.h"
#include "DeclarationSource.h"
#include "RpcServer.h"
#include "Settings.h"

#include <functional>
#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace Camphor {

/// Holds one Subscribe call open at one member and switches to the next member when that one fails
/// or has no contact with a leader. A single watch that carries the last known version replaces
/// polling; the idea is from "The Telemetry Paradox: how Pixie's metadata service avoids
/// overwhelming the Kubernetes control plane" (New Relic, 2025, CC BY 4.0).
class ControlSubscription : public DeclarationSource
{
public:
    /// Called with the home of each bucket of keys when the map has changed.
    using BucketCallback = std::function<void(const std::vector<BucketHome> &)>;

    [[nodiscard]] static std::shared_ptr<ControlSubscription>
    make(boost::asio::io_context &io, std::vector<Address> controlAddresses, RpcSettings settings);

    /// Sets the callback that receives the bucket map. Call it before subscribe(); all callbacks
    /// run on one thread.
    virtual void setBucketCallback(BucketCallback callback) = 0;
    /// The number of Subscribe calls made so far.
    [[nodiscard]] virtual std::uint64_t calls() const = 0;
};

} // namespace Camphor
